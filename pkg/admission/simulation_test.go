package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/coltsfootpitch/coltsfootpitch/internal/fixedseed"
)

func init() { fixedseed.SetChecks(3000) }

// partsToDetectReset is the number of parts in warm steps after which the limiter detects an
// unreported cold reset; the baseline is computed from them.
const partsToDetectReset = 16

// action is an event at an upstream or its agent.
type action int

const (
	// sendRequests lets an entry send as many requests as the limit it last read.
	sendRequests action = iota
	// refreshEntry makes an entry read the current limit.
	refreshEntry
	// advanceStep lets a part of the step pass.
	advanceStep
	endStep
	crashProcess
	// resetToCold makes the engine cold without notice, unless the limiter could not detect it.
	resetToCold
	replaceProcess
	// probeHealth lets the agent detect a new incarnation of the engine.
	probeHealth
	disconnectCaller
	// dropQueued removes all requests that wait at the agent.
	dropQueued
)

// weightedActions contains each action as often as its weight.
var weightedActions = func() []action {
	counts := map[action]int{sendRequests: 150, refreshEntry: 40, advanceStep: 60, endStep: 480, crashProcess: 1, resetToCold: 4, replaceProcess: 1, probeHealth: 12, disconnectCaller: 6, dropQueued: 2}
	var out []action
	for a := sendRequests; a <= dropQueued; a++ {
		for range counts[a] {
			out = append(out, a)
		}
	}
	return out
}()

// simulation is an engine with its limiter and nine entries, whose copies of the limit
// differ in age.
type simulation struct {
	engine  *lockstepEngine
	limiter *Limiter
	// probedIncarnation is the incarnation of the engine at the newest health probe.
	probedIncarnation int
	// knownLimits are the limits that the entries last read.
	knownLimits [9]int
	// queued is the number of requests that wait at the agent.
	queued int
	counts counts
}

// counts are the numbers of events in a simulation.
type counts struct {
	actions, starts, completed, overloads, crashes, coldResets, replacements, warmups int
}

// apply carries out an action and starts the queued requests that the limiter allows. The
// random choice selects the entry, the request or the duration.
func (s *simulation) apply(a action, choice int) {
	s.counts.actions++
	switch a {
	case sendRequests:
		s.queued += s.knownLimits[choice%9]
	case refreshEntry:
		s.knownLimits[choice%9] = s.limiter.Limit(s.engine.now)
	case advanceStep:
		s.engine.advance(choice % 100)
	case endStep:
		s.endStep()
	case crashProcess:
		s.counts.crashes++
		s.engine.restart(s.limiter)
	case resetToCold:
		if s.engine.warmParts >= partsToDetectReset && s.engine.seenGeneration == s.limiter.generation {
			s.counts.coldResets++
			s.engine.resetToCold()
		}
	case replaceProcess:
		// A replacement of a process without work breaks no connection and is not reported.
		s.counts.replacements++
		s.engine.restart(s.limiter)
	case probeHealth:
		s.probe()
	case disconnectCaller:
		s.disconnect(choice)
	case dropQueued:
		s.queued = 0
	}
	s.startQueued(choice)
}

func (s *simulation) endStep() {
	before := s.engine.isWarm()
	s.engine.endStep(s.limiter)
	if s.engine.isWarm() && !before {
		s.counts.warmups++
	}
}

// probe resets the limiter when the engine is a new incarnation.
func (s *simulation) probe() {
	if s.probedIncarnation != s.engine.incarnation {
		s.probedIncarnation = s.engine.incarnation
		s.limiter.Reset()
	}
}

// disconnect ends a request whose caller closed the connection.
func (s *simulation) disconnect(choice int) {
	e := s.engine
	if len(e.running) == 0 {
		return
	}
	i := choice % len(e.running)
	s.limiter.End(e.running[i].run, e.now, false)
	e.running = append(e.running[:i], e.running[i+1:]...)
}

// startQueued starts queued requests, with 2 to 8 parts each, until the limiter rejects one.
func (s *simulation) startQueued(choice int) {
	for s.queued > 0 {
		r, ok := s.limiter.Start(s.engine.now, 1, false)
		if !ok {
			return
		}
		s.queued--
		s.engine.start(r, 2+choice%7)
	}
}

func TestLimiterNeverOverloadsLockstepEngine(t *testing.T) {
	var sum counts
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			engine:  newLockstepEngine(),
			limiter: New(Options{ColdLimit: coldLimit, MaxLimit: warmLimit, IdleTimeout: 10 * time.Second}),
		}
		for _, n := range rapid.SliceOfN(rapid.Uint32(), 1000, 1000).Draw(t, "actions") {
			s.apply(weightedActions[int(n>>8)%len(weightedActions)], int(n%251))
			if s.engine.overloads > 0 {
				t.Fatalf("the engine is overloaded: running %d, capacity %d, limit %d", len(s.engine.running), s.engine.capacity, s.limiter.limit)
			}
		}
		sum.add(s)
	})
	t.Logf("%+v", sum)
	is := is.New(t)
	is.Equal(sum.overloads, 0)
	is.True(sum.actions >= 1_000_000)
	is.True(sum.coldResets > 500)
	is.True(sum.crashes > 500)
	is.True(sum.replacements > 500)
	is.True(sum.warmups > 1000)
}

func (c *counts) add(s *simulation) {
	c.actions += s.counts.actions
	c.crashes += s.counts.crashes
	c.coldResets += s.counts.coldResets
	c.replacements += s.counts.replacements
	c.warmups += s.counts.warmups
	c.starts += s.engine.starts
	c.completed += s.engine.completed
	c.overloads += s.engine.overloads
}
