package steward

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/guard"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/intake"
)

const (
	// messageTimeout limits the time to read a control message, and connIdleTimeout that without one.
	messageTimeout  = 3 * time.Second
	connIdleTimeout = 5 * time.Minute
	// connKeepIdle is longer than the time between two calls of a leader: it keeps its connection between them.
	connKeepIdle = 2 * time.Second
	// sweepInterval is the time between two looks for connections that are over these limits.
	sweepInterval = 500 * time.Millisecond
)

// newGuard returns the guard of the steward's listener.
func newGuard(r intake.Resources, log hclog.Logger, m metrics.Registry) *guard.Guard {
	plan := intake.NewStewardPlan(r)
	log.Info("intake-planned", "runtime_bytes", plan.RuntimeBytes, "control_connections", plan.Control.Connections,
		"control_bytes", plan.Control.Bytes)
	return guard.New("control", plan.Control, intake.Limits{HeadTimeout: messageTimeout, IdleTimeout: connIdleTimeout, KeepIdle: connKeepIdle}, log, m)
}

// sweep enforces the time limits of the listener until ctx ends.
func sweep(ctx context.Context, g *guard.Guard) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			g.Sweep(now)
		}
	}
}
