package gateway

import (
	"slices"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/pick"
)

// SetGateways sets the names of the gateways that run, this one included.
func (f *Fleet) SetGateways(names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gateways = names
}

// limitsColdStarts reports whether the starts at cold upstreams of a service are limited. The caller holds f.mu.
func (f *Fleet) limitsColdStarts(service string) bool {
	s := f.services[service]
	return s != nil && s.WarmupRate > 0
}

// coldStartRate returns this gateway's share of the starts per second at a cold upstream, 0 if it may start nothing
// there: in a large fleet only some of the gateways may. The caller holds f.mu.
func (f *Fleet) coldStartRate(service, id string) float64 {
	if !f.limitsColdStarts(service) {
		return 0
	}
	rate := f.services[service].WarmupRate
	starters := pick.ColdStarters(rate, f.warmup.Overage, f.warmup.Allowance)
	if f.gatewayCount <= starters {
		return rate / float64(f.gatewayCount)
	}
	if !pick.IsAmongFirst(f.self, f.gateways, id, starters) {
		return 0
	}
	return rate / float64(starters)
}

// ColdStartWait returns the time until this gateway may start a request at a cold upstream of a service, except those with an
// ID in tried. It is 0 if there is no such upstream.
func (f *Fleet) ColdStartWait(service string, tried []string, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	shortest := time.Duration(0)
	if !f.limitsColdStarts(service) {
		return shortest
	}
	for id, e := range f.upstreams.Entries() {
		if e.Service != service || e.Leaving || !now.Before(e.ColdUntil) || f.isZoneOut(e.Zone, now) || slices.Contains(tried, id) {
			continue
		}
		rate := f.coldStartRate(service, id)
		if rate == 0 || f.upstreams.IsSuperseded(id) || f.limits.isDenied(incarnationOf(e), now) {
			continue
		}
		if wait := max(f.observation(id).coldStarts.WaitAt(rate, now), time.Millisecond); shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}
