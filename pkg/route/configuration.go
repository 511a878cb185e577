package route

import "time"

// Configuration is one version of the settings that operators write.
type Configuration struct {
	// Version increases with each accepted change.
	Version  int64
	Routes   []Route
	Services []Service
	// RequiresAPIKeys is set when requests to routes that are not public need the API key of an organisation,
	// whether or not there is any.
	RequiresAPIKeys bool
	Organisations   []Organisation
	Limits          Limits
}

// Route maps requests of a host and path prefix to services and defines how they are run.
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
	// TargetLatency is the target for the time to the response, or to the first event of a
	// stream.
	TargetLatency time.Duration
	// TargetEventGap is the target for the longest pause between two events of a stream.
	TargetEventGap time.Duration
	// Priority is the scheduling priority of requests; 0 is the most urgent.
	Priority int
}

// IsRepeatable reports whether a request may be sent again although it may already have run.
func (r *Route) IsRepeatable() bool { return r.Idempotent || r.Resumable }

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
	// MaxBatch is the number of requests that an engine runs concurrently.
	MaxBatch int
	// KVCapacity is the capacity of an engine's KV cache in tokens.
	KVCapacity int
	// TokensPerPass is the number of tokens that a pass generates for each running request.
	TokensPerPass int
	// StepTime is the shortest time of a token step. Each running request adds
	// StepPerRequest to it when the load of the experts is balanced.
	StepTime       time.Duration
	StepPerRequest time.Duration
	// PrefillRate is the prefill rate in prompt tokens per second.
	PrefillRate float64
	// LayerSets is the number of sets of layers, Experts the number of experts in each set,
	// and ExpertSlots the number of experts of a set that a rank has loaded. The model has no
	// expert map when Experts is 0.
	LayerSets   int
	Experts     int
	ExpertSlots int
	// ReserveExperts is the number of experts of a set that a rank can load in addition to
	// those of its expert map.
	ReserveExperts int
	// ExpertLoadTime is how long a rank takes to load one expert.
	ExpertLoadTime time.Duration
	// GroupFormTime is how long a group takes to form once all its ranks have started.
	GroupFormTime time.Duration
	// ExpertWorkShare is the fraction of the work per token that is done by experts.
	ExpertWorkShare float64
	// MeanPromptTokens and MeanResponseTokens are the mean lengths of a prompt and a response.
	MeanPromptTokens   int
	MeanResponseTokens int
}

// Organisation is a tenant, identified by the API key of its requests.
type Organisation struct {
	Name    string
	APIKeys []string
	// Priority replaces the priority of the route when HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits are the limits on requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	// IdleTimeout is the idle timeout of a caller's connection.
	IdleTimeout time.Duration
}
