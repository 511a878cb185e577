package gateway

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/inventory"
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
	if f.sharingCount <= starters {
		return rate / float64(f.sharingCount)
	}
	if !pick.IsAmongFirst(f.self, f.gateways, id, starters) {
		return 0
	}
	return rate / float64(starters)
}

// isCold reports whether the starts at an upstream are limited now. The caller holds f.mu.
func (f *Fleet) isCold(e *inventory.Entry, now time.Time) bool {
	return now.Before(e.ColdUntil) && f.limitsColdStarts(e.Service)
}
