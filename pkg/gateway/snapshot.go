package gateway

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/inventory"
)

// snapshot returns what this gateway knows.
func (g *Gateway) snapshot() Snapshot {
	var s Snapshot
	if d := g.rawConfiguration.Load(); d != nil {
		s.Configuration = d.spec
	}
	s.Upstreams, s.ZonesOut = g.fleet.snapshot()
	return s
}

// needsSnapshot reports whether a peer with a version of the configuration has news: the store is
// not heard, and this gateway is behind or began without the store.
func (g *Gateway) needsSnapshot(version int64) bool {
	if version <= g.Version() {
		return false
	}
	return g.storeLostAt.Load() != 0 || g.Version() == 0
}

// applySnapshot takes in what a peer knows.
func (g *Gateway) applySnapshot(s Snapshot, source string) {
	if len(s.Configuration) > 0 {
		g.Adopt(s.Configuration, source)
	}
	if g.fleet.applySnapshot(s.Upstreams, s.ZonesOut, time.Now()) {
		g.Refresh()
		g.log.Info("upstreams-learned", "source", source, "count", len(s.Upstreams))
	}
}

func (f *Fleet) snapshot() ([]inventory.Upstream, []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var zones []string
	for z, out := range f.zonesOut {
		if out {
			zones = append(zones, z)
		}
	}
	return f.upstreams.All(), zones
}

// applySnapshot takes in a peer's list where this gateway has none of its own.
func (f *Fleet) applySnapshot(list []inventory.Upstream, zones []string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.upstreams.Entries()) > 0 || len(list) == 0 {
		return false
	}
	f.upstreams.Replace(list, f.warmupTime, now)
	for _, z := range zones {
		f.zonesOut[z] = true
	}
	return true
}
