package process

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/listener"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

// Common are the settings that all processes share.
type Common struct {
	// Name identifies the process; it is unique in the deployment.
	Name string `yaml:"name" validate:"required"`
	// Region and Zone state where the process runs.
	Region string `yaml:"region" validate:"required"`
	Zone   string `yaml:"zone" validate:"required"`
	// OperatorAddress is the host:port of the listener for operators.
	OperatorAddress string `yaml:"operator_address" validate:"required,tcp_addr"`
	// OperatorToken is the bearer token of operators; without it only health, readiness and metrics are
	// served.
	OperatorToken string `yaml:"operator_token,omitempty"`
	// OperatorTLS contains the certificate of the operators' listener; without it the listener uses
	// plain HTTP.
	OperatorTLS listener.Settings `yaml:"operator_tls,omitempty"`
	// Credentials authenticate this process to the other processes of the system.
	Credentials peer.CredentialSettings `yaml:"credentials,omitempty"`
	// LogLevel is one of trace, debug, info, warn, error, off; the default is info.
	LogLevel string `yaml:"log_level" validate:"oneof=trace debug info warn error off"`
	// StopTimeoutMillis limits the duration of a planned stop in milliseconds; the default is 120000.
	StopTimeoutMillis int64 `yaml:"stop_timeout_ms" validate:"min=100,max=3600000"`
}

// DefaultCommon returns the defaults of the common settings.
func DefaultCommon() Common {
	return Common{LogLevel: "info", StopTimeoutMillis: 120_000}
}

// StopTimeout returns the maximum duration of a planned stop.
func (c Common) StopTimeout() time.Duration {
	return time.Duration(c.StopTimeoutMillis) * time.Millisecond
}

// Base returns the common settings embedded in those of a binary.
func (c Common) Base() Common { return c }
