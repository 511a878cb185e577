package gateway

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/availability"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/inventory"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/pick"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/requestlimit"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/route"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// Fleet holds the list of upstreams and this gateway's observations of them. It is safe for
// concurrent use.
type Fleet struct {
	zone   string
	warmup platform.WarmupLimits
	// limits has a lock of its own, which is taken after mu.
	limits *requestLimits

	mu sync.Mutex
	// pauses are those that upstreams asked this gateway for.
	pauses    *availability.Pauses
	upstreams *inventory.Inventory
	// upstreamsListed is set once the store has listed the upstreams.
	upstreamsListed bool
	zonesOut        map[string]bool
	// zonesListed is set once the store has listed the zones that are out.
	zonesListed bool
	// zonesKeptOut are the zones that were out before the store was rewound, until rewoundUntil.
	zonesKeptOut map[string]bool
	rewoundUntil time.Time
	services     map[string]*route.Service
	observations map[string]*observation
	// gatewayCount is the number of gateways that run, and sharingCount that of those that may start requests at cold
	// upstreams. self is this one, and gateways are the names of those that run.
	gatewayCount int
	sharingCount int
	self         string
	gateways     []string
	// eventProgress has the newest event of all streams, by service.
	eventProgress map[string]eventProgress
	// startRates has the attempts of this gateway and the reports on loads, by service.
	startRates map[string]*startRate
}

// observation is the state of one upstream as this gateway observes it.
type observation struct {
	running int
	// reportedLoad is the work of all gateways at the upstream as reported by the leader of its
	// group at reportedAt, and startedSinceReport the attempts of this gateway since then.
	reportedLoad int
	reportedAt   time.Time
	// stalledUntil is the time until which the upstream's group counts as stalled.
	stalledUntil time.Time
	// slowdown is how many times longer than usual the upstream takes, as reported with the load.
	slowdown           float64
	startedSinceReport int
	// failureRate is the moving average of the fraction of failed attempts, as of failureRateAt.
	failureRate   float64
	failureRateAt time.Time
	// responseTime is the moving average of the duration of successful attempts, of which the last ended at responseTimeAt.
	responseTime   time.Duration
	responseTimeAt time.Time
	// suspendedUntil is the time until which the upstream is chosen only if there is no other, and
	// consecutiveFailures the number of failed connections since the last success.
	suspendedUntil      time.Time
	consecutiveFailures int
	coldStarts          pick.TokenBucket
	// progressAt is when the upstream last sent an event of a stream, or when this gateway sent work
	// to it while it had none there.
	progressAt time.Time
	// unlistedSince is when the upstream was last found to be missing in the list, zero while it is listed.
	unlistedSince time.Time
	// toldSilentUntil is the time until which the upstream counts as silent because a peer reported that.
	toldSilentUntil time.Time
}

const (
	// sampleWeight is the weight of the newest sample in moving averages.
	sampleWeight = 0.15
	// loadTTL is how long a reported load is valid; the leader reports it ten times a second.
	loadTTL = time.Second
	// failureDecayTime is the time in which a failure loses two thirds of its weight. Without the
	// decay an upstream that is no longer chosen could not show that it has recovered.
	failureDecayTime = 1500 * time.Millisecond
	// slowdownDecayTime is the same for slow responses.
	slowdownDecayTime = 3 * time.Second
	// leastSlowdown is the slowdown from which an upstream counts as slower than the others.
	leastSlowdown = 1.05
	// observationTTL is how long an upstream that is no longer listed is remembered: its entry may come back.
	observationTTL = 10 * time.Second
	// minSuspension and maxSuspension limit how long an upstream is avoided after its connection
	// failed; the time doubles with each consecutive failure.
	minSuspension = 250 * time.Millisecond
	maxSuspension = 2 * time.Second
)

