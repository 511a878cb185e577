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

// group owns one rank group while it holds the group's lease. One mutex guards the
// owner, the planner and what is known of the ranks; no I/O is done while it is held.
type group struct {
	settings Settings
	group    GroupSettings
	lease    *lease.Lease
	platform *platform.Client
	ranks    []*peer.Client
	events   *event.Recorder
	meters   groupMeters
	// share is nil when the weight store has no bound.
	share *weightstore.Share

	mu      sync.Mutex
	owner   *expertmap.Owner
	plans   planState
	heard   []time.Time
	decided expertmap.Ref
	calls   sync.WaitGroup
}

// groupMeters are the metrics of a group.
type groupMeters struct {
	switches metrics.Counter
	loads    metrics.Counter
	delayed  metrics.Counter
	skew     metrics.GaugeFloat64
}

func newGroupMeters(name string, r metrics.Registry) groupMeters {
	return groupMeters{
		switches: metrics.GetOrRegisterCounter("group_"+name+"_switches", r),
		loads:    metrics.GetOrRegisterCounter("group_"+name+"_replica_loads", r),
		delayed:  metrics.GetOrRegisterCounter("group_"+name+"_replica_loads_delayed", r),
		skew:     metrics.GetOrRegisterGaugeFloat64("group_"+name+"_skew", r),
	}
}

func newGroup(s Settings, g GroupSettings, p *platform.Client, c peer.Credentials, rec *event.Recorder, reg metrics.Registry) *group {
	out := &group{
		settings: s, group: g, platform: p, events: rec,
		lease:  lease.New(p, rankgroup.Kind+"-"+g.Name, s.Name, s.Lease()),
		meters: newGroupMeters(g.Name, reg),
		heard:  make([]time.Time, len(g.Ranks)),
	}
	if rate := s.WeightStore.BytesPerSecond; rate > 0 {
		out.share = weightstore.NewShare(p, g.Name, rate)
	}
	for _, address := range g.Ranks {
		out.ranks = append(out.ranks, peer.NewClient(address, c))
	}
	return out
}

// run owns the group whenever it can, until ctx ends.
func (g *group) run(ctx context.Context) {
	defer g.calls.Wait()
	tick := time.NewTicker(g.settings.Tick())
	defer tick.Stop()
	var renew, plan time.Time
	for ctx.Err() == nil {
		now := time.Now()
		if now.After(renew) {
			renew = now.Add(g.settings.Lease() / renewals)
			g.renew(ctx, now)
		}
		if now.After(plan) && g.owns() {
			plan = now.Add(g.settings.Plan())
			g.plan(ctx)
		}
		g.act(ctx)
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// renew takes or renews the lease. A new fencing number starts a new owner.
func (g *group) renew(ctx context.Context, now time.Time) {
	err := g.lease.Step(ctx, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	held := g.lease.Held()
	if g.owner != nil && (!held || g.owner.Fence() != g.lease.Fence() || g.owner.Lost()) {
		g.lease.Raise(g.owner.Record().Fence)
		g.owner = nil
		detail := g.group.Name
		if err != nil {
			detail += ": " + err.Error()
		}
		g.events.Record(event.Event{Kind: event.GroupReleased, Detail: detail})
	}
	if held && g.owner == nil {
		g.own(now)
	}
}

// own starts an owner. Group.mu is held.
func (g *group) own(now time.Time) {
	s := &store{group: g}
	s.owner = expertmap.NewOwner(g.lease.Fence(), s)
	g.owner = s.owner
	g.plans = planState{}
	for i := range g.heard {
		g.heard[i] = now
	}
	g.events.Record(event.Event{Kind: event.GroupOwned, Detail: fmt.Sprintf("%s fence %d", g.group.Name, g.owner.Fence())})
}

func (g *group) owns() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.owner != nil
}

// act sends the orders that are due.
func (g *group) act(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.owner == nil {
		return
	}
	o := g.owner
	for _, e := range o.Tick() {
		g.calls.Go(func() { g.order(ctx, o, e) })
	}
	g.note()
}

// note records that another map was decided. Group.mu is held.
func (g *group) note() {
	d := g.owner.Record().Decided
	if d == nil || d.Ref == g.decided {
		return
	}
	g.decided = d.Ref
	g.meters.switches.Inc(1)
	g.events.Record(event.Event{Kind: event.MapDecided, Detail: g.group.Name + " epoch " + strconv.FormatInt(d.Epoch, 10)})
}

// order sends one order and hands the report to the owner that gave it.
func (g *group) order(ctx context.Context, o *expertmap.Owner, e expertmap.Envelope) {
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	r, err := peer.Call[expertmap.Report](ctx, g.ranks[e.To], rankgroup.MethodOrder, rankgroup.NewOrder(e.Message))
	if err != nil {
		// The order is repeated at the next tick.
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heard[e.To] = time.Now()
	o.Report(r)
}

// orderLimit bounds an order.
const orderLimit = time.Second
