package gateway

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/inventory"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/pick"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/route"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// Fleet holds the upstreams and what this gateway has seen of them. It is safe for
// concurrent use.
type Fleet struct {
	zone   string
	warmup platform.WarmupBounds

	mu           sync.Mutex
	upstreams    *inventory.Inventory
	zonesOut     map[string]bool
	services     map[string]*route.Service
	observations map[string]*observation
	// gatewayCount is the number of gateways that share what is bounded over all of them.
	gatewayCount int
}

// observation is what the gateway has seen of one upstream.
type observation struct {
	running int
	// reportedLoad is the work of all entries there as the leader of its group told at loadAt,
	// and started the attempts that this entry has sent since.
	reportedLoad int
	reportedAt   time.Time
	// stalledUntil is until when the upstream's group is taken to stand stalledUntil.
	stalledUntil time.Time
	// slowdown is how much longer than usual the upstream takes, as told with the load.
	slowdown           float64
	startedSinceReport int
	// failureRate is the part of attempts that failed, as it was at failedAt.
	failureRate   float64
	failureRateAt time.Time
	// responseTime is the recent time to an answer.
	responseTime time.Duration
	// suspendedUntil is until when the upstream is tried only when no other is there, and
	// strikes the failures in a row that led there.
	suspendedUntil      time.Time
	consecutiveFailures int
	coldStarts          pick.Bucket
}

const (
	// sampleWeight is the weight of the newest attempt in what is seen of an upstream.
	sampleWeight = 0.15
	// loadTTL is how long a told load serves; the leader tells it ten times a second.
	loadTTL = time.Second
	// failureDecayTime is the time in which a failure loses two thirds of its weight: an
	// upstream that nobody asks cannot show that it has recovered.
	failureDecayTime = 1500 * time.Millisecond
	// minSuspension and maxSuspension bound how long an upstream is left alone after
	// its connection failed; it doubles with each failure in a row.
	minSuspension = 250 * time.Millisecond
	maxSuspension = 2 * time.Second
)

// NewFleet returns a fleet without upstreams.
func NewFleet(n platform.Node) *Fleet {
	return &Fleet{
		zone: n.Zone, warmup: n.Warmup, upstreams: inventory.New(),
		zonesOut: map[string]bool{}, services: map[string]*route.Service{},
		observations: map[string]*observation{}, gatewayCount: 1,
	}
}

// SetServices takes in the services of a new configuration.
func (f *Fleet) SetServices(s map[string]*route.Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.services = s
}

// SetEntries takes in the number of gateways.
func (f *Fleet) SetEntries(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gatewayCount = max(n, 1)
}

// SetZoneOut takes a zone out or back.
func (f *Fleet) SetZoneOut(zone string, out bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.zonesOut[zone] = out
}

// ReplaceZonesOut takes in all zones that are out.
func (f *Fleet) ReplaceZonesOut(zones []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.zonesOut = map[string]bool{}
	for _, z := range zones {
		f.zonesOut[z] = true
	}
}

