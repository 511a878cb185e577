package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/exchange"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/retry"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/route"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// Gateway serves callers' requests. It is safe for concurrent use.
type Gateway struct {
	node             platform.Node
	log              hclog.Logger
	metrics          metrics.Registry
	fleet            *Fleet
	deadlines        deadlineTracker
	permits          *permits
	pool             *exchange.Pool
	table            atomic.Pointer[route.Table]
	rawConfiguration atomic.Pointer[rawConfiguration]
	// stopping is set from the stop signal on.
	stopping atomic.Bool
	// requestCount numbers the requestCount of this process.
	requestCount atomic.Uint64
	// storeLostAt is since when the store has not answered, in nanoseconds of the process's
	// life; 0 while it answers.
	storeLostAt atomic.Int64
	startedAt   time.Time

	mu sync.Mutex
	// groupLimits are what the leaders of groups told, by service and group.
	groupLimits  map[string]map[string]groupLimit
	retryWindows map[string]*retry.Window
	gatewayCount int
}

// rawConfiguration is the newest configuration as it came, for handing it on.
type rawConfiguration struct {
	version int64
	spec    []byte
}

// New returns a gateway that knows no configuration yet.
func New(n platform.Node, f *Fleet, log hclog.Logger, m metrics.Registry) *Gateway {
	return &Gateway{
		node: n, log: log, metrics: m, fleet: f, permits: newPermits(), pool: exchange.NewPool(),
		groupLimits: map[string]map[string]groupLimit{}, retryWindows: map[string]*retry.Window{}, gatewayCount: 1, startedAt: time.Now(),
	}
}

// Adopt takes in a configuration when it is newer than the one in force.
func (g *Gateway) Adopt(spec []byte, source string) {
	c, err := platform.DecodeConfiguration(spec)
	if err != nil {
		g.log.Error("configuration-unreadable", "source", source, "error", err.Error())
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if d := g.rawConfiguration.Load(); d != nil && c.Version <= d.version {
		return
	}
	table := route.Compile(c)
	g.fleet.SetServices(table.Services())
	g.rawConfiguration.Store(&rawConfiguration{version: c.Version, spec: spec})
	g.table.Store(table)
	for name := range table.Services() {
		g.updateLimit(name)
	}
	g.log.Info("configuration-adopted", "version", c.Version, "routes", len(c.Routes), "source", source)
}

// Version returns the version of the configuration in force, 0 for none.
func (g *Gateway) Version() int64 {
	if t := g.table.Load(); t != nil {
		return t.Version()
	}
	return 0
}

// Ready reports whether the gateway can serve requests and is not about to stop.
func (g *Gateway) Ready() bool { return g.table.Load() != nil && !g.stopping.Load() }

// SetEntries takes in the number of gateways among which bounds are divided.
func (g *Gateway) SetEntries(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n == g.gatewayCount {
		return
	}
	g.log.Info("entries-changed", "from", g.gatewayCount, "to", n)
	g.gatewayCount = n
	g.retryWindows = map[string]*retry.Window{}
	g.fleet.SetEntries(n)
	if t := g.table.Load(); t != nil {
		for name := range t.Services() {
			g.updateLimit(name)
		}
	}
}

// Refresh works the permits out anew, after the list of upstreams changed.
func (g *Gateway) Refresh() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.table.Load(); t != nil {
		for name := range t.Services() {
			g.updateLimit(name)
		}
	}
}

// retryShare is the part of the shared bound on retries that the gateways use: their
// number is not known exactly at every moment.
const retryShare = 0.75

// withdrawRetry takes one retry to a service and reports whether its bound allowed it.
func (g *Gateway) withdrawRetry(service string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryWindow(service).Withdraw(now)
}

// recordRequest takes in a caller's request for a service.
func (g *Gateway) recordRequest(service string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryWindow(service).Request(now)
}

func (g *Gateway) retryWindow(service string) *retry.Window {
	w := g.retryWindows[service]
	if w == nil {
		b := g.node.Retries
		w = retry.NewWindow(b.Window, retryShare*b.Ratio, retryShare*b.Allowance/float64(g.gatewayCount))
		g.retryWindows[service] = w
	}
	return w
}

// count raises a counter.
func (g *Gateway) count(name string) {
	metrics.GetOrRegisterCounter(name, g.metrics).Inc(1)
}

// observe adds a time to a histogram.
func (g *Gateway) observe(name string, d time.Duration) {
	metrics.GetOrRegisterTimer(name, g.metrics).Update(d)
}
