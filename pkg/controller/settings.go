package controller

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/process"
)

// GroupSettings describes a rank group that controllers manage.
type GroupSettings struct {
	// Name is the name of the group, unique among the groups.
	Name string `yaml:"name" validate:"required"`
	// Ranks are the control addresses (host:port) of the ranks' agents, by rank index.
	Ranks []string `yaml:"ranks" validate:"min=1,dive,tcp_addr"`
	// SpareSlots is the number of replicas of each layer that a rank can load in addition to
	// an equal part of the experts.
	SpareSlots int `yaml:"spare_slots" validate:"min=0"`
}

// WeightStoreSettings limits the rate at which the rank groups load weights.
type WeightStoreSettings struct {
	// BytesPerSecond is the rate of the store, shared by all groups. 0 means no limit.
	BytesPerSecond int64 `yaml:"bytes_per_second" validate:"min=0"`
	// ExpertBytes is the size of one expert's weights in one layer, in bytes.
	ExpertBytes int64 `yaml:"expert_bytes" validate:"min=1"`
}

// Settings are the settings of coltsfoot-controller.
type Settings struct {
	process.Common `yaml:",inline"`
	// PlatformURL is the base URL of the platform's object API.
	PlatformURL string `yaml:"platform_url" validate:"required,url"`
	// LeaseMillis is the duration of a lease in milliseconds; it is renewed three times in
	// each duration.
	LeaseMillis int64 `yaml:"lease_ms" validate:"min=100"`
	// Groups are the rank groups to manage; it may be empty.
	Groups []GroupSettings `yaml:"groups,omitempty" validate:"unique=Name,dive"`
	// WeightStore limits the rate at which groups load weights.
	WeightStore WeightStoreSettings `yaml:"weight_store"`
	// TickMillis is the interval at which orders are repeated, in milliseconds.
	TickMillis int64 `yaml:"tick_ms" validate:"min=10"`
	// PlanMillis is the interval at which placements are planned, in milliseconds.
	PlanMillis int64 `yaml:"plan_ms" validate:"min=10"`
	// LostMillis is the time without a response after which a rank counts as lost, in
	// milliseconds.
	LostMillis int64 `yaml:"lost_ms" validate:"min=100"`
}

// DefaultSettings returns the settings that the settings file overrides.
func DefaultSettings() Settings {
	return Settings{
		Common: process.DefaultCommon(), LeaseMillis: 15_000,
		WeightStore: WeightStoreSettings{ExpertBytes: 44 << 20},
		TickMillis:  200, PlanMillis: 10_000, LostMillis: 10_000,
	}
}

// LeaseDuration returns the duration of a lease.
func (s Settings) LeaseDuration() time.Duration {
	return time.Duration(s.LeaseMillis) * time.Millisecond
}

// TickInterval returns the interval at which orders are repeated.
func (s Settings) TickInterval() time.Duration { return time.Duration(s.TickMillis) * time.Millisecond }

// PlanInterval returns the interval at which placements are planned.
func (s Settings) PlanInterval() time.Duration { return time.Duration(s.PlanMillis) * time.Millisecond }

// LostAfter returns the time without a response after which a rank counts as lost.
func (s Settings) LostAfter() time.Duration { return time.Duration(s.LostMillis) * time.Millisecond }
