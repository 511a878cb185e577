package expertmap

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// hopsPerStep is the number of message hops of one step: JoinRequest, its response,
// ComputeRequest and its response.
const hopsPerStep = 4

// tickHops is the number of message hops between two ticks.
const tickHops = 8

// advanceHop delivers every message in flight and completes every call to the platform.
func (sim *simulation) advanceHop() {
	batch := sim.network
	sim.network = nil
	for _, p := range batch {
		sim.deliverTo(p)
	}
	for len(sim.calls) > 0 {
		sim.completeCall()
	}
	sim.events++
	if sim.events%tickHops == 0 {
		sim.tick()
	}
}

// advanceHopsUntil advances until done, and returns the number of hops and of steps that all
// ranks computed. It panics after 100,000 hops.
func (sim *simulation) advanceHopsUntil(done func() bool) (hops, steps int) {
	before := sim.completedSteps
	for !done() {
		sim.advanceHop()
		hops++
		if hops > 100_000 {
			panic("the group is stalled")
		}
	}
	return hops, sim.completedSteps - before
}

// newSteadySimulation returns a simulation without faults in which the group runs a decided map.
func newSteadySimulation(ranks int) *simulation {
	sim := newSimulation(1, ranks, make([]bool, faultKindCount), 1<<30)
	sim.advanceHopsUntil(func() bool { return sim.hasConverged() && sim.completedSteps > 10 })
	return sim
}

// measureStall returns the steps lost while the group changes to a new map. disturb, if not
// nil, runs as soon as the map is decided.
func measureStall(sim *simulation, disturb func()) float64 {
	sim.setDesiredMap(sim.newestOwner())
	sim.advanceHopsUntil(func() bool {
		return sim.record.Staged == nil && !sim.newestOwner().HasConverged() && sim.newestOwner().desiredStaged
	})
	if disturb != nil {
		disturb()
	}
	hops, steps := sim.advanceHopsUntil(func() bool { return sim.hasConverged() && len(sim.network) > 0 })
	return float64(hops)/hopsPerStep - float64(steps)
}

// TestSwitchStall measures the steps lost during a switch: without faults, after a restart of a
// rank and after a restart of the leading rank.
func TestSwitchStall(t *testing.T) {
	for _, ranks := range []int{8, 64} {
		is := is.New(t)
		sim := newSteadySimulation(ranks)
		stopped := sim.ranks[0].node.Leader.StoppedSteps
		plain := measureStall(sim, nil)
		is.Equal(sim.ranks[0].node.Leader.StoppedSteps, stopped) // a switch without faults stops no step
		restart := measureStall(sim, func() { sim.ranks[3].restart() })
		leader := measureStall(sim, func() { sim.ranks[0].restart() })
		t.Logf("%d ranks: stall in steps: %.2f, with a rank restarted at the decision %.2f, with the leading rank restarted %.2f",
			ranks, plain, restart, leader)
		is.True(plain < 1)
		is.True(restart < 8) // a restarted rank loads its weights and waits for a few ticks
		is.True(leader < 12)
		is.Equal(sim.mixedMapComputes, 0)
	}
}

// TestRankLostPermanently checks that the group stalls when a rank of its map is lost, and runs
// again on a map without that rank.
func TestRankLostPermanently(t *testing.T) {
	for _, rank := range []int{0, 3} {
		is := is.New(t)
		sim := newSteadySimulation(8)
		sim.ranks[rank].dead = true
		before := sim.completedSteps
		for range 400 {
			sim.advanceHop()
		}
		is.True(sim.completedSteps <= before+1) // the group is stalled, since its map needs the rank
		sim.setDesiredMap(sim.newestOwner())
		hops, _ := sim.advanceHopsUntil(func() bool { return sim.hasConverged() })
		sim.advanceHopsUntil(func() bool { return sim.completedSteps > before+20 })
		t.Logf("rank %d lost: %d hops from the new map to its steps, on %d ranks", rank, hops, len(sim.record.Decided.Ranks))
		is.Equal(len(sim.record.Decided.Ranks), 7)
		is.Equal(sim.mixedMapComputes+sim.invalidComputes+sim.staleOrders, 0)
	}
}