// NewFleet returns a fleet without upstreams.
func NewFleet(n platform.Settings, log hclog.Logger) *Fleet {
	return &Fleet{
		zone: n.Zone, self: n.Name, warmup: n.WarmupLimits, limits: newRequestLimits(n.Name, log), upstreams: inventory.New(), pauses: availability.NewPauses(),
		zonesOut: map[string]bool{}, zonesKeptOut: map[string]bool{}, services: map[string]*route.Service{},
		observations: map[string]*observation{}, gatewayCount: 1, sharingCount: 1, eventProgress: map[string]eventProgress{}, startRates: map[string]*startRate{},
	}
}

// SetServices replaces the services by those of a new configuration.
func (f *Fleet) SetServices(s map[string]*route.Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.services = s
}

// SetGatewayCount sets the numbers of gateways, see Gateway.SetGatewayCount.
func (f *Fleet) SetGatewayCount(running, sharing int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gatewayCount, f.sharingCount = max(running, 1), max(sharing, 1)
}

// SetZoneOut marks an availability zone as taken out or as back in use.
func (f *Fleet) SetZoneOut(zone string, out bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.zonesOut[zone] = out
	delete(f.zonesKeptOut, zone)
}

// KeepZonesOut keeps the zones that are out now as they are, also when the next list leaves them out:
// the store was rewound, and operators may have to write again that a zone is out.
func (f *Fleet) KeepZonesOut(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !now.Before(f.rewoundUntil) {
		f.zonesKeptOut = map[string]bool{}
	}
	maps.Copy(f.zonesKeptOut, f.zonesOut)
	f.rewoundUntil = now.Add(inventory.RewriteTime)
}

// isZoneOut reports whether no work may go to a zone. The caller holds f.mu.
func (f *Fleet) isZoneOut(zone string, now time.Time) bool {
	return f.zonesOut[zone] || f.zonesKeptOut[zone] && now.Before(f.rewoundUntil)
}

// SetZonesOut replaces the set of availability zones that are taken out.
func (f *Fleet) SetZonesOut(zones []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.zonesOut, f.zonesListed = map[string]bool{}, true
	for _, z := range zones {
		f.zonesOut[z] = true
	}
}

// ReplaceUpstreams replaces the list of upstreams by that of the store.
func (f *Fleet) ReplaceUpstreams(list []inventory.Upstream) {
	f.mu.Lock()
	f.upstreamsListed = true
	f.mu.Unlock()
	f.Update(func(v *inventory.Inventory, warmup func(string) time.Duration) { v.Replace(list, warmup, time.Now()) })
}

// KnowsUpstreams reports whether the store or a peer has told which upstreams there are.
func (f *Fleet) KnowsUpstreams() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreamsListed || len(f.upstreams.Entries()) > 0
}

// Update calls change with the list of upstreams while it holds the fleet's lock.
func (f *Fleet) Update(change func(list *inventory.Inventory, warmup func(service string) time.Duration)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.upstreams, f.warmupTime)
	f.pruneObservations(time.Now())
}

// pruneObservations forgets the upstreams that have not been listed for observationTTL. The caller holds f.mu.
func (f *Fleet) pruneObservations(now time.Time) {
	for id, s := range f.observations {
		switch {
		case f.upstreams.Entries()[id] != nil:
			s.unlistedSince = time.Time{}
		case s.unlistedSince.IsZero():
			s.unlistedSince = now
		case now.Sub(s.unlistedSince) > observationTTL && s.running == 0:
			delete(f.observations, id)
		}
	}
}

func (f *Fleet) warmupTime(service string) time.Duration {
	if s := f.services[service]; s != nil {
		return s.Warmup
	}
	return 0
}

// SetLoads records a leader's report on the upstreams of a group, by address: the work at each of
// them and the slowdown factors of the slow ones.
func (f *Fleet) SetLoads(loads map[string]int, slowdowns map[string]float64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	counted := map[string]bool{}
	for id, e := range f.upstreams.Entries() {
		if n, ok := loads[e.Address]; ok {
			s := f.observation(id)
			if !counted[e.Service] {
				counted[e.Service] = true
				f.startRate(e.Service).recordReport(now.Sub(s.reportedAt), now)
			}
			s.reportedLoad, s.reportedAt, s.startedSinceReport, s.slowdown, s.stalledUntil = n, now, 0, slowdowns[e.Address], time.Time{}
		}
	}
}

