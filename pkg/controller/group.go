package controller

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/expertmap"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/lease"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/rankgroup"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/weightstore"
)

// group owns one rank group while it holds the group's lease. One mutex guards the owner, the
// planner and the state of the ranks; no I/O is done while it is held.
type group struct {
	settings      Settings
	groupSettings GroupSettings
	lease         *lease.Lease
	platform      *platform.Client
	rankClients   []*peer.Client
	events        *event.Recorder
	metrics       groupMetrics
	// weightBudget is nil when the rate of the weight store is not limited.
	weightBudget *weightstore.BudgetClient

	mu sync.Mutex
	// owner is nil while the lease is not held.
	owner    *expertmap.Owner
	planning planState
	// lastResponse is the time of the last response of each rank, by rank index.
	lastResponse []time.Time
	// lastDecided is the newest decided map that was recorded as an event.
	lastDecided expertmap.Ref
	// calls are the goroutines of calls in flight.
	calls sync.WaitGroup
}

// groupMetrics holds the metrics of a group.
type groupMetrics struct {
	// switches counts the decided maps.
	switches metrics.Counter
	// replicaLoads counts the replicas of experts that were planned to be loaded.
	replicaLoads metrics.Counter
	// delayedLoads counts the replicas whose load was delayed by the weight store's budget.
	delayedLoads metrics.Counter
	// skew is the planner's skew of the loads over the ranks.
	skew metrics.GaugeFloat64
}

func newGroupMetrics(name string, r metrics.Registry) groupMetrics {
	return groupMetrics{
		switches:     metrics.GetOrRegisterCounter("group_"+name+"_switches", r),
		replicaLoads: metrics.GetOrRegisterCounter("group_"+name+"_replica_loads", r),
		delayedLoads: metrics.GetOrRegisterCounter("group_"+name+"_replica_loads_delayed", r),
		skew:         metrics.GetOrRegisterGaugeFloat64("group_"+name+"_skew", r),
	}
}

func newGroup(s Settings, g GroupSettings, p *platform.Client, c peer.Credentials, rec *event.Recorder, reg metrics.Registry) *group {
	out := &group{
		settings: s, groupSettings: g, platform: p, events: rec,
		lease:        lease.New(p, rankgroup.RecordKind+"-"+g.Name, s.Name, s.LeaseDuration()),
		metrics:      newGroupMetrics(g.Name, reg),
		lastResponse: make([]time.Time, len(g.Ranks)),
	}
	if rate := s.WeightStore.BytesPerSecond; rate > 0 {
		out.weightBudget = weightstore.NewBudgetClient(p, g.Name, rate)
	}
	for _, address := range g.Ranks {
		out.rankClients = append(out.rankClients, peer.NewClient(address, c))
	}
	return out
}

// run renews the lease and, while it is held, plans placements and sends orders, until ctx is done.
func (g *group) run(ctx context.Context) {
	defer g.calls.Wait()
	tick := time.NewTicker(g.settings.TickInterval())
	defer tick.Stop()
	var renew, plan time.Time
	for ctx.Err() == nil {
		now := time.Now()
		if now.After(renew) {
			renew = now.Add(g.settings.LeaseDuration() / renewalsPerLease)
			g.renewLease(ctx, now)
		}
		if now.After(plan) && g.hasOwner() {
			plan = now.Add(g.settings.PlanInterval())
			g.plan(ctx)
		}
		g.sendOrders(ctx)
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// renewLease acquires or renews the lease. It discards the owner when the lease was lost, or
// when a higher fencing token was seen, and starts one for a newly acquired lease.
func (g *group) renewLease(ctx context.Context, now time.Time) {
	err := g.lease.AcquireOrRenew(ctx, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	ownsLease := g.lease.IsHeld()
	if g.owner != nil && (!ownsLease || g.owner.FencingToken() != g.lease.FencingToken() || g.owner.IsSuperseded()) {
		g.lease.RequireFencingTokenAbove(g.owner.Record().FencingToken)
		g.owner = nil
		detail := g.groupSettings.Name
		if err != nil {
			detail += ": " + err.Error()
		}
		g.events.Record(event.Event{Kind: event.GroupReleased, Detail: detail})
	}
	if ownsLease && g.owner == nil {
		g.startOwner(now)
	}
}

// startOwner starts an owner with the fencing token of the lease. The caller must hold g.mu.
func (g *group) startOwner(now time.Time) {
	s := &recordStore{group: g}
	s.owner = expertmap.NewOwner(g.lease.FencingToken(), s)
	g.owner = s.owner
	g.planning = planState{}
	for i := range g.lastResponse {
		g.lastResponse[i] = now
	}
	g.events.Record(event.Event{Kind: event.GroupOwned, Detail: fmt.Sprintf("%s fence %d", g.groupSettings.Name, g.owner.FencingToken())})
}

func (g *group) hasOwner() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.owner != nil
}

// sendOrders ticks the owner and sends the orders that are due.
func (g *group) sendOrders(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.owner == nil {
		return
	}
	o := g.owner
	for _, e := range o.Tick() {
		g.calls.Go(func() { g.sendOrder(ctx, o, e) })
	}
	g.recordDecidedMap()
}

// recordDecidedMap records an event when another map has been decided. The caller must hold g.mu.
func (g *group) recordDecidedMap() {
	d := g.owner.Record().Decided
	if d == nil || d.Ref == g.lastDecided {
		return
	}
	g.lastDecided = d.Ref
	g.metrics.switches.Inc(1)
	g.events.Record(event.Event{Kind: event.MapDecided, Detail: g.groupSettings.Name + " epoch " + strconv.FormatInt(d.Epoch, 10)})
}

// sendOrder sends one order and passes the report to the owner that issued it.
func (g *group) sendOrder(ctx context.Context, o *expertmap.Owner, e expertmap.Envelope) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r, err := peer.Call[expertmap.RankReport](ctx, g.rankClients[e.To], rankgroup.MethodOrder, rankgroup.NewOrder(e.Message))
	if err != nil {
		// The owner repeats the order at the next tick.
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastResponse[e.To] = time.Now()
	o.HandleReport(r)
}

// orderTimeout is the timeout of a call to a rank.
const orderTimeout = time.Second
