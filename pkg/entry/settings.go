package entry

import (
	"github.com/coltsfootpitch/coltsfootpitch/pkg/listener"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/process"
)

// Settings are the settings of coltsfoot-entry.
type Settings struct {
	process.Common `yaml:",inline"`
	// CallerAddress is the host:port of the listener for callers.
	CallerAddress string `yaml:"caller_address" validate:"required,tcp_addr"`
	// CallerTLS contains the certificate of the callers' listener; without it the listener uses plain
	// HTTP.
	CallerTLS listener.Settings `yaml:"caller_tls,omitempty"`
	// ControlAddress is the host:port of the listener for the other processes of the system.
	ControlAddress string `yaml:"control_address" validate:"required,tcp_addr"`
	// PlatformURL is the base URL of the platform's object API.
	PlatformURL string `yaml:"platform_url" validate:"required,url"`
	// StatusMillis is the interval in milliseconds between two status requests to a process.
	StatusMillis int64 `yaml:"status_ms" validate:"min=10"`
}

// DefaultSettings returns the defaults that the settings file overrides.
func DefaultSettings() Settings {
	return Settings{Common: process.DefaultCommon(), StatusMillis: 500}
}
