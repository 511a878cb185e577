package platform

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// ErrUnavailable is returned if a call was not made because the platform does not respond.
var ErrUnavailable = errors.New("platform: not responding; the call was not made")

// gate decides when the clients of a process may make a call, by rate limit and circuit breaker,
// and counts the calls. It is safe for concurrent use.
type gate struct {
	// calls holds the counters by operation and priority.
	calls    map[string]metrics.Counter
	delayed  metrics.Counter
	faults   metrics.Counter
	heldBack metrics.Counter

	mu      sync.Mutex
	limiter *rateLimiter
	breaker *breaker
}

// Names of the operations of the object API in metrics.
const (
	opRead  = "read"
	opWrite = "write"
	opWatch = "watch"
)

func newGate(r metrics.Registry, rate, burst float64) *gate {
	g := &gate{
		calls:    map[string]metrics.Counter{},
		delayed:  metrics.GetOrRegisterCounter("platform_calls_delayed", r),
		faults:   metrics.GetOrRegisterCounter("platform_faults", r),
		heldBack: metrics.GetOrRegisterCounter("platform_calls_held_back", r),
		limiter:  newRateLimiter(rate, burst),
		breaker:  newBreaker(),
	}
	for _, op := range []string{opRead, opWrite, opWatch} {
		for i := PrioritySafety; i <= PriorityStatus; i++ {
			name := "platform_calls_" + op + "_" + i.String()
			g.calls[op+i.String()] = metrics.GetOrRegisterCounter(name, r)
		}
	}
	return g
}

// admit waits until the call may be made and counts it. It returns ErrUnavailable at once if the
// platform does not respond and no probe is due.
func (g *gate) admit(ctx context.Context, op string, i Priority) error {
	for {
		wait, ok := g.tryAdmit(i)
		if !ok {
			g.heldBack.Inc(1)
			return ErrUnavailable
		}
		if wait == 0 {
			g.calls[op+i.String()].Inc(1)
			return nil
		}
		g.delayed.Inc(1)
		sleep(ctx, wait)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// tryAdmit returns how long the call must wait for the rate limiter or for a recovering platform, and
// whether the breaker allows it. A call that must wait is admitted only by another tryAdmit.
func (g *gate) tryAdmit(i Priority) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if wait := g.breaker.recoveryDelay(now); wait > 0 && i != PrioritySafety {
		return wait, true
	}
	if wait := g.limiter.tryAcquire(now, i); wait > 0 {
		return wait, true
	}
	return 0, g.breaker.allow(now)
}

// recordOutcome records the end of an admitted call. responded is false after an error and after a
// status that reports an overload or a fault of the platform.
func (g *gate) recordOutcome(responded bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if responded {
		g.breaker.recordSuccess(time.Now())
		return
	}
	g.faults.Inc(1)
	g.breaker.recordFault(time.Now())
}
