package requestlimit

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/pick"
)

const (
	// SettleTime is how long a gateway that becomes coordinator grants nothing. The others notice a
	// change within two heartbeats.
	SettleTime = 1200 * time.Millisecond
	// minPerSecond is the rate at which even an upstream with a lower limit gets requests: only an answer
	// shows that the limit has ended.
	minPerSecond = 0.25
	// minBurst and burstTime determine how many grants may be saved up: arrivals bunch, and grants that
	// cannot be saved are lost.
	minBurst  = 2.0
	burstTime = 250 * time.Millisecond
	// notCoordinatorWait is when to ask again after a gateway that is not the coordinator was asked.
	notCoordinatorWait = 200 * time.Millisecond
)

// Granter grants requests to the upstreams that its gateway coordinates. It is not safe for concurrent use.
type Granter struct {
	self string
	view View
	// changedAt is when the live gateways last changed.
	changedAt time.Time
	buckets   map[Upstream]*pick.TokenBucket
}

// NewGranter returns the granter of the gateway with this name, which knows no other one.
func NewGranter(self string, now time.Time) *Granter {
	return &Granter{
		self: self, view: View{Live: []string{self}, Recent: 1, Known: 1}, changedAt: now,
		buckets: map[Upstream]*pick.TokenBucket{},
	}
}

// SetView replaces the view; its live gateways are sorted. The buckets of upstreams that now have another
// coordinator are dropped.
func (g *Granter) SetView(v View, now time.Time) {
	if !v.equalLive(g.view) {
		g.changedAt = now
		for u := range g.buckets {
			if v.Coordinator(u) != g.self {
				delete(g.buckets, u)
			}
		}
	}
	g.view = v
}

// Coordinator returns the name of the gateway that grants the requests to an upstream.
func (g *Granter) Coordinator(u Upstream) string { return g.view.Coordinator(u) }

// Decision tells whether a request may be sent, and otherwise when the next one may be.
type Decision struct {
	Granted bool
	Wait    time.Duration
}

// Grant decides on one request to an upstream with a limit in requests per second.
func (g *Granter) Grant(u Upstream, perSecond float64, now time.Time) Decision {
	if g.view.Coordinator(u) != g.self {
		return Decision{Wait: notCoordinatorWait}
	}
	rate := max(perSecond, minPerSecond) * g.view.Share()
	b := g.buckets[u]
	if b == nil {
		if settled := g.changedAt.Add(SettleTime); now.Before(settled) {
			return Decision{Wait: settled.Sub(now)}
		}
		b = pick.NewEmptyTokenBucket(max(minBurst, rate*burstTime.Seconds()), now)
		g.buckets[u] = b
	}
	if b.Take(rate, now) {
		return Decision{Granted: true}
	}
	return Decision{Wait: b.Wait(rate)}
}

// Prune drops the buckets of upstreams without a limit.
func (g *Granter) Prune(isLimited func(Upstream) bool) {
	for u := range g.buckets {
		if !isLimited(u) {
			delete(g.buckets, u)
		}
	}
}
