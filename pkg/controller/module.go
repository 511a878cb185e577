package controller

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/lease"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/operator"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
)

// Module returns the components of a controller process.
func Module(s Settings) fx.Option {
	return fx.Options(
		fx.Supply(s),
		fx.Provide(newPlatform, newNode),
		fx.Invoke(register),
	)
}

func newPlatform(s Settings, reg metrics.Registry) *platform.Client {
	return platform.New(platform.Options{URL: s.PlatformURL, Registry: reg})
}

// node starts and stops the background work of a controller process.
type node struct {
	settings Settings
	// lease is the fleet lease; each group has a lease of its own.
	lease    *lease.Lease
	events   *event.Recorder
	operator *operator.Server
	groups   []*group

	cancel     context.CancelFunc
	background sync.WaitGroup
}

func newNode(s Settings, p *platform.Client, c peer.Credentials, rec *event.Recorder, reg metrics.Registry, op *operator.Server) *node {
	n := &node{
		settings: s,
		lease:    lease.New(p, "fleet", s.Name, s.LeaseDuration()),
		events:   rec,
		operator: op,
	}
	for _, g := range s.Groups {
		n.groups = append(n.groups, newGroup(s, g, p, c, rec, reg))
	}
	return n
}

func register(lc fx.Lifecycle, n *node) {
	lc.Append(fx.Hook{OnStart: n.start, OnStop: n.stop})
}

func (n *node) start(context.Context) error {
	run, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.background.Go(func() { n.maintainLease(run) })
	for _, g := range n.groups {
		n.background.Go(func() { g.run(run) })
	}
	n.operator.SetReady(true)
	return nil
}

func (n *node) stop(context.Context) error {
	n.events.Record(event.Event{Kind: event.ProcessStopping})
	n.operator.SetReady(false)
	n.cancel()
	n.background.Wait()
	return nil
}

// renewalsPerLease is the number of renewals in each duration of a lease.
const renewalsPerLease = 3

// maintainLease acquires and renews the lease until ctx is done.
func (n *node) maintainLease(ctx context.Context) {
	tick := time.NewTicker(n.settings.LeaseDuration() / renewalsPerLease)
	defer tick.Stop()
	for ctx.Err() == nil {
		wasHeld := n.lease.IsHeld()
		err := n.lease.AcquireOrRenew(ctx, time.Now())
		n.recordLeaseChange(wasHeld, err)
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// recordLeaseChange records an event when the lease was acquired or lost. wasHeld is the state
// before the last renewal, and err the error of that renewal.
func (n *node) recordLeaseChange(wasHeld bool, err error) {
	if isHeld := n.lease.IsHeld(); isHeld != wasHeld {
		e := event.Event{Kind: event.LeaseLost, Detail: "fleet"}
		if isHeld {
			e.Kind = event.LeaseAcquired
		}
		if err != nil {
			e.Detail += ": " + err.Error()
		}
		n.events.Record(e)
	}
}