// TestTimedSwitchIsUnsafe measures a protocol that is not used: the owner orders every rank to
// switch at a given step, and cancels the switch when an acknowledgement is missing by then.
// The cancellation may be lost too, which leaves ranks on two maps.
func TestTimedSwitchIsUnsafe(t *testing.T) {
	const (
		switches = 10_000
		ranks    = 8
		loss     = 0.02
	)
	r := rand.New(rand.NewPCG(1, 1))
	delivered := func() bool { return r.Float64() >= loss }
	mixedWithoutAcks, mixedDespiteCancel := 0, 0
	for range switches {
		ordered, acknowledged := 0, 0
		cancelled := 0
		for range ranks {
			if delivered() {
				ordered++
				if delivered() {
					acknowledged++
				}
			}
		}
		if ordered < ranks && ordered > 0 {
			mixedWithoutAcks++
		}
		if acknowledged < ranks {
			for range ordered {
				if delivered() {
					cancelled++
				}
			}
			if cancelled != ordered {
				mixedDespiteCancel++
			}
		}
	}
	t.Logf("switch at step S, %d switches, 2%% of messages lost: %d leave ranks on two maps without answers, %d with answers and calling off",
		switches, mixedWithoutAcks, mixedDespiteCancel)
	is := is.New(t)
	is.True(mixedDespiteCancel > 0) // acknowledgements do not make a timed switch safe
}

// TestGuardRejectsOrdersBeforeFencingTokenIsRead checks that a guard rejects all orders after
// a start, and orders with a lower fencing token than the current one.
func TestGuardRejectsOrdersBeforeFencingTokenIsRead(t *testing.T) {
	is := is.New(t)
	var g FencingGuard
	is.True(!g.Accept(9)) // no fencing token is set after a start
	g.SetFencingToken(5)
	is.True(!g.Accept(4))
	is.True(g.Accept(5))
	is.True(g.Accept(7))
	is.True(!g.Accept(6)) // the fencing token never decreases
}

// TestRetireKeepsMapUntilNewerOneRuns checks that a rank keeps its map until it has computed a
// step on a newer one.
func TestRetireKeepsMapUntilNewerOneRuns(t *testing.T) {
	is := is.New(t)
	sim := newSteadySimulation(2)
	rank := sim.ranks[1].node.Rank
	lastComputed := rank.LastComputed()
	rank.Retire(lastComputed.Epoch + 1)
	is.Equal(rank.LoadedMaps(), []Ref{lastComputed}) // no step has run on a newer map
}

// TestNewTermStopsStepInProgress covers a rank that joined a step under the previous term: its
// response must not count for the step of the new term.
func TestNewTermStopsStepInProgress(t *testing.T) {
	is := is.New(t)
	l := NewLeader(0, 1)
	first := Map{Ranks: []int{0, 1}}.WithEpoch(1)
	begun := l.SetTarget(1, first)[0].Message.(JoinRequest)
	is.Equal(len(l.HandleResponse(StepResponse{Rank: 0, Kind: ResponseJoined, Step: begun.Step, Loaded: []Ref{first.Ref}})), 0)
	second := l.SetTarget(3, Map{Ranks: []int{0, 1}}.WithEpoch(3))
	is.Equal(len(second), 2) // both ranks are requested again
	next := second[0].Message.(JoinRequest)
	is.Equal(next.Step.Number, begun.Step.Number+1)
	is.Equal(len(l.HandleResponse(StepResponse{Rank: 1, Kind: ResponseJoined, Step: next.Step})), 0) // rank 0 has not joined it
}

// TestDigestCoversContent checks that a changed share no longer matches the digest.
func TestDigestCoversContent(t *testing.T) {
	is := is.New(t)
	m := Map{Ranks: []int{0, 1}, Layers: []Layer{{Ranks: [][]Replica{{{Expert: 1, Share: 1}}, nil}}}}
	s := m.WithEpoch(3)
	is.True(s.IsIntact())
	changed := *s
	changed.Layers = []Layer{{Ranks: [][]Replica{{{Expert: 1, Share: 0.5}}, nil}}}
	is.True(!changed.IsIntact())
}

// BenchmarkStep measures a step of 64 ranks in the simulation.
func BenchmarkStep(b *testing.B) {
	sim := newSteadySimulation(64)
	goal := sim.completedSteps + b.N
	b.ResetTimer()
	for sim.completedSteps < goal {
		sim.advanceHop()
		clear(sim.steps)
	}
}
