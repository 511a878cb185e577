package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func testOptions() Options {
	return Options{ColdLimit: coldLimit, MaxLimit: warmLimit, IdleTimeout: 10 * time.Second}
}

// fill starts as many requests of the given number of parts as the limiter allows.
func fill(e *lockstepEngine, l *Limiter, parts int) {
	for {
		r, ok := l.Start(e.now, 1, false)
		if !ok {
			return
		}
		e.start(r, parts)
	}
}

// newWarmEngine returns an engine and its limiter at the warm limit, after enough parts to
// detect a cold reset.
func newWarmEngine(o Options) (*lockstepEngine, *Limiter) {
	e := newLockstepEngine()
	l := New(o)
	for !e.isWarm() || l.IsCold() || e.warmParts < partsToDetectReset {
		fill(e, l, 4)
		e.endStep(l)
	}
	return e, l
}

func TestWarmupTakesMaxMinusColdCompleteResponses(t *testing.T) {
	is := is.New(t)
	e := newLockstepEngine()
	l := New(testOptions())
	for l.IsCold() {
		fill(e, l, 4)
		e.endStep(l)
		is.True(e.completed <= warmLimit) // one step may end several responses
	}
	is.Equal(l.Limit(e.now), warmLimit)
	is.Equal(e.overloads, 0)
}

func TestIdleWarmingUpstreamReturnsToColdLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	l := New(testOptions())
	r, _ := l.Start(now, 1, false)
	l.End(r, now, true)
	is.Equal(l.Limit(now), coldLimit+1)
	is.Equal(l.Limit(now.Add(WarmupIdleTimeout)), coldLimit)
}

func TestTimeAloneDoesNotRaiseLimit(t *testing.T) {
	is := is.New(t)
	l := New(Options{ColdLimit: 2, MaxLimit: 32})
	is.Equal(l.Limit(time.Unix(1, 0)), 2)
	is.Equal(l.Limit(time.Unix(1_000_000, 0)), 2)
}

func TestLimitReturnsToCold(t *testing.T) {
	cases := []struct {
		name string
		do   func(e *lockstepEngine, l *Limiter)
	}{
		{"reset", func(_ *lockstepEngine, l *Limiter) { l.Reset() }},
		{"long idleness", func(e *lockstepEngine, l *Limiter) {
			for len(e.running) > 0 {
				e.endStep(l)
			}
			e.now = e.now.Add(11 * time.Second)
		}},
		{"late parts", func(e *lockstepEngine, l *Limiter) {
			fill(e, l, 8)
			e.endStep(l)
			e.resetToCold()
			e.endStep(l)
			e.endStep(l)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e, l := newWarmEngine(testOptions())
			c.do(e, l)
			is.Equal(l.Limit(e.now), coldLimit)
			is.True(l.IsCold())
		})
	}
}

func TestResponsesToRequestsBeforeResetDoNotRaiseLimit(t *testing.T) {
	is := is.New(t)
	e, l := newWarmEngine(testOptions())
	fill(e, l, 2)
	l.Reset()
	for len(e.running) > 0 {
		e.endStep(l)
	}
	is.Equal(l.Limit(e.now), coldLimit)
}

func TestUnreportedColdResetOfIdleEngineGetsAtMostColdLimit(t *testing.T) {
	is := is.New(t)
	e, l := newWarmEngine(testOptions())
	for len(e.running) > 0 {
		e.endStep(l)
	}
	e.resetToCold()
	fill(e, l, 3)
	is.Equal(len(e.running), coldLimit)
	for range 20 {
		e.endStep(l)
		fill(e, l, 3)
	}
	is.Equal(e.overloads, 0)
}

func TestWarmEngineFillsWithinFewSteps(t *testing.T) {
	is := is.New(t)
	e, l := newWarmEngine(testOptions())
	for len(e.running) > 0 {
		e.endStep(l)
	}
	steps := 0
	for ; len(e.running) < warmLimit && steps < 100; steps++ {
		fill(e, l, 200)
		e.endStep(l)
	}
	t.Logf("%d steps", steps)
	is.True(steps <= 2*warmLimit/coldLimit)
}

func TestTokenLimitRejectsExcessCost(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	l := New(Options{ColdLimit: 4, MaxLimit: 8, ColdTokens: 100, MaxTokens: 500})
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

func TestIsolatedRunExcludesOtherRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	l := New(testOptions())
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

func TestLimitFallsWhileSlowAndRecovers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	l := New(Options{ColdLimit: 2, MaxLimit: 8})
	run := func(took time.Duration, n int) {
		for range n {
			r, ok := l.Start(now, 1, false)
			is.True(ok)
			now = now.Add(took)
			l.End(r, now, true)
		}
	}
	for l.IsCold() {
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

func TestExpectedWaitFollowsResponseRate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	l := New(testOptions())
	is.Equal(l.ExpectedWait(now, 3), time.Duration(0))
	for range 200 {
		r, _ := l.Start(now, 1, false)
		now = now.Add(100 * time.Millisecond)
		l.End(r, now, true)
	}
	wait := l.ExpectedWait(now, 9)
	is.True(wait > 900*time.Millisecond)
	is.True(wait < 1100*time.Millisecond)
}
