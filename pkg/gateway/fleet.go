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

	mu       sync.Mutex
	list     *inventory.Inventory
	zonesOut map[string]bool
	services map[string]*route.Service
	seen     map[string]*sight
	// entries is the number of gateways that share what is bounded over all of them.
	entries int
}

// sight is what the gateway has seen of one upstream.
type sight struct {
	running int
	// load is the work of all entries there as the leader of its group told at loadAt,
	// and started the attempts that this entry has sent since.
	load   int
	loadAt time.Time
	// still is until when the upstream's group is taken to stand still.
	still time.Time
	// pace is how much longer than usual the upstream takes, as told with the load.
	pace    float64
	started int
	// failures is the part of attempts that failed, as it was at failedAt.
	failures float64
	failedAt time.Time
	// took is the recent time to an answer.
	took time.Duration
	// suspended is until when the upstream is tried only when no other is there, and
	// strikes the failures in a row that led there.
	suspended time.Time
	strikes   int
	cold      pick.Bucket
}

const (
	// sampleWeight is the weight of the newest attempt in what is seen of an upstream.
	sampleWeight = 0.15
	// loadLife is how long a told load serves; the leader tells it ten times a second.
	loadLife = time.Second
	// failureMemory is the time in which a failure loses two thirds of its weight: an
	// upstream that nobody asks cannot show that it has recovered.
	failureMemory = 1500 * time.Millisecond
	// firstSuspension and maxSuspension bound how long an upstream is left alone after
	// its connection failed; it doubles with each failure in a row.
	firstSuspension = 250 * time.Millisecond
	maxSuspension   = 2 * time.Second
)

// NewFleet returns a fleet without upstreams.
func NewFleet(n platform.Node) *Fleet {
	return &Fleet{
		zone: n.Zone, warmup: n.Warmup, list: inventory.New(),
		zonesOut: map[string]bool{}, services: map[string]*route.Service{},
		seen: map[string]*sight{}, entries: 1,
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
	f.entries = max(n, 1)
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
	change(f.list, f.warmupOf)
	for id := range f.seen {
		if f.list.Entries()[id] == nil && f.seen[id].running == 0 {
			delete(f.seen, id)
		}
	}
}

func (f *Fleet) warmupOf(service string) time.Duration {
	if s := f.services[service]; s != nil {
		return s.Warmup
	}
	return 0
}

// SetLoads takes in the work at the upstreams of a group, and how much longer than usual
// the slow ones take, both by address.
func (f *Fleet) SetLoads(loads map[string]int, paces map[string]float64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, e := range f.list.Entries() {
		if n, ok := loads[e.Address]; ok {
			s := f.sight(id)
			s.load, s.loadAt, s.started, s.pace, s.still = n, now, 0, paces[e.Address], time.Time{}
		}
	}
}

// SetStill leaves upstreams of a group that stands still, by address, as a last resort until a
// time: another group of the service may run.
func (f *Fleet) SetStill(loads map[string]int, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, e := range f.list.Entries() {
		if _, ok := loads[e.Address]; ok {
			f.sight(id).still = until
		}
	}
}

// work returns the work of all entries at an upstream: what was told and what this one has
// started since, or, where nothing was told, as if the others had as much there as this one.
func (s *sight) work(entries int, now time.Time) int {
	if s.loadAt.IsZero() || now.Sub(s.loadAt) > loadLife {
		return s.running * entries
	}
	return s.load + s.started
}

// failing returns the recent part of attempts that failed.
func (s *sight) failing(now time.Time) float64 {
	return s.failures * math.Exp(-float64(now.Sub(s.failedAt))/float64(failureMemory))
}

// sample takes in whether an attempt failed.
func (s *sight) sample(failed float64, now time.Time) {
	s.failures = s.failing(now) + sampleWeight*(failed-s.failing(now))
	s.failedAt = now
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
	f.list.Expire(now)
	candidates, ids := f.candidates(service, tried, now)
	best := pick.Best(candidates, rand.Float64)
	if best < 0 {
		return Target{}, false
	}
	e := f.list.Entries()[ids[best]]
	s := f.sight(e.ID)
	if candidates[best].Cold && !s.cold.Take(f.coldRate(service), now) {
		return Target{}, false
	}
	s.running++
	s.started++
	return Target{ID: e.ID, Address: e.Address, MaxConnections: f.connections(service)}, true
}

func (f *Fleet) candidates(service string, tried []string, now time.Time) ([]pick.Candidate, []string) {
	var out []pick.Candidate
	var ids []string
	usual := time.Duration(0)
	if v := f.services[service]; v == nil || v.Engine == nil {
		// Ranks of a group are all as fast as the slowest, and answers differ in length.
		usual = f.usualTime(service)
	}
	for id, e := range f.list.Entries() {
		if e.Service != service || e.Leaving || f.zonesOut[e.Zone] || slices.Contains(tried, id) {
			continue
		}
		s := f.sight(id)
		cold := now.Before(e.ColdUntil) && f.coldRate(service) > 0
		if cold && !s.cold.Ready(f.coldRate(service), now) {
			continue
		}
		c := pick.Candidate{
			ID: id, Running: s.work(f.entries, now), Capacity: e.Capacity, Failures: s.failing(now),
			Cold: cold, Doubtful: e.Doubtful || f.list.Outlived(id), Suspended: now.Before(s.suspended) || now.Before(s.still), Far: e.Zone != f.zone,
		}
		if now.Sub(s.loadAt) <= loadLife {
			c.Slowness = s.pace
		}
		if usual > 0 {
			c.Slowness = float64(s.took) / float64(usual)
		}
		out = append(out, c)
		ids = append(ids, id)
	}
	return out, ids
}

// usualTime returns the mean time to an answer over the upstreams of a service.
func (f *Fleet) usualTime(service string) time.Duration {
	sum, n := time.Duration(0), 0
	for id, e := range f.list.Entries() {
		if s := f.seen[id]; s != nil && e.Service == service && s.took > 0 {
			sum += s.took
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// coldRate returns this gateway's part of the starts a second at a cold upstream; 0 means
// that starts are not bounded.
func (f *Fleet) coldRate(service string) float64 {
	s := f.services[service]
	if s == nil || s.WarmupRate <= 0 {
		return 0
	}
	return s.WarmupRate / float64(f.entries)
}

// connections returns this gateway's part of the connections to one upstream.
func (f *Fleet) connections(service string) int {
	s := f.services[service]
	if s == nil || s.MaxConnections <= 0 {
		return 0
	}
	return max(2, s.MaxConnections/f.entries)
}

func (f *Fleet) sight(id string) *sight {
	s := f.seen[id]
	if s == nil {
		s = &sight{}
		f.seen[id] = s
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
func (f *Fleet) Release(id string, r Report, took time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sight(id)
	s.running--
	switch r {
	case Succeeded:
		s.sample(0, now)
		s.strikes = 0
		s.suspended = time.Time{}
		if s.took == 0 {
			s.took = took
		}
		s.took += time.Duration(sampleWeight * float64(took-s.took))
	case Failed:
		s.sample(1, now)
	case Unreachable:
		s.sample(1, now)
		s.suspended = now.Add(min(firstSuspension<<min(s.strikes, 8), maxSuspension))
		s.strikes++
	}
}

// Usable returns the number of upstreams of a service that may take work, and the places
// that they have.
func (f *Fleet) Usable(service string) (upstreams, places int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.list.Entries() {
		if e.Service == service && !e.Leaving && !f.zonesOut[e.Zone] {
			upstreams++
			places += e.Capacity
		}
	}
	return upstreams, places
}
