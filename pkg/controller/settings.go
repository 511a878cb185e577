package controller

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/process"
)

// Settings are the settings of coltsfoot-controller.
type Settings struct {
	process.Common `yaml:",inline"`
	// PlatformURL is the base URL of the platform's object API.
	PlatformURL string `yaml:"platform_url" validate:"required,url"`
	// LeaseMillis is the duration of a lease; it is renewed three times in each duration.
	LeaseMillis int64 `yaml:"lease_ms" validate:"min=100"`
}

// DefaultSettings returns the settings before the file is read.
func DefaultSettings() Settings {
	return Settings{Common: process.DefaultCommon(), LeaseMillis: 15_000}
}

// Lease returns the duration of a lease.
func (s Settings) Lease() time.Duration { return time.Duration(s.LeaseMillis) * time.Millisecond }
