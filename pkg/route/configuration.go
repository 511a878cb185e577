package route

import "time"

// Configuration is one version of the settings that operators write.
type Configuration struct {
	// Version increases with each accepted change.
	Version       int64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Route maps requests of a host and path prefix to services and says how they are run.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Backends   []Backend
	// Idempotent is set when a request may run more than once.
	Idempotent bool
	// Streaming is set when responses are streams of server-sent events.
	Streaming bool
	// Resumable is set when a broken stream may continue at another upstream after the last
	// event that the caller received.
	Resumable bool
	// Public is set when requests need no API key.
	Public bool
	// MaxAttempts is the largest number of upstreams that one request may be sent to.
	MaxAttempts int
	// Timeout is the longest time to the end of the response; 0 means no limit.
	Timeout time.Duration
	// Objective is the target latency: the time to the response, or to the first event of a
	// stream.
	Objective time.Duration
	// EventGap is the target for the longest pause between two events of a stream.
	EventGap time.Duration
	// Priority is the scheduling priority of requests; 0 is the most urgent.
	Priority int
}

// Repeatable reports whether a request may be sent again although it may already have run.
func (r *Route) Repeatable() bool { return r.Idempotent || r.Resumable }

// Backend is a service that receives a share of a route's requests.
type Backend struct {
	Service string
	// Weight is the share relative to the other backends of the route.
	Weight float64
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts from all entries
	// together.
	MaxConnections int
	// Warmup is how long an upstream stays cold after its start.
	Warmup time.Duration
	// WarmupRate is the number of requests per second that a cold upstream accepts; 0 means
	// no limit.
	WarmupRate float64
	// Engine describes the model engines of the service; nil for a service without a model.
	Engine *Engine
}

// Engine describes the upstreams of a service that run a model as ranks of a group.
type Engine struct {
	// Batch is the number of requests that an engine runs concurrently.
	Batch int
	// Memory is the capacity of an engine's KV cache in tokens.
	Memory int
	// TokensPerPass is the number of tokens that a pass generates for each running request.
	TokensPerPass int
	// StepTime is the shortest time of a token step. Each running request adds
	// StepPerRequest to it when the load of the experts is balanced.
	StepTime       time.Duration
	StepPerRequest time.Duration
	// ReadRate is the prefill rate in prompt tokens per second.
	ReadRate float64
	// Layers is the number of sets of layers, Experts the number of experts in each set,
	// and Slots the number of experts of a set that a rank has loaded. The model has no
	// expert map when Experts is 0.
	Layers  int
	Experts int
	Slots   int
	// Reserve is the number of experts of a set that a rank can load in addition to those of
	// its expert map.
	Reserve int
	// LoadTime is how long a rank takes to load one expert.
	LoadTime time.Duration
	// FormTime is how long a group takes to form once all its ranks have started.
	FormTime time.Duration
	// ExpertShare is the fraction of the work per token that is done by experts.
	ExpertShare float64
	// UsualPrompt and UsualAnswer are the mean lengths of a prompt and a response in tokens.
	UsualPrompt int
	UsualAnswer int
}

// Organisation is a tenant, identified by the API key of its requests.
type Organisation struct {
	Name string
	Keys []string
	// Priority replaces the priority of the route when HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits are the limits on requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	// Idle is the idle timeout of a caller's connection.
	Idle time.Duration
}