// Change runs a change of the list under the fleet's lock.
func (f *Fleet) Change(change func(list *inventory.Inventory, warmup func(service string) time.Duration)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.upstreams, f.warmupTime)
	for id := range f.observations {
		if f.upstreams.Entries()[id] == nil && f.observations[id].running == 0 {
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

// SetLoads takes in the work at the upstreams of a group, and how much longer than usual
// the slow ones take, both by address.
func (f *Fleet) SetLoads(loads map[string]int, slowdowns map[string]float64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, e := range f.upstreams.Entries() {
		if n, ok := loads[e.Address]; ok {
			s := f.observation(id)
			s.reportedLoad, s.reportedAt, s.startedSinceReport, s.slowdown, s.stalledUntil = n, now, 0, slowdowns[e.Address], time.Time{}
		}
	}
}

// SetStill leaves upstreams of a group that stands still, by address, as a last resort until a
// time: another group of the service may run.
func (f *Fleet) SetStill(loads map[string]int, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, e := range f.upstreams.Entries() {
		if _, ok := loads[e.Address]; ok {
			f.observation(id).stalledUntil = until
		}
	}
}

// totalWork returns the totalWork of all entries at an upstream: what was told and what this one has
// started since, or, where nothing was told, as if the others had as much there as this one.
func (s *observation) totalWork(gatewayCount int, now time.Time) int {
	if s.reportedAt.IsZero() || now.Sub(s.reportedAt) > loadTTL {
		return s.running * gatewayCount
	}
	return s.reportedLoad + s.startedSinceReport
}

// decayedFailureRate returns the recent part of attempts that failed.
func (s *observation) decayedFailureRate(now time.Time) float64 {
	return s.failureRate * math.Exp(-float64(now.Sub(s.failureRateAt))/float64(failureDecayTime))
}

// recordResult takes in whether an attempt failed.
func (s *observation) recordResult(failure float64, now time.Time) {
	s.failureRate = s.decayedFailureRate(now) + sampleWeight*(failure-s.decayedFailureRate(now))
	s.failureRateAt = now
}

// Target is the upstream chosen for an attempt.
type Target struct {
	ID             string
	Address        string
	MaxConnections int
}

// Choose reserves a place at the best upstream of a service that was not tried before.
// Release gives the place back. It reports false when there is none.
func (f *Fleet) Choose(service string, tried []string, now time.Time) (Target, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstreams.Expire(now)
	candidates, ids := f.candidates(service, tried, now)
	best := pick.Best(candidates, rand.Float64)
	if best < 0 {
		return Target{}, false
	}
	e := f.upstreams.Entries()[ids[best]]
	s := f.observation(e.ID)
	if candidates[best].Cold && !s.coldStarts.Take(f.coldStartRate(service), now) {
		return Target{}, false
	}
	s.running++
	s.startedSinceReport++
	return Target{ID: e.ID, Address: e.Address, MaxConnections: f.connectionLimit(service)}, true
}

func (f *Fleet) candidates(service string, tried []string, now time.Time) ([]pick.Candidate, []string) {
	var candidates []pick.Candidate
	var ids []string
	meanTime := time.Duration(0)
	if v := f.services[service]; v == nil || v.Engine == nil {
		// Ranks of a group are all as fast as the slowest, and answers differ in length.
		meanTime = f.meanResponseTime(service)
	}
	for id, e := range f.upstreams.Entries() {
		if e.Service != service || e.Leaving || f.zonesOut[e.Zone] || slices.Contains(tried, id) {
			continue
		}
		s := f.observation(id)
		cold := now.Before(e.ColdUntil) && f.coldStartRate(service) > 0
		if cold && !s.coldStarts.Ready(f.coldStartRate(service), now) {
			continue
		}
		c := pick.Candidate{
			ID: id, Running: s.totalWork(f.gatewayCount, now), Capacity: e.Capacity, Failures: s.decayedFailureRate(now),
			Cold: cold, Doubtful: e.Doubtful || f.upstreams.Outlived(id), Suspended: now.Before(s.suspendedUntil) || now.Before(s.stalledUntil), Far: e.Zone != f.zone,
		}
		if now.Sub(s.reportedAt) <= loadTTL {
			c.Slowness = s.slowdown
		}
		if meanTime > 0 {
			c.Slowness = float64(s.responseTime) / float64(meanTime)
		}
		candidates = append(candidates, c)
		ids = append(ids, id)
	}
	return candidates, ids
}

// meanResponseTime returns the mean time to an answer over the upstreams of a service.
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

// coldStartRate returns this gateway's part of the starts a second at a cold upstream; 0 means
// that starts are not bounded.
func (f *Fleet) coldStartRate(service string) float64 {
	s := f.services[service]
	if s == nil || s.WarmupRate <= 0 {
		return 0
	}
	return s.WarmupRate / float64(f.gatewayCount)
}

// connectionLimit returns this gateway's part of the connectionLimit to one upstream.
func (f *Fleet) connectionLimit(service string) int {
	s := f.services[service]
	if s == nil || s.MaxConnections <= 0 {
		return 0
	}
	return max(2, s.MaxConnections/f.gatewayCount)
}

func (f *Fleet) observation(id string) *observation {
	s := f.observations[id]
	if s == nil {
		s = &observation{}
		f.observations[id] = s
	}
	return s
}

// Report is how an attempt at an upstream ended.
type Report int

// Reports.
const (
	// Neutral says nothing about the upstream: the caller left, or the request was at fault.
	Neutral Report = iota
	Succeeded
	Failed
	// Unreachable means that the connection failed.
	Unreachable
)

// Release gives a place back and takes in how the attempt ended after a time.
func (f *Fleet) Release(id string, report Report, took time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.observation(id)
	s.running--
	switch report {
	case Succeeded:
		s.recordResult(0, now)
		s.consecutiveFailures = 0
		s.suspendedUntil = time.Time{}
		if s.responseTime == 0 {
			s.responseTime = took
		}
		s.responseTime += time.Duration(sampleWeight * float64(took-s.responseTime))
	case Failed:
		s.recordResult(1, now)
	case Unreachable:
		s.recordResult(1, now)
		s.suspendedUntil = now.Add(min(minSuspension<<min(s.consecutiveFailures, 8), maxSuspension))
		s.consecutiveFailures++
	}
}

// Usable returns the number of upstreams of a service that may take work, and the places
// that they have.
func (f *Fleet) Usable(service string) (upstreams, slots int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.upstreams.Entries() {
		if e.Service == service && !e.Leaving && !f.zonesOut[e.Zone] {
			upstreams++
			slots += e.Capacity
		}
	}
	return upstreams, slots
}