// SetStalled marks the upstreams of a stalled group, by address, as a last resort until the given
// time: another group of the service may be running.
func (f *Fleet) SetStalled(loads map[string]int, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, e := range f.upstreams.Entries() {
		if _, ok := loads[e.Address]; ok {
			f.observation(id).stalledUntil = until
		}
	}
}

// totalWork returns the work of all gateways at an upstream: the reported load plus the attempts
// that this gateway has started since. Without a valid report it assumes that every gateway has as
// much running there as this one.
func (s *observation) totalWork(gatewayCount int, now time.Time) int {
	if s.reportedAt.IsZero() || now.Sub(s.reportedAt) > loadTTL {
		return s.running * gatewayCount
	}
	return s.reportedLoad + s.startedSinceReport
}

// decayedFailureRate returns the recent fraction of failed attempts.
func (s *observation) decayedFailureRate(now time.Time) float64 {
	return s.failureRate * math.Exp(-float64(now.Sub(s.failureRateAt))/float64(failureDecayTime))
}

// recordResponseTime adds a response to the moving average. The longer ago the last one was, the less counts what was before.
func (s *observation) recordResponseTime(took time.Duration, now time.Time) {
	if s.responseTime == 0 {
		s.responseTime = took
	}
	weight := 1 - (1-sampleWeight)*math.Exp(-float64(now.Sub(s.responseTimeAt))/float64(slowdownDecayTime))
	s.responseTime += time.Duration(weight * float64(took-s.responseTime))
	s.responseTimeAt = now
}

// decayedSlowdown returns the response time relative to the mean of all upstreams. A slow response counts for less as time
// passes: an upstream that is avoided for it gets no requests that could show that it is fast.
func (s *observation) decayedSlowdown(mean time.Duration, now time.Time) float64 {
	slowdown := float64(s.responseTime) / float64(mean)
	slowdown = 1 + max(0, slowdown-1)*math.Exp(-float64(now.Sub(s.responseTimeAt))/float64(slowdownDecayTime))
	if slowdown < leastSlowdown {
		return 1
	}
	return slowdown
}

// recordResult adds an attempt to the failure rate: 1 for a failure and 0 for a success.
func (s *observation) recordResult(failure float64, now time.Time) {
	s.failureRate = s.decayedFailureRate(now) + sampleWeight*(failure-s.decayedFailureRate(now))
	s.failureRateAt = now
}

// Target is the upstream chosen for an attempt. MaxConnections is 0 for no limit.
type Target struct {
	ID             string
	Address        string
	MaxConnections int
	// Incarnation identifies the upstream in its statements on limits.
	Incarnation requestlimit.Upstream
	// HasRoom is set if the work known at the upstream is below its capacity, so that a rejection
	// has another reason.
	HasRoom bool
	// Superseded is set if another upstream has started at the address since, so that the attempt will be rejected.
	Superseded bool
	// isTrial is set for one of the few requests that an upstream gets after a pause.
	isTrial bool
}

// Choose reserves a slot at the best upstream of a service, except those with an ID in tried. It
// returns false when no upstream can be used. Release frees the slot.
func (f *Fleet) Choose(service string, tried []string, now time.Time) (Target, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstreams.RemoveUnconfirmed(now)
	candidates, ids := f.candidates(service, tried, now)
	best := pick.Spread(candidates, f.expectedStarts(service, now), rand.Float64)
	if best < 0 {
		return Target{}, false
	}
	e := f.upstreams.Entries()[ids[best]]
	s := f.observation(e.ID)
	if candidates[best].Cold && !s.coldStarts.Take(f.coldStartRate(service, e.ID), now) {
		return Target{}, false
	}
	if s.running == 0 {
		s.progressAt = now
	}
	s.running++
	s.startedSinceReport++
	f.startRate(service).started++
	return Target{
		ID: e.ID, Address: e.Address, MaxConnections: f.connectionLimit(service), Incarnation: incarnationOf(e),
		isTrial: f.pauses.Start(incarnationOf(e), now),
		HasRoom: candidates[best].Running < candidates[best].Capacity, Superseded: candidates[best].Superseded,
	}, true
}

