package gateway

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/inventory"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// A gateway that had not read which zones are out dropped what a peer knew of them, because the peer had no upstreams or it
// had some itself, and sent work there.
func TestZonesOfAPeerAreTakenOutWhateverUpstreamsThereAre(t *testing.T) {
	upstream := inventory.Upstream{ID: "i-a", Service: "plain", Address: "127.0.0.1:1", Zone: "z", Capacity: 4}
	for name, c := range map[string]struct{ own, peers []inventory.Upstream }{
		"none at the peer":  {nil, nil},
		"some of its own":   {[]inventory.Upstream{upstream}, []inventory.Upstream{upstream}},
		"some at the peer":  {nil, []inventory.Upstream{upstream}},
		"only some its own": {[]inventory.Upstream{upstream}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := NewFleet(platform.Settings{Name: "edge-1", Zone: "z"}, hclog.NewNullLogger())
			now := time.Now()
			add := func(list []inventory.Upstream) {
				f.Update(func(v *inventory.Inventory, warmup func(string) time.Duration) { v.Replace(list, warmup, now) })
			}
			add(c.own)
			f.applySnapshot(c.peers, []string{"z"}, now)
			add([]inventory.Upstream{upstream})
			_, ok := f.Choose("plain", nil, now)
			is.True(!ok)
			// What the gateway reads itself counts more.
			f.SetZonesOut(nil)
			f.applySnapshot(c.peers, []string{"z"}, now)
			_, ok = f.Choose("plain", nil, now)
			is.True(ok)
		})
	}
}
