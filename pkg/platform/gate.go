package platform

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// ErrUnavailable says that a call was not made because the platform does not answer.
var ErrUnavailable = errors.New("platform: does not answer; the call was not made")

// gate decides for all clients of a process when a call may be made, and counts it.
type gate struct {
	counters map[string]metrics.Counter
	delayed  metrics.Counter
	faults   metrics.Counter
	held     metrics.Counter

	mu      sync.Mutex
	budget  *budget
	breaker *breaker
}

// operations of the object API, as they appear in metrics.
const (
	opRead  = "read"
	opWrite = "write"
	opWatch = "watch"
)

func newGate(r metrics.Registry, rate, burst float64) *gate {
	g := &gate{
		counters: map[string]metrics.Counter{},
		delayed:  metrics.GetOrRegisterCounter("platform_calls_delayed", r),
		faults:   metrics.GetOrRegisterCounter("platform_faults", r),
		held:     metrics.GetOrRegisterCounter("platform_calls_held_back", r),
		budget:   newBudget(rate, burst),
		breaker:  newBreaker(),
	}
	for _, op := range []string{opRead, opWrite, opWatch} {
		for i := Safety; i <= Status; i++ {
			name := "platform_calls_" + op + "_" + i.String()
			g.counters[op+i.String()] = metrics.GetOrRegisterCounter(name, r)
		}
	}
	return g
}

// enter waits for the budget and counts the call. It returns ErrUnavailable at once
// while the platform does not answer and it is not time for a probe.
func (g *gate) enter(ctx context.Context, op string, i Importance) error {
	for {
		wait, ok := g.ask(i)
		if !ok {
			g.held.Inc(1)
			return ErrUnavailable
		}
		if wait == 0 {
			g.counters[op+i.String()].Inc(1)
			return nil
		}
		g.delayed.Inc(1)
		sleep(ctx, wait)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

func (g *gate) ask(i Importance) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if wait := g.budget.take(now, i); wait > 0 {
		return wait, true
	}
	return 0, g.breaker.allow(now)
}

// leave takes in the end of a call.
func (g *gate) leave(answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if answered {
		g.breaker.answered()
		return
	}
	g.faults.Inc(1)
	g.breaker.failed(time.Now())
}
