package gateway

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/inventory"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/roster"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// Store restored from a copy: the copy is from before a zone was taken out, an upstream left and a
// configuration was accepted. The gateway keeps what it knew until it is written again.
func TestGatewayKeepsItsBeliefsAfterARewind(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 2)
	b.configure("1")
	old := b.store.Copy()
	b.configure("2")
	b.waitUntil("the second configuration", func() bool { return b.gateway.Version() == 2 })
	b.store.Put(platform.KindEvacuations, "z", map[string]any{})
	b.waitUntil("the zone is out", func() bool { n, _ := b.gateway.fleet.UsableCapacity("plain"); return n == 0 })
	b.store.Restore(old)
	b.waitUntil("the rewind is noticed", func() bool {
		b.gateway.fleet.mu.Lock()
		defer b.gateway.fleet.mu.Unlock()
		return !b.gateway.fleet.rewoundUntil.IsZero() && !b.gateway.fleet.zonesOut["z"]
	})
	_, ok := b.gateway.fleet.Choose("plain", nil, time.Now())
	is.True(!ok)
	is.Equal(b.gateway.Version(), int64(2))
	_, zones := b.gateway.fleet.snapshot()
	is.Equal(zones, []string{"z"})
	// Operators take the zone back.
	b.store.Put(platform.KindEvacuations, "z", map[string]any{})
	b.store.Remove(platform.KindEvacuations, "z")
	b.waitUntil("the zone is back", func() bool { n, _ := b.gateway.fleet.UsableCapacity("plain"); return n == 2 })
	// Otherwise the list counts once all had the time to write again.
	b.gateway.fleet.zonesOut["z"] = true
	b.gateway.fleet.KeepZonesOut(time.Now().Add(-inventory.RewriteTime))
	b.gateway.fleet.SetZonesOut(nil)
	n, _ := b.gateway.fleet.UsableCapacity("plain")
	is.Equal(n, 2)
}

// A gateway that starts after a rewind reads an older configuration than the one that its peers have
// in force. It takes theirs once the store has had the time to deliver it.
func TestForgottenConfigurationIsTakenFromPeers(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 0)
	b.configure("3")
	g, now := b.gateway, time.Now()
	is.True(!g.needsSnapshot(3, now))
	is.True(!g.needsSnapshot(4, now)) // the store may be about to deliver it
	is.True(!g.needsSnapshot(3, now)) // another peer that is behind changes nothing
	is.True(!g.needsSnapshot(4, now.Add(maxStoreLag-1)))
	is.True(g.needsSnapshot(4, now.Add(maxStoreLag)))
	g.ApplyConfiguration(configuration("4"), "peer")
	is.True(!g.needsSnapshot(5, now.Add(2*maxStoreLag)))
}

// The entries of gateways in the store are lost with other recent changes; they are written again.
func TestGatewayAnnouncesItselfAgainAfterARewind(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 0)
	empty := b.store.Copy()
	node := platform.Settings{Name: "edge-1", PeerAddress: "127.0.0.1:1", StoreAddress: b.store.Address()}
	m := metrics.NewRegistry()
	p := NewPeers(node, b.gateway, peer.Credentials{}, hclog.NewNullLogger())
	store := platform.NewStore(node.StoreAddress, m, hclog.NewNullLogger())
	go p.run(t.Context(), store)
	listed := func() bool {
		entries, _, err := roster.List(t.Context(), store)
		return err == nil && len(entries) == 1
	}
	b.waitUntil("the entry", listed)
	b.store.Restore(empty)
	entries, _, err := roster.List(t.Context(), store)
	is.NoErr(err)
	is.True(len(entries) <= 1)
	b.waitUntil("the entry again", listed)
}
