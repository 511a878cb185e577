package expertmap

import (
	"strconv"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	"github.com/coltsfootpitch/coltsfootpitch/internal/fixedseed"
)

func init() { fixedseed.Checks(2) }

// combinations returns every fault alone, every pair, and all together.
func combinations() [][]bool {
	var out [][]bool
	for a := range faultKinds {
		for b := range a + 1 {
			set := make([]bool, faultKinds)
			set[a] = true
			set[b] = true
			out = append(out, set)
		}
	}
	all := make([]bool, faultKinds)
	for i := range all {
		all[i] = true
	}
	return append(out, all)
}

const (
	// checkSteps is the number of steps that a check of one combination computes.
	checkSteps = 5_000
	// roundSteps is the number of steps between two pauses of the faults.
	roundSteps = 500
	// roundEvents bounds the events of a round in which the faults stop the group.
	roundEvents = 40_000
	// healEvents bounds the events after the faults have ended until the group runs on
	// the wished map.
	healEvents = 8_000
)

// parts is the number of parts of the combinations that run side by side.
const parts = 4

func TestOneMapInEveryStep(t *testing.T) {
	var whole, stopped atomic.Int64
	all := combinations()
	t.Run("combinations", func(t *testing.T) {
		for part := range parts {
			t.Run(strconv.Itoa(part), func(t *testing.T) {
				t.Parallel()
				for i := part; i < len(all); i += parts {
					rapid.Check(t, func(t *rapid.T) {
						w := fuzz(t, all[i])
						whole.Add(int64(w.whole))
						stopped.Add(int64(len(w.steps) - w.whole))
					})
				}
			})
		}
	})
	t.Logf("%d steps computed by all ranks, %d stopped, over %d combinations of faults",
		whole.Load(), stopped.Load(), len(all))
	if whole.Load() < 1_000_000 {
		t.Fatalf("%d steps, want a million", whole.Load())
	}
}

// fuzz runs rounds of faults; after each, the group must run on.
func fuzz(t *rapid.T, faults []bool) *world {
	ranks := rapid.IntRange(2, 5).Draw(t, "ranks")
	rate := rapid.IntRange(100, 3_000).Draw(t, "rate")
	w := newWorld(rapid.Uint64().Draw(t, "seed"), ranks, faults, rate)
	for w.whole < checkSteps {
		w.runFor(roundSteps, roundEvents)
		check(t, w)
		w.heal()
		w.wish(w.newest())
		if !w.recovers() {
			t.Fatalf("the group did not run the wished map within %d events after the faults: %+v", healEvents, w.newest().record)
		}
		check(t, w)
		w.faults = faults
		w.rate = rate
	}
	return w
}

// recovers reports whether the wished map comes into force and steps go on in bounded time.
func (w *world) recovers() bool {
	for range healEvents {
		if w.settled() {
			return w.runFor(10, healEvents)
		}
		w.advance()
	}
	return false
}

func check(t *rapid.T, w *world) {
	if w.mixed > 0 || w.unfit > 0 || w.stale > 0 {
		t.Fatalf("%d mixed steps, %d computed without all ranks or weights, %d orders of former owners, after %d steps",
			w.mixed, w.unfit, w.stale, w.whole)
	}
}
