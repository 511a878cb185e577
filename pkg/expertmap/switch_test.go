package expertmap

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// hopsPerStep is the number of message hops of one step: Begin, Join, Go and Done.
const hopsPerStep = 4

// tickHops is the number of hops between two ticks.
const tickHops = 8

// advanceHop delivers every message on its way and ends every call to the platform.
func (w *simulation) advanceHop() {
	batch := w.network
	w.network = nil
	for _, p := range batch {
		w.deliverTo(p)
	}
	for len(w.calls) > 0 {
		w.completeCall()
	}
	w.events++
	if w.events%tickHops == 0 {
		w.tick()
	}
}

// advanceHopsUntil advances until done, and returns the number of hops and of whole steps.
func (w *simulation) advanceHopsUntil(done func() bool) (hops, whole int) {
	before := w.completedSteps
	for !done() {
		w.advanceHop()
		hops++
		if hops > 100_000 {
			panic("the group stands still")
		}
	}
	return hops, w.completedSteps - before
}

func newSteadySimulation(ranks int) *simulation {
	w := newSimulation(1, ranks, make([]bool, faultKindCount), 1<<30)
	w.advanceHopsUntil(func() bool { return w.hasConverged() && w.completedSteps > 10 })
	return w
}

// measureStall returns the steps lost while the group goes over to a new map.
func measureStall(w *simulation, disturb func()) float64 {
	w.setDesiredMap(w.newestOwner())
	w.advanceHopsUntil(func() bool { return w.record.Staged == nil && !w.newestOwner().Idle() && w.newestOwner().desiredStaged })
	if disturb != nil {
		disturb()
	}
	hops, whole := w.advanceHopsUntil(func() bool { return w.hasConverged() && len(w.network) > 0 })
	return float64(hops)/hopsPerStep - float64(whole)
}

func TestSwitchStall(t *testing.T) {
	for _, ranks := range []int{8, 64} {
		is := is.New(t)
		w := newSteadySimulation(ranks)
		stopped := w.ranks[0].node.Leader.Stopped
		plain := measureStall(w, nil)
		is.Equal(w.ranks[0].node.Leader.Stopped, stopped) // a switch without faults stops no step
		restart := measureStall(w, func() { w.ranks[3].restart() })
		leader := measureStall(w, func() { w.ranks[0].restart() })
		t.Logf("%d ranks: stall in steps: %.2f, with a rank restarted at the decision %.2f, with the leading rank restarted %.2f",
			ranks, plain, restart, leader)
		is.True(plain < 1)
		is.True(restart < 8) // a restarted rank costs its load and a few ticks
		is.True(leader < 12)
		is.Equal(w.mixedMapComputes, 0)
	}
}

func TestRankLostPermanently(t *testing.T) {
	for _, rank := range []int{0, 3} {
		is := is.New(t)
		w := newSteadySimulation(8)
		w.ranks[rank].dead = true
		before := w.completedSteps
		for range 400 {
			w.advanceHop()
		}
		is.True(w.completedSteps <= before+1) // the group stands still, since its map needs the rank
		w.setDesiredMap(w.newestOwner())
		hops, _ := w.advanceHopsUntil(func() bool { return w.hasConverged() })
		w.advanceHopsUntil(func() bool { return w.completedSteps > before+20 })
		t.Logf("rank %d lost: %d hops from the new map to its steps, on %d ranks", rank, hops, len(w.record.Decided.Ranks))
		is.Equal(len(w.record.Decided.Ranks), 7)
		is.Equal(w.mixedMapComputes+w.invalidComputes+w.staleOrders, 0)
	}
}

// TestTimedSwitchIsUnsafe measures the way that was not chosen: every rank is told to switch
// at a step, and the owner calls the switch off when an answer is missing by then.
func TestTimedSwitchIsUnsafe(t *testing.T) {
	const (
		switches = 10_000
		ranks    = 8
		loss     = 0.02
	)
	r := rand.New(rand.NewPCG(1, 1))
	arrives := func() bool { return r.Float64() >= loss }
	blind, calledOff := 0, 0
	for range switches {
		told, answered := 0, 0
		left := 0
		for range ranks {
			if arrives() {
				told++
				if arrives() {
					answered++
				}
			}
		}
		if told < ranks && told > 0 {
			blind++
		}
		if answered < ranks {
			for range told {
				if arrives() {
					left++
				}
			}
			if left != told {
				calledOff++
			}
		}
	}
	t.Logf("switch at step S, %d switches, 2%% of messages lost: %d leave ranks on two maps without answers, %d with answers and calling off",
		switches, blind, calledOff)
	is := is.New(t)
	is.True(calledOff > 0) // no number of answers makes a timed switch safe
}

func TestGuardRejectsOrdersBeforeTokenIsRead(t *testing.T) {
	is := is.New(t)
	var g Guard
	is.True(!g.Accept(9)) // nothing is accepted after a start
	g.Know(5)
	is.True(!g.Accept(4))
	is.True(g.Accept(5))
	is.True(g.Accept(7))
	is.True(!g.Accept(6)) // the number never falls
}

func TestRetireKeepsMapUntilNewerOneRuns(t *testing.T) {
	is := is.New(t)
	w := newSteadySimulation(2)
	rank := w.ranks[1].node.Rank
	ran := rank.Ran()
	rank.Retire(ran.Epoch + 1)
	is.Equal(rank.Held(), []Ref{ran}) // no step ran on a newer map
}

// TestNewTermStopsStepInProgress covers a rank that joined a step under the former term:
// its answer must not count for the step of the new one.
func TestNewTermStopsStepInProgress(t *testing.T) {
	is := is.New(t)
	l := NewLeader(0, 1)
	first := Map{Ranks: []int{0, 1}}.Seal(1)
	begun := l.Lead(1, first)[0].Message.(Begin)
	is.Equal(len(l.Answer(Answer{Rank: 0, Kind: Join, Step: begun.Step, Held: []Ref{first.Ref}})), 0)
	second := l.Lead(3, Map{Ranks: []int{0, 1}}.Seal(3))
	is.Equal(len(second), 2) // both ranks are asked anew
	next := second[0].Message.(Begin)
	is.Equal(next.Step.Number, begun.Step.Number+1)
	is.Equal(len(l.Answer(Answer{Rank: 1, Kind: Join, Step: next.Step})), 0) // rank 0 has not joined it
}

func TestDigestCoversContent(t *testing.T) {
	is := is.New(t)
	m := Map{Ranks: []int{0, 1}, Layers: []Layer{{Ranks: [][]Replica{{{Expert: 1, Share: 1}}, nil}}}}
	s := m.Seal(3)
	is.True(s.Whole())
	changed := *s
	changed.Layers = []Layer{{Ranks: [][]Replica{{{Expert: 1, Share: 0.5}}, nil}}}
	is.True(!changed.Whole())
}

func BenchmarkStep(b *testing.B) {
	w := newSteadySimulation(64)
	goal := w.completedSteps + b.N
	b.ResetTimer()
	for w.completedSteps < goal {
		w.advanceHop()
		clear(w.steps)
	}
}
