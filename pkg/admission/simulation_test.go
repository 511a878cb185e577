package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/coltsfootpitch/coltsfootpitch/internal/fixedseed"
)

func init() { fixedseed.Checks(3000) }

// partsToDetectReset is the number of parts at the warm pace after which a silent cold turn is
// seen; the baseline is learned from them.
const partsToDetectReset = 16

// action is one thing that happens to an upstream and its agent.
type action int

const (
	sendRequests action = iota
	refreshEntry
	advanceStep
	endStep
	crashProcess
	resetToCold
	replaceProcess
	probeHealth
	disconnectCaller
	dropQueued
)

// weightedActions holds the actions in proportion to how often they happen.
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

// simulation is an engine with its limiter and nine entries, each with news of some age.
type simulation struct {
	engine            *lockstepEngine
	limiter           *Limiter
	probedIncarnation int
	knownLimits       [9]int
	queued            int
	counts            counts
}

type counts struct {
	actions, starts, completed, overloads, crashes, coldResets, replacements, warmups int
}

func (g *simulation) apply(a action, p int) {
	g.counts.actions++
	switch a {
	case sendRequests:
		g.queued += g.knownLimits[p%9]
	case refreshEntry:
		g.knownLimits[p%9] = g.limiter.Limit(g.engine.now)
	case advanceStep:
		g.engine.advance(p % 100)
	case endStep:
		g.endStep()
	case crashProcess:
		g.counts.crashes++
		g.engine.restart(g.limiter)
	case resetToCold:
		if g.engine.warmParts >= partsToDetectReset && g.engine.seenGeneration == g.limiter.generation {
			g.counts.coldResets++
			g.engine.resetToCold()
		}
	case replaceProcess:
		// A replacement of a process without work breaks no connection.
		g.counts.replacements++
		g.engine.restart(g.limiter)
	case probeHealth:
		g.probe()
	case disconnectCaller:
		g.disconnect(p)
	case dropQueued:
		g.queued = 0
	}
	g.startQueued(p)
}

func (g *simulation) endStep() {
	before := g.engine.isWarm()
	g.engine.endStep(g.limiter)
	if g.engine.isWarm() && !before {
		g.counts.warmups++
	}
}

func (g *simulation) probe() {
	if g.probedIncarnation != g.engine.incarnation {
		g.probedIncarnation = g.engine.incarnation
		g.limiter.Reset()
	}
}

// disconnect ends a request whose caller went away.
func (g *simulation) disconnect(p int) {
	e := g.engine
	if len(e.running) == 0 {
		return
	}
	i := p % len(e.running)
	g.limiter.End(e.running[i].run, e.now, false)
	e.running = append(e.running[:i], e.running[i+1:]...)
}

func (g *simulation) startQueued(p int) {
	for g.queued > 0 {
		r, ok := g.limiter.Start(g.engine.now, 1, false)
		if !ok {
			return
		}
		g.queued--
		g.engine.start(r, 2+p%7)
	}
}

func TestLimiterNeverOverloadsLockstepEngine(t *testing.T) {
	var sum counts
	rapid.Check(t, func(t *rapid.T) {
		g := &simulation{
			engine:  newLockstepEngine(),
			limiter: New(Options{Cold: coldLimit, Max: warmLimit, Idle: 10 * time.Second}),
		}
		for _, n := range rapid.SliceOfN(rapid.Uint32(), 1000, 1000).Draw(t, "actions") {
			g.apply(weightedActions[int(n>>8)%len(weightedActions)], int(n%251))
			if g.engine.overloads > 0 {
				t.Fatalf("the engine received more than it bears: running %d, bears %d, limit %d", len(g.engine.running), g.engine.capacity, g.limiter.limit)
			}
		}
		sum.add(g)
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

func (c *counts) add(g *simulation) {
	c.actions += g.counts.actions
	c.crashes += g.counts.crashes
	c.coldResets += g.counts.coldResets
	c.replacements += g.counts.replacements
	c.warmups += g.counts.warmups
	c.starts += g.engine.starts
	c.completed += g.engine.completed
	c.overloads += g.engine.overloads
}
