package configuration

import "time"

// ZoneState states whether an availability zone receives new work.
type ZoneState string

const (
	// ZoneIn is the state of a zone that receives new work.
	ZoneIn ZoneState = "in"
	// ZoneOut is the state of a zone that receives no new work.
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

// Service is a plain HTTP service that is not a model engine.
type Service struct {
	Name string `yaml:"name" json:"name" validate:"required"`
	// IdempotentMethods lists the HTTP methods whose requests may be repeated. Empty means GET and HEAD.
	IdempotentMethods []string `yaml:"idempotent_methods,omitempty" json:"idempotent_methods,omitempty"`
}

// Organisation is a customer.
type Organisation struct {
	Name string `yaml:"name" json:"name" validate:"required"`
	// KeySHA256 is the hexadecimal SHA-256 of the organisation's bearer token.
	KeySHA256 string `yaml:"key_sha256" json:"key_sha256" validate:"len=64,hexadecimal"`
	// Weight is the share of capacity under contention, relative to the other organisations.
	Weight int `yaml:"weight" json:"weight" validate:"min=1,max=1000"`
	// Priority orders organisations: higher numbers are served first. The default is 0.
	Priority int `yaml:"priority" json:"priority" validate:"min=0,max=9"`
	// MaxInProgress limits the requests in progress at one entry; 0 means
	// Limits.OrganisationMaxInFlight.
	MaxInProgress int `yaml:"max_in_progress,omitempty" json:"max_in_progress,omitempty" validate:"min=0"`
}

// Limits holds limits and durations that entries apply to requests.
type Limits struct {
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int64 `yaml:"max_body_bytes" json:"max_body_bytes" validate:"min=1024,max=67108864"`
	// DefaultTimeoutMillis is the timeout of a request that states none.
	DefaultTimeoutMillis int64 `yaml:"default_timeout_ms" json:"default_timeout_ms" validate:"min=100,max=3600000"`
	// DirectoryTTLSeconds is how long a caller may use a list of entry addresses before requesting a new one.
	DirectoryTTLSeconds int `yaml:"directory_ttl_seconds" json:"directory_ttl_seconds" validate:"min=1,max=600"`
	// OrganisationMaxInFlight limits the requests of one organisation in progress at one entry.
	OrganisationMaxInFlight int `yaml:"organisation_max_in_flight" json:"organisation_max_in_flight" validate:"min=1"`
	// MaxAttempts limits the attempts of one request.
	MaxAttempts int `yaml:"max_attempts" json:"max_attempts" validate:"min=1,max=10"`
	// IdempotencyKeyTTLSeconds is how long an idempotency key is remembered.
	IdempotencyKeyTTLSeconds int `yaml:"idempotency_key_ttl_seconds" json:"idempotency_key_ttl_seconds" validate:"min=60"`
}

// DefaultTimeout returns the timeout of a request that states none.
func (l Limits) DefaultTimeout() time.Duration {
	return time.Duration(l.DefaultTimeoutMillis) * time.Millisecond
}

// EditRef identifies the edit that made a version.
type EditRef struct {
	Version int64  `json:"version"`
	ID      string `json:"id"`
}

// Document is the whole configuration. It must not be modified after it was adopted.
type Document struct {
	// Version is assigned when an edit is accepted and rises with every accepted edit.
	Version int64 `yaml:"version,omitempty" json:"version"`
	// EditID is the ID of the edit that made this version.
	EditID string `yaml:"-" json:"edit,omitempty"`
	// RecentEdits lists the newest edits up to this version, oldest first, at most 16. A repair drops
	// the edits before it.
	RecentEdits []EditRef `yaml:"-" json:"trail,omitempty"`

	Zones         []Zone         `yaml:"availability_zones" json:"availability_zones" validate:"min=1,unique=Name,dive"`
	Models        []Model        `yaml:"models" json:"models" validate:"unique=Name,dive"`
	Services      []Service      `yaml:"services" json:"services" validate:"unique=Name,dive"`
	Organisations []Organisation `yaml:"organisations" json:"organisations" validate:"unique=Name,unique=KeySHA256,dive"`
	Limits        Limits         `yaml:"limits" json:"limits"`
}

// DefaultLimits returns the limits of a document without a limits section.
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
