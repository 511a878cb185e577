package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func options() Options {
	return Options{Cold: truthCold, Max: truthMax, Idle: 10 * time.Second}
}

// fill starts as many requests as the limiter allows.
func fill(e *lockstep, l *Limiter, parts int) {
	for {
		r, ok := l.Start(e.now, 1, false)
		if !ok {
			return
		}
		e.start(r, parts)
	}
}

// warmed returns an engine and its limiter at the full limit.
func warmed(o Options) (*lockstep, *Limiter) {
	e := newLockstep()
	l := New(o)
	for !e.warm() || l.Cold() || e.warmParts < learnParts {
		fill(e, l, 4)
		e.endStep(l)
	}
	return e, l
}

func TestRampToFullTakesMaxMinusColdWholeAnswers(t *testing.T) {
	is := is.New(t)
	e := newLockstep()
	l := New(options())
	for l.Cold() {
		fill(e, l, 4)
		e.endStep(l)
		is.True(e.wholes <= truthMax) // a step may end several answers at a time
	}
	is.Equal(l.Limit(e.now), truthMax)
	is.Equal(e.overshoots, 0)
}

func TestWarmingUpstreamWithoutWorkFallsBack(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	l := New(options())
	r, _ := l.Start(now, 1, false)
	l.End(r, now, true)
	is.Equal(l.Limit(now), truthCold+1)
	is.Equal(l.Limit(now.Add(Lull)), truthCold)
}

func TestTimeAloneRaisesNothing(t *testing.T) {
	is := is.New(t)
	l := New(Options{Cold: 2, Max: 32})
	is.Equal(l.Limit(time.Unix(1, 0)), 2)
	is.Equal(l.Limit(time.Unix(1_000_000, 0)), 2)
}

func TestWhatSetsTheLimitBackToCold(t *testing.T) {
	cases := []struct {
		name string
		do   func(e *lockstep, l *Limiter)
	}{
		{"reset", func(_ *lockstep, l *Limiter) { l.Reset() }},
		{"long idleness", func(e *lockstep, l *Limiter) {
			for len(e.jobs) > 0 {
				e.endStep(l)
			}
			e.now = e.now.Add(11 * time.Second)
		}},
		{"late parts", func(e *lockstep, l *Limiter) {
			fill(e, l, 8)
			e.endStep(l)
			e.turnCold()
			e.endStep(l)
			e.endStep(l)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e, l := warmed(options())
			c.do(e, l)
			is.Equal(l.Limit(e.now), truthCold)
			is.True(l.Cold())
		})
	}
}

func TestAnswersToRequestsFromBeforeAResetRaiseNothing(t *testing.T) {
	is := is.New(t)
	e, l := warmed(options())
	fill(e, l, 2)
	l.Reset()
	for len(e.jobs) > 0 {
		e.endStep(l)
	}
	is.Equal(l.Limit(e.now), truthCold)
}

func TestSilentTurnOfAnIdleWarmEngineMeetsAtMostTheColdLimit(t *testing.T) {
	is := is.New(t)
	e, l := warmed(options())
	for len(e.jobs) > 0 {
		e.endStep(l)
	}
	e.turnCold()
	fill(e, l, 3)
	is.Equal(len(e.jobs), truthCold)
	for range 20 {
		e.endStep(l)
		fill(e, l, 3)
	}
	is.Equal(e.overshoots, 0)
}

func TestWarmEngineIsFilledWithinAFewSteps(t *testing.T) {
	is := is.New(t)
	e, l := warmed(options())
	for len(e.jobs) > 0 {
		e.endStep(l)
	}
	steps := 0
	for ; len(e.jobs) < truthMax && steps < 100; steps++ {
		fill(e, l, 200)
		e.endStep(l)
	}
	t.Logf("%d steps", steps)
	is.True(steps <= 2*truthMax/truthCold)
}

func TestTokensLimitWorkBesideRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	l := New(Options{Cold: 4, Max: 8, ColdTokens: 100, MaxTokens: 500})
	is.Equal(l.TokenLimit(now), int64(100))
	a, ok := l.Start(now, 60, false)
	is.True(ok)
	_, ok = l.Start(now, 60, false)
	is.True(!ok)
	l.End(a, now, false)
	is.True(l.Fits(now, 100))
	is.True(!l.Fits(now, 101))
	is.True(!l.Fits(now, 10_000))
}

func TestRequestThatRunsAloneHasNothingBesideIt(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	l := New(options())
	a, _ := l.Start(now, 1, false)
	_, ok := l.Start(now, 1, true)
	is.True(!ok)
	l.End(a, now, true)
	b, ok := l.Start(now, 1, true)
	is.True(ok)
	_, ok = l.Start(now, 1, false)
	is.True(!ok)
	l.End(b, now, true)
	_, ok = l.Start(now, 1, false)
	is.True(ok)
}

func TestLimitFallsWhileSlowAndRisesAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	l := New(Options{Cold: 2, Max: 8})
	run := func(took time.Duration, n int) {
		for range n {
			r, ok := l.Start(now, 1, false)
			is.True(ok)
			now = now.Add(took)
			l.End(r, now, true)
		}
	}
	for l.Cold() {
		run(10*time.Millisecond, 1)
	}
	run(10*time.Millisecond, 10)
	is.Equal(l.Limit(now), 8)
	run(20*time.Millisecond, 20)
	slow := l.Limit(now)
	is.True(slow < 8)
	is.True(slow >= 2)
	run(10*time.Millisecond, 100)
	is.Equal(l.Limit(now), 8)
}

func TestWaitFollowsTheRateOfAnswers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	l := New(options())
	is.Equal(l.Wait(now, 3), time.Duration(0))
	for range 200 {
		r, _ := l.Start(now, 1, false)
		now = now.Add(100 * time.Millisecond)
		l.End(r, now, true)
	}
	wait := l.Wait(now, 9)
	is.True(wait > 900*time.Millisecond)
	is.True(wait < 1100*time.Millisecond)
}
