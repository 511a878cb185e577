package configuration

import "time"

// ZoneState states whether an availability zone takes new work.
type ZoneState string

// States of an availability zone.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
)

// Zone is an availability zone.
type Zone struct {
	Name   string    `yaml:"name" json:"name" validate:"required"`
	Region string    `yaml:"region" json:"region" validate:"required"`
	State  ZoneState `yaml:"state" json:"state" validate:"oneof=in out"`
}

// Model is a model that upstreams serve.
type Model struct {
	Name string `yaml:"name" json:"name" validate:"required"`
	// Versions lists the served versions, newest last. It may be empty.
	Versions []string `yaml:"versions,omitempty" json:"versions,omitempty"`
}

// Service is a plain service that stands beside the model engines.
type Service struct {
	Name string `yaml:"name" json:"name" validate:"required"`
	// IdempotentMethods lists the HTTP methods that may be repeated.
	// The zero value means GET and HEAD.
	IdempotentMethods []string `yaml:"idempotent_methods,omitempty" json:"idempotent_methods,omitempty"`
}

// Organisation is a customer.
type Organisation struct {
	Name string `yaml:"name" json:"name" validate:"required"`
	// KeySHA256 is the hexadecimal SHA-256 of the organisation's bearer token.
	KeySHA256 string `yaml:"key_sha256" json:"key_sha256" validate:"len=64,hexadecimal"`
	// Weight is the share under contention, relative to the other organisations.
	Weight int `yaml:"weight" json:"weight" validate:"min=1,max=1000"`
	// Priority is served before lower numbers; the default is 0.
	Priority int `yaml:"priority" json:"priority" validate:"min=0,max=9"`
	// MaxInProgress bounds the requests in progress at one entry; 0 means the limit of the document.
	MaxInProgress int `yaml:"max_in_progress,omitempty" json:"max_in_progress,omitempty" validate:"min=0"`
}

// Limits bound what entries take.
type Limits struct {
	MaxBodyBytes             int64 `yaml:"max_body_bytes" json:"max_body_bytes" validate:"min=1024,max=67108864"`
	DefaultTimeoutMillis     int64 `yaml:"default_timeout_ms" json:"default_timeout_ms" validate:"min=100,max=3600000"`
	DirectoryTTLSeconds      int   `yaml:"directory_ttl_seconds" json:"directory_ttl_seconds" validate:"min=1,max=600"`
	OrganisationMaxInFlight  int   `yaml:"organisation_max_in_flight" json:"organisation_max_in_flight" validate:"min=1"`
	MaxAttempts              int   `yaml:"max_attempts" json:"max_attempts" validate:"min=1,max=10"`
	IdempotencyKeyTTLSeconds int   `yaml:"idempotency_key_ttl_seconds" json:"idempotency_key_ttl_seconds" validate:"min=60"`
}

// DefaultTimeout returns the timeout of a request that names none.
func (l Limits) DefaultTimeout() time.Duration {
	return time.Duration(l.DefaultTimeoutMillis) * time.Millisecond
}

// EditRef names the edit that made a version.
type EditRef struct {
	Version int64  `json:"version"`
	ID      string `json:"id"`
}

// Document is the whole configuration. It must not be changed after it was adopted.
type Document struct {
	// Version is given at acceptance and rises with every accepted edit.
	Version int64 `yaml:"version,omitempty" json:"version"`
	// Edit is the id of the edit that made this version.
	Edit string `yaml:"-" json:"edit,omitempty"`
	// Trail names the newest edits that led here, oldest first. It starts anew at a repair.
	Trail []EditRef `yaml:"-" json:"trail,omitempty"`

	Zones         []Zone         `yaml:"availability_zones" json:"availability_zones" validate:"min=1,unique=Name,dive"`
	Models        []Model        `yaml:"models" json:"models" validate:"unique=Name,dive"`
	Services      []Service      `yaml:"services" json:"services" validate:"unique=Name,dive"`
	Organisations []Organisation `yaml:"organisations" json:"organisations" validate:"unique=Name,unique=KeySHA256,dive"`
	Limits        Limits         `yaml:"limits" json:"limits"`
}

// DefaultLimits returns the limits of a document that states none.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:             4 << 20,
		DefaultTimeoutMillis:     60_000,
		DirectoryTTLSeconds:      10,
		OrganisationMaxInFlight:  4096,
		MaxAttempts:              4,
		IdempotencyKeyTTLSeconds: 86_400,
	}
}