// incarnationOf identifies an upstream in its statements on limits.
func incarnationOf(e *inventory.Entry) requestlimit.Upstream {
	u := requestlimit.Upstream{ID: e.ID}
	if !e.StartedAt.IsZero() {
		u.StartedAtMillis = e.StartedAt.UnixMilli()
	}
	return u
}

// Unreserve frees a slot that Choose reserved for an attempt that was not made.
func (f *Fleet) Unreserve(t Target, now time.Time) {
	f.EndTrial(t, false, now)
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.observation(t.ID)
	s.running--
	s.startedSinceReport = max(0, s.startedSinceReport-1)
}

// Prune forgets the limits of upstreams that are gone, and pauses that are over.
func (f *Fleet) Prune(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pauses.Prune(now)
	listed := map[requestlimit.Upstream]bool{}
	for _, e := range f.upstreams.Entries() {
		listed[incarnationOf(e)] = true
	}
	f.limits.prune(func(u requestlimit.Upstream) bool { return listed[u] }, now)
}

func (f *Fleet) candidates(service string, tried []string, now time.Time) ([]pick.Candidate, []string) {
	var candidates []pick.Candidate
	var ids []string
	meanTime := time.Duration(0)
	if v := f.services[service]; v == nil || v.Engine == nil {
		// The response times of ranks are not compared: the slowest rank sets the pass time of its
		// group, and responses differ in length.
		meanTime = f.meanResponseTime(service)
	}
	for id, e := range f.upstreams.Entries() {
		if e.Service != service || slices.Contains(tried, id) {
			continue
		}
		decision := f.check(e, now)
		if decision.Excluded {
			continue
		}
		s := f.observation(id)
		c := pick.Candidate{
			ID: id, Running: s.totalWork(f.gatewayCount, now), Capacity: e.Capacity, Failures: s.decayedFailureRate(now), Cold: f.isCold(e, now),
			Superseded: decision.Reason == availability.Superseded, OtherZone: e.Zone != f.zone, LastResort: decision.IsLastResort(),
		}
		if now.Sub(s.reportedAt) <= loadTTL {
			c.Slowdown = s.slowdown
		}
		if meanTime > 0 {
			c.Slowdown = s.decayedSlowdown(meanTime, now)
		}
		candidates = append(candidates, c)
		ids = append(ids, id)
	}
	return candidates, ids
}

// meanResponseTime returns the mean response time over the upstreams of a service, 0 if unknown.
func (f *Fleet) meanResponseTime(service string) time.Duration {
	sum, n := time.Duration(0), 0
	for id, e := range f.upstreams.Entries() {
		if s := f.observations[id]; s != nil && e.Service == service && s.responseTime > 0 {
			sum += s.responseTime
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

func (f *Fleet) observation(id string) *observation {
	s := f.observations[id]
	if s == nil {
		s = &observation{}
		f.observations[id] = s
	}
	return s
}

// AttemptResult is the result of an attempt as far as it concerns the upstream.
type AttemptResult int

// Results of attempts.
const (
	// ResultNeutral does not indicate the state of the upstream: the caller disconnected or
	// the request was invalid.
	ResultNeutral AttemptResult = iota
	ResultSucceeded
	ResultFailed
	// ResultUnreachable means that the connection failed or another upstream has the address.
	ResultUnreachable
)

// Release frees a slot and records the result of the attempt and its duration.
func (f *Fleet) Release(id string, report AttemptResult, took time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.observation(id)
	s.running--
	switch report {
	case ResultSucceeded:
		s.recordResult(0, now)
		s.consecutiveFailures = 0
		s.suspendedUntil = time.Time{}
		s.recordResponseTime(took, now)
	case ResultFailed:
		s.recordResult(1, now)
	case ResultUnreachable:
		s.recordResult(1, now)
		s.suspendedUntil = now.Add(min(minSuspension<<min(s.consecutiveFailures, 8), maxSuspension))
		s.consecutiveFailures++
	}
}
