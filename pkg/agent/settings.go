package agent

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/admission"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/fairness"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/process"
)

// UpstreamKind is the kind of an upstream: a model engine or a plain service.
type UpstreamKind string

// Kinds of upstreams.
const (
	ModelEngine  UpstreamKind = "model-engine"
	PlainService UpstreamKind = "plain-service"
)

// UpstreamSettings describe the upstream of an agent.
type UpstreamSettings struct {
	Kind UpstreamKind `yaml:"kind" validate:"oneof=model-engine plain-service"`
	// URL is the base URL of the upstream.
	URL string `yaml:"url" validate:"required,url"`
	// ColdLimit is the concurrency limit, in requests, when the upstream has just started.
	ColdLimit int `yaml:"cold_limit" validate:"min=1"`
	// MaxLimit is the highest concurrency limit, in requests, of the warm upstream.
	MaxLimit int `yaml:"max_limit" validate:"gtefield=ColdLimit,max=4096"`
	// ColdTokens and MaxTokens limit the expected tokens in progress when the upstream has
	// just started and when it is warm; 0 means that tokens are not limited.
	ColdTokens int64 `yaml:"cold_tokens" validate:"min=0"`
	MaxTokens  int64 `yaml:"max_tokens" validate:"gtefield=ColdTokens"`
	// LateFactor is the multiple of the baseline beyond which a part or a response is late.
	LateFactor float64 `yaml:"late_factor" validate:"min=1.5,max=100"`
	// LateFloorMillis is the duration up to which no part or response is late.
	LateFloorMillis int64 `yaml:"late_floor_ms" validate:"min=0"`
	// IdleMillis is the time without work after which the upstream counts as cold; 0 means never.
	IdleMillis int64 `yaml:"idle_ms" validate:"min=0"`
}

// Idle returns the idle time after which the upstream counts as cold.
func (u UpstreamSettings) Idle() time.Duration {
	return time.Duration(u.IdleMillis) * time.Millisecond
}

// admissionOptions returns the options of the admission limiter.
func (u UpstreamSettings) admissionOptions() admission.Options {
	return admission.Options{
		ColdLimit:   u.ColdLimit,
		MaxLimit:    u.MaxLimit,
		ColdTokens:  u.ColdTokens,
		MaxTokens:   u.MaxTokens,
		LateFactor:  u.LateFactor,
		LateFloor:   time.Duration(u.LateFloorMillis) * time.Millisecond,
		IdleTimeout: u.Idle(),
	}
}

// Settings are the settings of coltsfoot-agent.
type Settings struct {
	process.Common `yaml:",inline"`
	// ControlAddress is the host:port for the other processes of the system.
	ControlAddress string `yaml:"control_address" validate:"required,tcp_addr"`
	// WorkAddress is the host:port to which entries send attempts.
	WorkAddress string           `yaml:"work_address" validate:"required,tcp_addr"`
	Upstream    UpstreamSettings `yaml:"upstream"`
	// QueueLimit is the largest number of queued requests at a warm upstream. It decreases in
	// proportion to the admission limit.
	QueueLimit int `yaml:"queue_limit" validate:"min=1"`
	// QueueBytes is the largest total size of the bodies of queued requests.
	QueueBytes int64 `yaml:"queue_bytes" validate:"min=1024"`
	// SavedTokens is the service in tokens that an organisation of weight 1 may save up while
	// it uses less than its share.
	SavedTokens int64 `yaml:"saved_tokens" validate:"min=0"`
	// ProbeMillis is the interval between health probes of the upstream.
	ProbeMillis int64 `yaml:"probe_ms" validate:"min=10"`
}

// queueOptions returns the options of the fairness queue.
func (s Settings) queueOptions() fairness.Options {
	return fairness.Options{MaxItems: s.QueueLimit, MaxBytes: s.QueueBytes, Burst: s.SavedTokens}
}

// DefaultSettings returns the settings that apply where the settings file sets none.
func DefaultSettings() Settings {
	return Settings{
		Common:      process.DefaultCommon(),
		QueueLimit:  256,
		QueueBytes:  32 << 20,
		SavedTokens: 16_384,
		ProbeMillis: 250,
		Upstream: UpstreamSettings{
			ColdLimit: 2, MaxLimit: 32, IdleMillis: 300_000,
			LateFactor: admission.DefaultLateFactor, LateFloorMillis: 100,
		},
	}
}
