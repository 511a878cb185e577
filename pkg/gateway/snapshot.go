package gateway

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/inventory"
)

// snapshot returns what this gateway knows.
func (g *Gateway) snapshot() Snapshot {
	var s Snapshot
	if d := g.document.Load(); d != nil {
		s.Configuration = d.spec
	}
	s.Upstreams, s.ZonesOut = g.fleet.snapshot()
	return s
}

// wants reports whether a peer with a version of the configuration has news: the store is
// not heard, and this gateway is behind or began without the store.
func (g *Gateway) wants(version int64) bool {
	if version <= g.Version() {
		return false
	}
	return g.storeLost.Load() != 0 || g.Version() == 0
}

// learn takes in what a peer knows.
func (g *Gateway) learn(s Snapshot, source string) {
	if len(s.Configuration) > 0 {
		g.Adopt(s.Configuration, source)
	}
	if g.fleet.takeSnapshot(s.Upstreams, s.ZonesOut, time.Now()) {
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
	return f.list.All(), zones
}

// takeSnapshot takes in a peer's list where this gateway has none of its own.
func (f *Fleet) takeSnapshot(list []inventory.Upstream, zones []string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.list.Entries()) > 0 || len(list) == 0 {
		return false
	}
	f.list.Replace(list, f.warmupOf, now)
	for _, z := range zones {
		f.zonesOut[z] = true
	}
	return true
}
