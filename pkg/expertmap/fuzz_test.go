package expertmap

import (
	"strconv"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	"github.com/coltsfootpitch/coltsfootpitch/internal/fixedseed"
)

func init() { fixedseed.Checks(2) }

// faultCombinations returns every fault alone, every pair, and all together.
func faultCombinations() [][]bool {
	var out [][]bool
	for a := range faultKindCount {
		for b := range a + 1 {
			set := make([]bool, faultKindCount)
			set[a] = true
			set[b] = true
			out = append(out, set)
		}
	}
	all := make([]bool, faultKindCount)
	for i := range all {
		all[i] = true
	}
	return append(out, all)
}

const (
	// stepsPerCombination is the number of steps that a check of one combination computes.
	stepsPerCombination = 5_000
	// stepsPerRound is the number of steps between two pauses of the faults.
	stepsPerRound = 500
	// maxEventsPerRound bounds the events of a round in which the faults stop the group.
	maxEventsPerRound = 40_000
	// maxRecoveryEvents bounds the events after the faults have ended until the group runs on
	// the wished map.
	maxRecoveryEvents = 8_000
)

// parallelGroups is the number of parallelGroups of the combinations that run side by side.
const parallelGroups = 4

func TestRanksComputeEachStepOnOneMap(t *testing.T) {
	var whole, stopped atomic.Int64
	all := faultCombinations()
	t.Run("combinations", func(t *testing.T) {
		for part := range parallelGroups {
			t.Run(strconv.Itoa(part), func(t *testing.T) {
				t.Parallel()
				for i := part; i < len(all); i += parallelGroups {
					rapid.Check(t, func(t *rapid.T) {
						w := runRounds(t, all[i])
						whole.Add(int64(w.completedSteps))
						stopped.Add(int64(len(w.steps) - w.completedSteps))
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

// runRounds runs rounds of faults; after each, the group must run on.
func runRounds(t *rapid.T, faults []bool) *simulation {
	ranks := rapid.IntRange(2, 5).Draw(t, "ranks")
	rate := rapid.IntRange(100, 3_000).Draw(t, "rate")
	w := newSimulation(rapid.Uint64().Draw(t, "seed"), ranks, faults, rate)
	for w.completedSteps < stepsPerCombination {
		w.runSteps(stepsPerRound, maxEventsPerRound)
		checkSafety(t, w)
		w.endFaults()
		w.setDesiredMap(w.newestOwner())
		if !w.recoversInTime() {
			t.Fatalf("the group did not run the wished map within %d events after the faults: %+v", maxRecoveryEvents, w.newestOwner().record)
		}
		checkSafety(t, w)
		w.enabledFaults = faults
		w.eventsPerFault = rate
	}
	return w
}

// recoversInTime reports whether the wished map comes into force and steps go on in bounded time.
func (w *simulation) recoversInTime() bool {
	for range maxRecoveryEvents {
		if w.hasConverged() {
			return w.runSteps(10, maxRecoveryEvents)
		}
		w.advance()
	}
	return false
}

func checkSafety(t *rapid.T, w *simulation) {
	if w.mixedMapComputes > 0 || w.invalidComputes > 0 || w.staleOrders > 0 {
		t.Fatalf("%d mixed steps, %d computed without all ranks or weights, %d orders of former owners, after %d steps",
			w.mixedMapComputes, w.invalidComputes, w.staleOrders, w.completedSteps)
	}
}
