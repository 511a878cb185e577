package gateway

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/inventory"
)

// snapshot returns the state that this gateway passes to peers.
func (g *Gateway) snapshot() Snapshot {
	var s Snapshot
	if d := g.rawConfiguration.Load(); d != nil {
		s.Configuration = d.spec
	}
	s.Upstreams, s.ZonesOut = g.fleet.snapshot()
	return s
}

// maxStoreLag is how long the store may take to deliver a configuration that a peer has already.
const maxStoreLag = time.Second

// needsSnapshot reports whether to fetch the state of a peer with this configuration version: the
// version is newer, and the store does not deliver it. The store is unreachable, has not been read
// yet, or was rewound and has lost the version.
func (g *Gateway) needsSnapshot(version int64, now time.Time) bool {
	own := g.Version()
	if version <= own {
		return false
	}
	if g.storeLostAt.Load() != 0 || own == 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.missedVersion <= own {
		g.missedVersion, g.missedSince = version, now
	}
	return now.Sub(g.missedSince) >= maxStoreLag
}

// applySnapshot applies the state of a peer named source.
func (g *Gateway) applySnapshot(s Snapshot, source string) {
	if len(s.Configuration) > 0 {
		g.ApplyConfiguration(s.Configuration, source)
	}
	if g.fleet.applySnapshot(s.Upstreams, s.ZonesOut, time.Now()) {
		g.RefreshLimits()
		g.log.Info("upstreams-adopted", "source", source, "count", len(s.Upstreams))
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
	now := time.Now()
	for z := range f.zonesKeptOut {
		if !f.zonesOut[z] && f.isZoneOut(z, now) {
			zones = append(zones, z)
		}
	}
	return f.upstreams.Upstreams(), zones
}

// applySnapshot replaces the list of upstreams by a peer's if this gateway has none, and takes zones out that are
// out for the peer until this gateway has read them itself. It reports whether it took the list.
func (f *Fleet) applySnapshot(list []inventory.Upstream, zones []string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.zonesListed {
		for _, z := range zones {
			f.zonesOut[z] = true
		}
	}
	if len(f.upstreams.Entries()) > 0 || len(list) == 0 {
		return false
	}
	f.upstreams.Replace(list, f.warmupTime, now)
	return true
}
