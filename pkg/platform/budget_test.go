package platform

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever the others ask for, the calls of a process stay within its rate, and safety
// calls within the rate are taken at once.
func TestBudgetSharesByImportance(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(1, 50).Draw(rt, "rate")
		burst := rapid.Float64Range(4, 80).Draw(rt, "burst")
		b := newBudget(rate, burst)
		start := time.Unix(0, 0)
		now := start
		nextSafety := now
		taken := 0.0
		for range rapid.IntRange(1, 400).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(100*time.Millisecond)).Draw(rt, "pause")))
			for range rapid.IntRange(0, 10).Draw(rt, "greedy") {
				if b.take(now, Importance(rapid.IntRange(1, 2).Draw(rt, "importance"))) == 0 {
					taken++
				}
			}
			if !now.Before(nextSafety) {
				if wait := b.take(now, Safety); wait > 0 {
					rt.Fatalf("a safety call within the rate waits %s", wait)
				}
				taken++
				nextSafety = now.Add(time.Duration(float64(time.Second) / rate))
			}
			if limit := 2*burst + rate*now.Sub(start).Seconds() + 1; taken > limit {
				rt.Fatalf("%g calls in %s, more than %g", taken, now.Sub(start), limit)
			}
		}
	})
}

// A call that waits as told is taken when nobody else asks.
func TestBudgetTellsHowLongToWait(t *testing.T) {
	for i := Safety; i <= Status; i++ {
		b := newBudget(5, 10)
		now := time.Unix(0, 0)
		for b.take(now, i) == 0 {
		}
		now = now.Add(b.take(now, i))
		if wait := b.take(now, i); wait > 0 {
			t.Errorf("%s: waits another %s", i, wait)
		}
	}
}
