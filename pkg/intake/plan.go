package intake

const (
	// MiB is the unit in which machines state their memory.
	MiB = 1 << 20
	kib = 1 << 10

	// connectionBytes is what an open connection takes up by itself: buffers, goroutines and their stacks.
	connectionBytes = 24 * kib
	// CallBytes is what a request in progress takes up beside its head, its body and its answer: a connection to an
	// upstream and the goroutines of both.
	CallBytes = 40 * kib
	// OrdinaryBytes is the most that an ordinary request holds, with CallBytes.
	OrdinaryBytes = 96 * kib

	// DefaultMemoryBytes and DefaultDescriptors are the resources of a machine that states none.
	DefaultMemoryBytes = 256 * MiB
	DefaultDescriptors = 4096
)

// Resources are what a machine grants a process.
type Resources struct {
	MemoryBytes int64
	Descriptors int
}

// Allotment is what the peers of one listener may make the process hold.
type Allotment struct {
	// Connections is the number of open connections.
	Connections int
	// Bytes is the memory of requests, answers and messages, beside that of the connections themselves.
	Bytes int64
	// ReservedBytes is the part of Bytes that only ordinary requests get.
	ReservedBytes int64
}

// memory returns the most memory that the peers of the listener take up, in bytes.
func (a Allotment) memory() int64 { return int64(a.Connections)*connectionBytes + a.Bytes }

// Plan divides the resources of a machine.
type Plan struct {
	// RuntimeBytes is the limit on the memory of the Go runtime, with what it has not returned to the system. The rest
	// of the machine's memory is for what the runtime does not count, such as the program itself.
	RuntimeBytes int64
	// Callers, Directory, Readiness, Metrics and Control are the allotments of the listeners.
	Callers, Directory, Readiness, Metrics, Control Allotment
	// ServiceRequests is the number of requests in progress to one service, so that one which does not answer leaves
	// connections to the callers of others.
	ServiceRequests int
	// UpstreamConnections is the number of connections to upstreams, and PeerConnections that to other processes of the
	// system.
	UpstreamConnections, PeerConnections int
}

// share is the part of a listener, as fractions of what is divided.
type share struct{ descriptors, connectionBytes, bytes float64 }

// The shares of the listeners. What is left of the descriptors is for the process's own connections, such as those to
// the store and to peers.
var (
	gatewayCallers = share{descriptors: 0.38, connectionBytes: 0.25, bytes: 0.44}
	// The directory, readiness and metrics are apart, so that a crowd at one leaves the others free.
	gatewayInternal = share{descriptors: 0.03, connectionBytes: 0.02, bytes: 0.02}
	gatewayControl  = share{descriptors: 0.06, connectionBytes: 0.04, bytes: 0.15}
	stewardControl  = share{descriptors: 0.50, connectionBytes: 0.30, bytes: 0.60}
)

const (
	// gatewayUpstreams, gatewayPeers and stewardPeers are fractions of the descriptors.
	gatewayUpstreams = 0.38
	gatewayPeers     = 0.04
	stewardPeers     = 0.30
	// serviceShare is the part of callers' connections that may have requests in progress to one service.
	serviceShare = 0.60
	// reservedShare is the part of an allotment's bytes that only ordinary requests get.
	reservedShare = 0.25
	// runtimeShare and uncountedBytes determine Plan.RuntimeBytes; ownShare and ownBytes are the part of it that the
	// process needs for itself, such as its configuration.
	runtimeShare   = 0.80
	uncountedBytes = 8 * MiB
	ownShare       = 0.125
	ownBytes       = 16 * MiB
	// minDivided is the part of a machine's memory that is divided at least, on machines that are too small.
	minDivided = 0.10
)

// NewGatewayPlan returns the plan of a gateway. Resources that are not stated have their default.
func NewGatewayPlan(r Resources) Plan {
	r = r.withDefaults()
	p, divided := newPlan(r)
	p.Callers = r.allot(divided, gatewayCallers)
	p.Directory = r.allot(divided, gatewayInternal)
	p.Readiness, p.Metrics = p.Directory, p.Directory
	p.Control = r.allot(divided, gatewayControl)
	p.ServiceRequests = max(1, int(serviceShare*float64(p.Callers.Connections)))
	p.UpstreamConnections = r.connections(gatewayUpstreams)
	p.PeerConnections = r.connections(gatewayPeers)
	return p
}

// NewStewardPlan returns the plan of a steward, which has only a listener for control. Resources that are not stated have
// their default.
func NewStewardPlan(r Resources) Plan {
	r = r.withDefaults()
	p, divided := newPlan(r)
	p.Control = r.allot(divided, stewardControl)
	p.PeerConnections = r.connections(stewardPeers)
	return p
}

func (r Resources) withDefaults() Resources {
	if r.MemoryBytes <= 0 {
		r.MemoryBytes = DefaultMemoryBytes
	}
	if r.Descriptors <= 0 {
		r.Descriptors = DefaultDescriptors
	}
	return r
}

// newPlan returns a plan without listeners, and the bytes to divide among them.
func newPlan(r Resources) (Plan, float64) {
	memory := float64(r.MemoryBytes)
	runtime := max(runtimeShare*memory-uncountedBytes, memory/2)
	return Plan{RuntimeBytes: int64(runtime)}, max(runtime-ownBytes-ownShare*memory, minDivided*memory)
}

// connections returns the number of connections for a fraction of the descriptors.
func (r Resources) connections(fraction float64) int {
	return max(1, int(fraction*float64(r.Descriptors)))
}

// allot returns the allotment of a share.
func (r Resources) allot(divided float64, s share) Allotment {
	connections := min(s.descriptors*float64(r.Descriptors), s.connectionBytes*divided/connectionBytes)
	return Allotment{
		Connections: max(1, int(connections)), Bytes: int64(s.bytes * divided), ReservedBytes: int64(reservedShare * s.bytes * divided),
	}
}
