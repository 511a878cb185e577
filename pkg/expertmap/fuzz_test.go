package expertmap

import (
	"strconv"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	"github.com/coltsfootpitch/coltsfootpitch/internal/fixedseed"
)

func init() { fixedseed.SetChecks(2) }

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
	// stepsPerCombination is the least number of steps that all ranks compute in a check of
	// one combination of faults.
	stepsPerCombination = 5_000
	// stepsPerRound is the number of steps between two recoveries without faults.
	stepsPerRound = 500
	// maxEventsPerRound limits a round in which the faults stall the group.
	maxEventsPerRound = 40_000
	// maxRecoveryEvents limits the events from the end of the faults until the group runs
	// the desired map, and then those of ten more steps.
	maxRecoveryEvents = 8_000
)

// parallelGroups is the number of groups of combinations that run in parallel.
const parallelGroups = 4

// TestRanksComputeEachStepOnOneMap checks that all ranks compute a step on the same map, only
// when all of them have joined and loaded it, and that no order of a former owner is carried
// out, under every single fault, every pair of faults and all faults together. After the
// faults end, the group must run the desired map within a limited number of events.
func TestRanksComputeEachStepOnOneMap(t *testing.T) {
	var computed, stopped atomic.Int64
	all := faultCombinations()
	t.Run("combinations", func(t *testing.T) {
		for part := range parallelGroups {
			t.Run(strconv.Itoa(part), func(t *testing.T) {
				t.Parallel()
				for i := part; i < len(all); i += parallelGroups {
					rapid.Check(t, func(t *rapid.T) {
						sim := runRounds(t, all[i])
						computed.Add(int64(sim.completedSteps))
						stopped.Add(int64(len(sim.steps) - sim.completedSteps))
					})
				}
			})
		}
	})
	t.Logf("%d steps computed by all ranks, %d stopped, over %d combinations of faults",
		computed.Load(), stopped.Load(), len(all))
	if computed.Load() < 1_000_000 {
		t.Fatalf("%d steps, want a million", computed.Load())
	}
}

// runRounds runs rounds of faults, each followed by a check that the group recovers.
func runRounds(t *rapid.T, faults []bool) *simulation {
	ranks := rapid.IntRange(2, 5).Draw(t, "ranks")
	rate := rapid.IntRange(100, 3_000).Draw(t, "rate")
	sim := newSimulation(rapid.Uint64().Draw(t, "seed"), ranks, faults, rate)
	for sim.completedSteps < stepsPerCombination {
		sim.runSteps(stepsPerRound, maxEventsPerRound)
		checkSafety(t, sim)
		sim.endFaults()
		sim.setDesiredMap(sim.newestOwner())
		if !sim.recoversInTime() {
			t.Fatalf("the group did not run the desired map within %d events after the faults: %+v", maxRecoveryEvents, sim.newestOwner().record)
		}
		checkSafety(t, sim)
		sim.enabledFaults = faults
		sim.eventsPerFault = rate
	}
	return sim
}

// recoversInTime reports whether the group runs the desired map, and computes ten steps on it,
// within maxRecoveryEvents events each.
func (sim *simulation) recoversInTime() bool {
	for range maxRecoveryEvents {
		if sim.hasConverged() {
			return sim.runSteps(10, maxRecoveryEvents)
		}
		sim.advance()
	}
	return false
}

// checkSafety fails the test when the oracle has counted a violation.
func checkSafety(t *rapid.T, sim *simulation) {
	if sim.mixedMapComputes > 0 || sim.invalidComputes > 0 || sim.staleOrders > 0 {
		t.Fatalf("%d mixed steps, %d computed without all ranks or weights, %d orders of former owners, after %d steps",
			sim.mixedMapComputes, sim.invalidComputes, sim.staleOrders, sim.completedSteps)
	}
}
