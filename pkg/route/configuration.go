package route

import "time"

// Configuration is one version of what operators want.
type Configuration struct {
	// Version rises with each accepted change.
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Route says which requests go to which services, and how.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Backends   []Backend
	// Idempotent requests may run more than once.
	Idempotent bool
	// Streaming answers are server-sent events.
	Streaming bool
	// Resumable streams may continue at another upstream after their last event.
	Resumable bool
	// Public requests need no key.
	Public bool
	// MaxAttempts is the number of upstreams that one request may reach.
	MaxAttempts int
	// Timeout is the longest time to the final answer; 0 means no bound.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event, that callers aim for.
	Objective time.Duration
	// EventGap is the longest pause between two events that callers aim for.
	EventGap time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
}

// Repeatable reports whether a request that may have run may run again.
func (r *Route) Repeatable() bool { return r.Idempotent || r.Resumable }

// Backend is a service that takes a part of a route's requests.
type Backend struct {
	Service string
	// Weight is relative to the other backends of the route.
	Weight float64
}

// Service is a set of upstreams that run the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts from all entries.
	MaxConnections int
	// Warmup is how long an upstream stays cold after its start.
	Warmup time.Duration
	// WarmupRate is the requests a second that a cold upstream bears; 0 means no bound.
	WarmupRate float64
	// Engine describes model engines; nil means a plain service.
	Engine *Engine
}

// Engine describes the upstreams of a service that run a model as ranks of a group.
type Engine struct {
	// Batch is the number of requests that an engine runs at a time.
	Batch int
	// Memory is the number of tokens that an engine holds.
	Memory int
	// TokensPerPass is the number of tokens that a running request gains in a pass.
	TokensPerPass int
	// StepTime is the least time of a token step, and StepPerRequest what each running
	// request adds to it when experts are in balance.
	StepTime       time.Duration
	StepPerRequest time.Duration
	// ReadRate is the prompt tokens read in a second.
	ReadRate float64
	// Experts is the number of experts in each of Layers sets of layers, and Slots the
	// number of them that a rank holds in a set. No experts means no expert map.
	Layers  int
	Experts int
	Slots   int
	// Reserve is the number of experts in a set that a rank can load beside its map.
	Reserve int
	// LoadTime is how long a rank takes to load one expert.
	LoadTime time.Duration
	// FormTime is how long a group takes to form once all its ranks are there.
	FormTime time.Duration
	// ExpertShare is the part of the work for tokens that experts do.
	ExpertShare float64
	// UsualPrompt and UsualAnswer are mean token counts.
	UsualPrompt int
	UsualAnswer int
}

// Organisation owns requests.
type Organisation struct {
	Name string
	Keys []string
	// Priority outranks that of the route where HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	// Idle is how long a caller's connection may stay unused.
	Idle time.Duration
}
