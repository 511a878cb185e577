package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/coltsfootpitch/coltsfootpitch/internal/fixedseed"
)

func init() { fixedseed.Checks(3000) }

// learnParts is the number of parts at the warm pace after which a silent cold turn is
// seen; the baseline is learned from them.
const learnParts = 16

// action is one thing that happens to an upstream and its agent.
type action int

const (
	send action = iota
	refresh
	part
	step
	crash
	turn
	replace
	probe
	cut
	rest
)

// mix holds the actions in proportion to how often they happen.
var mix = func() []action {
	counts := map[action]int{send: 150, refresh: 40, part: 60, step: 480, crash: 1, turn: 4, replace: 1, probe: 12, cut: 6, rest: 2}
	var out []action
	for a := send; a <= rest; a++ {
		for range counts[a] {
			out = append(out, a)
		}
	}
	return out
}()

// guarded is an engine with its limiter and nine entries, each with news of some age.
type guarded struct {
	engine  *lockstep
	limiter *Limiter
	known   int
	news    [9]int
	waiting int
	counts  counts
}

type counts struct {
	actions, starts, wholes, overshoots, crashes, turns, replacements, warmTimes int
}

func (g *guarded) do(a action, p int) {
	g.counts.actions++
	switch a {
	case send:
		g.waiting += g.news[p%9]
	case refresh:
		g.news[p%9] = g.limiter.Limit(g.engine.now)
	case part:
		g.engine.wait(p % 100)
	case step:
		g.endStep()
	case crash:
		g.counts.crashes++
		g.engine.restart(g.limiter)
	case turn:
		if g.engine.warmParts >= learnParts && g.engine.seen == g.limiter.turn {
			g.counts.turns++
			g.engine.turnCold()
		}
	case replace:
		// A replacement of a process without work breaks no connection.
		g.counts.replacements++
		g.engine.restart(g.limiter)
	case probe:
		g.probe()
	case cut:
		g.cut(p)
	case rest:
		g.waiting = 0
	}
	g.startAll(p)
}

func (g *guarded) endStep() {
	before := g.engine.warm()
	g.engine.endStep(g.limiter)
	if g.engine.warm() && !before {
		g.counts.warmTimes++
	}
}

func (g *guarded) probe() {
	if g.known != g.engine.life {
		g.known = g.engine.life
		g.limiter.Reset()
	}
}

// cut ends a request whose caller went away.
func (g *guarded) cut(p int) {
	e := g.engine
	if len(e.jobs) == 0 {
		return
	}
	i := p % len(e.jobs)
	g.limiter.End(e.jobs[i].run, e.now, false)
	e.jobs = append(e.jobs[:i], e.jobs[i+1:]...)
}

func (g *guarded) startAll(p int) {
	for g.waiting > 0 {
		r, ok := g.limiter.Start(g.engine.now, 1, false)
		if !ok {
			return
		}
		g.waiting--
		g.engine.start(r, 2+p%7)
	}
}

func TestNeverMoreThanALockstepEngineBears(t *testing.T) {
	var sum counts
	rapid.Check(t, func(t *rapid.T) {
		g := &guarded{
			engine:  newLockstep(),
			limiter: New(Options{Cold: truthCold, Max: truthMax, Idle: 10 * time.Second}),
		}
		for _, n := range rapid.SliceOfN(rapid.Uint32(), 1000, 1000).Draw(t, "actions") {
			g.do(mix[int(n>>8)%len(mix)], int(n%251))
			if g.engine.overshoots > 0 {
				t.Fatalf("the engine received more than it bears: running %d, bears %d, limit %d", len(g.engine.jobs), g.engine.bears, g.limiter.limit)
			}
		}
		sum.add(g)
	})
	t.Logf("%+v", sum)
	is := is.New(t)
	is.Equal(sum.overshoots, 0)
	is.True(sum.actions >= 1_000_000)
	is.True(sum.turns > 500)
	is.True(sum.crashes > 500)
	is.True(sum.replacements > 500)
	is.True(sum.warmTimes > 1000)
}

func (c *counts) add(g *guarded) {
	c.actions += g.counts.actions
	c.crashes += g.counts.crashes
	c.turns += g.counts.turns
	c.replacements += g.counts.replacements
	c.warmTimes += g.counts.warmTimes
	c.starts += g.engine.starts
	c.wholes += g.engine.wholes
	c.overshoots += g.engine.overshoots
}
