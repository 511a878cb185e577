package gateway

import (
	"context"
	"errors"
	"net"
	"time"
)

const (
	// drainDelay is how long a stopping gateway still accepts new connections: callers cache a
	// directory response for a second, and some of them three times as long.
	drainDelay = 3 * time.Second
	// takeTime is how long a stopping gateway takes each request. Later ones are taken only if they end before the
	// process does. It is shorter than drainDelay, as requests are sent before they are read.
	takeTime = drainDelay - 200*time.Millisecond
	// finalAnswerTime is the time before the end of the process at which the requests are answered that are still in
	// progress.
	finalAnswerTime = 300 * time.Millisecond
	// connectionCheckInterval is the time between two looks for open connections.
	connectionCheckInterval = 20 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of a request that a stopping gateway does not take: other gateways do.
	stoppingRetryAfter = 100 * time.Millisecond
	// reasonStopping is the reason for rejecting or ending requests in a planned stop.
	reasonStopping = "stopping"
)

// plannedStop is a stop in progress.
type plannedStop struct {
	// takesUntil is the time until which all requests are taken, and endsAt when those in progress are ended.
	takesUntil time.Time
	endsAt     time.Time
}

// beginStop begins a planned stop of a process that ends at a time.
func (g *Gateway) beginStop(now, end time.Time) plannedStop {
	s := plannedStop{takesUntil: now.Add(takeTime), endsAt: end.Add(-finalAnswerTime)}
	g.plannedStop.Store(&s)
	return s
}

// isStopping reports whether a planned stop is in progress.
func (g *Gateway) isStopping() bool { return g.plannedStop.Load() != nil }

// mayTake reports whether a request with a deadline may be sent to an upstream: a stopping gateway would cut off one
// that takes longer than the process has.
func (g *Gateway) mayTake(deadline, now time.Time) bool {
	s := g.plannedStop.Load()
	return s == nil || now.Before(s.takesUntil) || deadline.Before(s.endsAt)
}

// stop announces the stop to peers, serves for drainDelay, and then closes the listener. It waits until all connections
// have ended, and answers what is left shortly before ctx ends.
func (p *process) stop(ctx context.Context) error {
	end, ok := ctx.Deadline()
	if !ok {
		end = time.Now().Add(p.node.StopTimeout)
	}
	s := p.gateway.beginStop(time.Now(), end)
	endCalls := time.AfterFunc(time.Until(s.endsAt), p.gateway.endCalls)
	defer endCalls.Stop()
	p.peers.tellNeighbours(ctx)
	sleep(ctx, drainDelay)
	err := p.callerListener.Close()
	p.callerServer.SetKeepAlivesEnabled(false)
	for p.guards.callers.OpenCount() > 0 && ctx.Err() == nil {
		sleep(ctx, connectionCheckInterval)
	}
	if left := p.guards.callers.OpenCount(); left > 0 {
		p.log.Warn("connections-left", "count", left)
	}
	// The listener is closed already.
	if closeErr := p.callerServer.Close(); !errors.Is(closeErr, net.ErrClosed) {
		err = errors.Join(err, closeErr)
	}
	p.cancel()
	for _, s := range p.internalServers {
		err = errors.Join(err, s.Close())
	}
	return errors.Join(err, p.peerServer.Close())
}
