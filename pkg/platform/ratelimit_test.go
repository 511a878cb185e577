package platform

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Regardless of the load of calls of lower priorities, the calls of a process stay within its rate
// limit, and PrioritySafety calls within the rate are admitted without a delay.
func TestRateLimiterReservesCallsByPriority(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(1, 50).Draw(rt, "rate")
		burst := rapid.Float64Range(4, 80).Draw(rt, "burst")
		l := newRateLimiter(rate, burst)
		start := time.Unix(0, 0)
		now := start
		nextSafety := now
		admitted := 0.0
		for range rapid.IntRange(1, 400).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(100*time.Millisecond)).Draw(rt, "pause")))
			for range rapid.IntRange(0, 10).Draw(rt, "greedy") {
				if l.tryAcquire(now, Priority(rapid.IntRange(1, 2).Draw(rt, "importance"))) == 0 {
					admitted++
				}
			}
			if !now.Before(nextSafety) {
				if wait := l.tryAcquire(now, PrioritySafety); wait > 0 {
					rt.Fatalf("a PrioritySafety call within the rate is delayed by %s", wait)
				}
				admitted++
				nextSafety = now.Add(time.Duration(float64(time.Second) / rate))
			}
			if limit := 2*burst + rate*now.Sub(start).Seconds() + 1; admitted > limit {
				rt.Fatalf("%g calls in %s, more than %g", admitted, now.Sub(start), limit)
			}
		}
	})
}

// A call that is repeated after the returned wait is admitted if there are no other calls.
func TestRateLimiterReturnsASufficientWait(t *testing.T) {
	for i := PrioritySafety; i <= PriorityStatus; i++ {
		l := newRateLimiter(5, 10)
		now := time.Unix(0, 0)
		for l.tryAcquire(now, i) == 0 {
		}
		now = now.Add(l.tryAcquire(now, i))
		if wait := l.tryAcquire(now, i); wait > 0 {
			t.Errorf("%s: the call is delayed by another %s", i, wait)
		}
	}
}
