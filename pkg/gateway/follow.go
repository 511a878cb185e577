package gateway

import (
	"context"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/inventory"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// followStore keeps configuration, zones, upstreams and convictions up to date with the store until ctx ends.
func (g *Gateway) followStore(ctx context.Context, s *platform.Store) {
	g.feed.start(ctx, s, map[string]platform.Follower{
		platform.KindConfiguration: &configurationFollower{gateway: g},
		platform.KindEvacuations:   &zoneFollower{gateway: g},
		platform.KindUpstreams:     &upstreamFollower{gateway: g},
	})
	g.syncConvictions(ctx, s)
}

// configurationFollower receives the operators' configuration. Its connection represents the
// connection to the store as a whole.
type configurationFollower struct{ gateway *Gateway }

// Replace implements platform.Follower.
func (f *configurationFollower) Replace(objects []platform.Object) {
	for _, o := range objects {
		f.Change(o)
	}
}

// Change implements platform.Follower. A deleted configuration stays in force: operators replace
// it and never withdraw it.
func (f *configurationFollower) Change(o platform.Object) {
	if o.Name == platform.NameConfiguration && !o.Deleted {
		f.gateway.ApplyConfiguration(o.Spec, "store")
	}
}

// Lost implements platform.Follower.
func (f *configurationFollower) Lost(err error) {
	f.gateway.storeLostAt.Store(int64(max(1, time.Since(f.gateway.startedAt))))
	f.gateway.log.Warn("store-lost", "kind", platform.KindConfiguration, "error", err.Error())
}

// Recovered implements platform.Follower.
func (f *configurationFollower) Recovered() {
	f.gateway.storeLostAt.Store(0)
	f.gateway.log.Info("store-recovered", "kind", platform.KindConfiguration)
}

// Rewound implements platform.Follower. It needs nothing: a configuration is replaced only by one with a
// higher version.
func (f *configurationFollower) Rewound() {}

// zoneFollower receives the availability zones that operators took out.
type zoneFollower struct{ gateway *Gateway }

// Replace implements platform.Follower.
func (f *zoneFollower) Replace(objects []platform.Object) {
	var zones []string
	for _, o := range objects {
		zones = append(zones, o.Name)
	}
	f.gateway.fleet.SetZonesOut(zones)
	f.gateway.RefreshLimits()
	f.gateway.log.Info("zones-replaced", "zones", zones)
}

// Change implements platform.Follower.
func (f *zoneFollower) Change(o platform.Object) {
	f.gateway.fleet.SetZoneOut(o.Name, !o.Deleted)
	f.gateway.RefreshLimits()
	f.gateway.log.Info("zone-changed", "zone", o.Name, "out", !o.Deleted)
}

// Lost implements platform.Follower.
func (f *zoneFollower) Lost(err error) {
	f.gateway.log.Warn("store-lost", "kind", platform.KindEvacuations, "error", err.Error())
}

// Recovered implements platform.Follower.
func (f *zoneFollower) Recovered() {
	f.gateway.log.Info("store-recovered", "kind", platform.KindEvacuations)
}

// Rewound implements platform.Follower.
func (f *zoneFollower) Rewound() { f.gateway.fleet.KeepZonesOut(time.Now()) }

// upstreamFollower receives the list of upstreams.
type upstreamFollower struct{ gateway *Gateway }

// Replace implements platform.Follower.
func (f *upstreamFollower) Replace(objects []platform.Object) {
	var list []inventory.Upstream
	for _, o := range objects {
		u, err := platform.DecodeUpstream(o)
		if err != nil {
			f.gateway.log.Warn("upstream-unreadable", "upstream", o.Name, "error", err.Error())
			continue
		}
		list = append(list, u)
	}
	f.gateway.fleet.ReplaceUpstreams(list)
	f.gateway.RefreshLimits()
	f.gateway.log.Info("upstreams-listed", "count", len(list))
}

// Change implements platform.Follower. An upstream whose entry cannot be decoded is removed.
func (f *upstreamFollower) Change(o platform.Object) {
	u, err := platform.DecodeUpstream(o)
	gone := o.Deleted || err != nil
	f.gateway.fleet.Update(func(v *inventory.Inventory, warmup func(string) time.Duration) {
		if gone {
			v.Remove(o.Name, time.Now())
			return
		}
		v.Put(u, warmup(u.Service), time.Now())
	})
	f.gateway.RefreshLimits()
	f.gateway.log.Info("upstream-changed", "upstream", o.Name, "gone", gone, "leaving", u.Leaving,
		"address", u.Address, "zone", u.Zone, "revision", o.Revision)
}

// Lost implements platform.Follower.
func (f *upstreamFollower) Lost(err error) {
	f.gateway.fleet.Update(func(v *inventory.Inventory, _ func(string) time.Duration) { v.MarkOutage() })
	f.gateway.log.Warn("store-lost", "kind", platform.KindUpstreams, "error", err.Error())
}

// Recovered implements platform.Follower.
func (f *upstreamFollower) Recovered() {
	f.gateway.fleet.Update(func(v *inventory.Inventory, _ func(string) time.Duration) { v.MarkRecovered(time.Now()) })
	f.gateway.log.Info("store-recovered", "kind", platform.KindUpstreams)
}

// Rewound implements platform.Follower.
func (f *upstreamFollower) Rewound() {
	f.gateway.fleet.Update(func(v *inventory.Inventory, _ func(string) time.Duration) { v.MarkRewound(time.Now()) })
}
