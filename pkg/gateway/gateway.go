package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/exchange"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/intake"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/retry"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/route"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// Gateway serves callers' requests. It is safe for concurrent use.
type Gateway struct {
	node      platform.Settings
	log       hclog.Logger
	metrics   metrics.Registry
	fleet     *Fleet
	deadlines deadlineTracker
	permits   *permits
	crashes   *crashWatch
	feed      *storeFeed
	// onSilence is called when an upstream has fallen silent; it is set before the first request.
	onSilence func()
	silence   silenceReporter
	pool      *exchange.Pool
	// inProgress bounds the requests in progress by service.
	inProgress *inProgress
	// onConfiguration is called with the limits of each configuration that is put into force; it is set before the first one.
	onConfiguration  func(route.Limits)
	table            atomic.Pointer[route.Table]
	rawConfiguration atomic.Pointer[rawConfiguration]
	// plannedStop is set when the stop signal arrives.
	plannedStop atomic.Pointer[plannedStop]
	// calls ends when all calls in progress are to be ended, by endCalls.
	calls    context.Context
	endCalls context.CancelFunc
	// requestCount is the number of requests since the start of the process; it numbers them.
	requestCount atomic.Uint64
	// storeLostAt is when the connection to the store was lost, in nanoseconds after startedAt;
	// 0 while it is up.
	storeLostAt atomic.Int64
	startedAt   time.Time

	mu sync.Mutex
	// missedVersion is a configuration version that a peer was first heard to have at missedSince,
	// when this gateway had an older one.
	missedVersion int64
	missedSince   time.Time
	// groupLimits are the newest reports of the leaders of groups, by service and group.
	groupLimits  map[string]map[string]groupLimit
	retryWindows map[string]*retry.Window
	// gatewayCount is the number of gateways that run, and sharingCount that of those that may spend the
	// retry budget, 0 while it is not known.
	gatewayCount int
	sharingCount int
}

// rawConfiguration is the newest configuration as received, kept for peers that request it.
type rawConfiguration struct {
	version int64
	spec    []byte
}

// New returns a gateway without a configuration.
func New(n platform.Settings, f *Fleet, log hclog.Logger, m metrics.Registry) *Gateway {
	calls, endCalls := context.WithCancel(context.Background())
	plan := intake.NewGatewayPlan(n.Resources)
	return &Gateway{
		calls: calls, endCalls: endCalls,
		node: n, log: log, metrics: m, fleet: f, permits: newPermits(), crashes: newCrashWatch(log), feed: newStoreFeed(), onSilence: func() {}, onConfiguration: func(route.Limits) {}, pool: exchange.NewPool(plan.UpstreamConnections), inProgress: newInProgress(plan.ServiceRequests),
		groupLimits: map[string]map[string]groupLimit{}, retryWindows: map[string]*retry.Window{}, gatewayCount: 1, sharingCount: 1, startedAt: time.Now(),
	}
}

// ApplyConfiguration puts a configuration into force if it is newer than the current one. Source
// names its origin in the log.
func (g *Gateway) ApplyConfiguration(spec []byte, source string) {
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
	g.onConfiguration(table.Limits())
	for name := range table.Services() {
		g.updateLimit(name)
	}
	g.log.Info("configuration-adopted", "version", c.Version, "routes", len(c.Routes), "requires_api_keys", table.RequiresAPIKeys(),
		"api_keys", table.APIKeyCount(), "source", source)
}

// Version returns the version of the configuration in force, 0 for none.
func (g *Gateway) Version() int64 {
	if t := g.table.Load(); t != nil {
		return t.Version()
	}
	return 0
}

// Ready reports whether the gateway has a configuration and is not stopping.
func (g *Gateway) Ready() bool { return g.table.Load() != nil && !g.isStopping() }

// SetGatewayCount sets the number of gateways that run, and the number of those among which limits are divided that
// all of them together must keep, 0 while that is not known.
func (g *Gateway) SetGatewayCount(running, sharing int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if running == g.gatewayCount && sharing == g.sharingCount {
		return
	}
	g.log.Info("entries-changed", "from", g.gatewayCount, "to", running, "sharing_from", g.sharingCount, "sharing_to", sharing)
	g.gatewayCount, g.sharingCount = running, sharing
	g.fleet.SetGatewayCount(running, sharing)
	if t := g.table.Load(); t != nil {
		for name := range t.Services() {
			g.updateLimit(name)
		}
	}
}

// RefreshLimits recomputes the permits of all services after a change of the list of upstreams.
func (g *Gateway) RefreshLimits() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.table.Load(); t != nil {
		for name := range t.Services() {
			g.updateLimit(name)
		}
	}
}

// retryShare is the fraction of the shared retry limit that the gateways use. The rest covers
// moments at which their number is not known exactly.
const retryShare = 0.75

// withdrawRetry takes one retry to a service from its budget and reports whether there was one.
func (g *Gateway) withdrawRetry(service string, now time.Time) bool {
	g.mu.Lock()
	granted := g.retryWindow(service, now).Withdraw(now)
	g.mu.Unlock()
	if !granted {
		g.count("retries_denied")
		return false
	}
	g.count("retries_granted")
	return true
}

// recordRequest counts a caller's request to a service in its retry budget.
func (g *Gateway) recordRequest(service string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryWindow(service, now).RecordRequest(now)
}

// retryWindow returns the retry budget of a service, with this gateway's share as it is now. The caller holds g.mu.
func (g *Gateway) retryWindow(service string, now time.Time) *retry.Window {
	b := g.node.RetryLimits
	w := g.retryWindows[service]
	if w == nil {
		w = retry.NewWindow(b.Window, retryShare*b.Ratio, 0)
		g.retryWindows[service] = w
	}
	w.SetAllowance(retry.ShareOfAllowance(retryShare*b.Allowance, g.sharingCount, now.Sub(g.startedAt), b.Window))
	return w
}

// count increments the counter with the name.
func (g *Gateway) count(name string) {
	metrics.GetOrRegisterCounter(name, g.metrics).Inc(1)
}

// observe records a duration in the timer with the name.
func (g *Gateway) observe(name string, d time.Duration) {
	metrics.GetOrRegisterTimer(name, g.metrics).Update(d)
}
