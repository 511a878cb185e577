package agent

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/admission"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/fairness"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/process"
)

// UpstreamKind tells model engines from plain services.
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
	// ColdLimit is the number of requests that the upstream bears when it has just started.
	ColdLimit int `yaml:"cold_limit" validate:"min=1"`
	// MaxLimit is the number of requests that the warm upstream bears at most.
	MaxLimit int `yaml:"max_limit" validate:"gtefield=ColdLimit,max=4096"`
	// ColdTokens and MaxTokens are the expected tokens in progress that the upstream bears
	// when it has just started and when it is warm; 0 means that tokens are not limited.
	ColdTokens int64 `yaml:"cold_tokens" validate:"min=0"`
	MaxTokens  int64 `yaml:"max_tokens" validate:"gtefield=ColdTokens"`
	// LateFactor is the multiple of the usual time beyond which a part of an answer is late.
	LateFactor float64 `yaml:"late_factor" validate:"min=1.5,max=100"`
	// LateFloorMillis is a time up to which no part of an answer is late.
	LateFloorMillis int64 `yaml:"late_floor_ms" validate:"min=0"`
	// IdleMillis is the time without work after which the upstream counts as cold; 0 means never.
	IdleMillis int64 `yaml:"idle_ms" validate:"min=0"`
}

// Idle returns the idle time after which the upstream counts as cold.
func (u UpstreamSettings) Idle() time.Duration {
	return time.Duration(u.IdleMillis) * time.Millisecond
}

// admissionOptions returns the options of the limiter.
func (u UpstreamSettings) admissionOptions() admission.Options {
	return admission.Options{
		Cold:       u.ColdLimit,
		Max:        u.MaxLimit,
		ColdTokens: u.ColdTokens,
		MaxTokens:  u.MaxTokens,
		LateFactor: u.LateFactor,
		LateFloor:  time.Duration(u.LateFloorMillis) * time.Millisecond,
		Idle:       u.Idle(),
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
	// QueueLimit bounds the requests that wait.
	QueueLimit int `yaml:"queue_limit" validate:"min=1"`
	// QueueBytes bounds the memory that the bodies of waiting requests hold.
	QueueBytes int64 `yaml:"queue_bytes" validate:"min=1024"`
	// SavedTokens is the service that an organisation of weight 1 may save up while it
	// offers less than its share.
	SavedTokens int64 `yaml:"saved_tokens" validate:"min=0"`
	// ProbeMillis is the interval of the health probe.
	ProbeMillis int64 `yaml:"probe_ms" validate:"min=10"`
}

// queueOptions returns the options of the fairness queueOptions.
func (s Settings) queueOptions() fairness.Options {
	return fairness.Options{MaxItems: s.QueueLimit, MaxBytes: s.QueueBytes, Burst: s.SavedTokens}
}

// DefaultSettings returns the settings before the file is read.
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
