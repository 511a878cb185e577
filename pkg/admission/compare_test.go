package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// policy limits the work in progress at an upstream. Limiter implements it.
type policy interface {
	Start(now time.Time, cost int64, isolated bool) (*Run, bool)
	RecordPart(r *Run, now time.Time)
	End(r *Run, now time.Time, complete bool)
	Reset()
}

// fixedLimit always allows warmLimit requests.
type fixedLimit struct{ running int }

func (f *fixedLimit) Start(now time.Time, _ int64, _ bool) (*Run, bool) {
	if f.running >= warmLimit {
		return nil, false
	}
	f.running++
	return &Run{startedAt: now}, true
}

func (f *fixedLimit) RecordPart(*Run, time.Time) {}
func (f *fixedLimit) End(*Run, time.Time, bool)  { f.running-- }
func (f *fixedLimit) Reset()                     {}

// timeRamp raises the limit in proportion to the time since the first start after a reset.
type timeRamp struct {
	fixedLimit
	// duration is the time from the cold limit to the warm limit.
	duration time.Duration
	// lastStart is the time of the newest call of Start.
	lastStart time.Time
	rampStart time.Time
}

func (r *timeRamp) Start(now time.Time, cost int64, isolated bool) (*Run, bool) {
	r.lastStart = now
	if r.rampStart.IsZero() {
		r.rampStart = now
	}
	limit := coldLimit + int((warmLimit-coldLimit)*now.Sub(r.rampStart)/r.duration)
	if r.running >= limit {
		return nil, false
	}
	return r.fixedLimit.Start(now, cost, isolated)
}

func (r *timeRamp) Reset() { r.rampStart = r.lastStart }

// crashingEngine is a lock-step engine that crashes when it is overloaded.
type crashingEngine struct {
	engine *lockstepEngine
	policy policy
	// lostRequests counts the requests that were running at a crash.
	lostRequests int
	// overloadCrashes counts the crashes due to overload.
	overloadCrashes int
	// startedAt is the time of the newest start, zero once warmLimit requests have run.
	startedAt time.Time
	// fillTimes are the times from each start until warmLimit requests ran.
	fillTimes []time.Duration
}

// downtime is the time that an engine takes to restart after a crash.
const downtime = 2 * time.Second

// fill starts as many requests as the policy allows and crashes the engine on overload.
func (c *crashingEngine) fill() {
	for i := 0; ; i++ {
		r, ok := c.policy.Start(c.engine.now, 1, false)
		if !ok {
			break
		}
		c.engine.start(r, 20)
		if c.engine.overloads > 0 {
			c.overloadCrashes++
			c.crash()
			return
		}
	}
	if len(c.engine.running) == warmLimit && !c.startedAt.IsZero() {
		c.fillTimes = append(c.fillTimes, c.engine.now.Sub(c.startedAt))
		c.startedAt = time.Time{}
	}
}

// crash ends all running requests and restarts the engine after the downtime.
func (c *crashingEngine) crash() {
	c.lostRequests += len(c.engine.running)
	c.policy.Reset()
	for _, req := range c.engine.running {
		c.policy.End(req.run, c.engine.now, false)
	}
	e := newLockstepEngine()
	e.now = c.engine.now.Add(downtime)
	e.completed = c.engine.completed
	e.beginStep()
	c.engine = e
	c.startedAt = e.now
}

// endStep ends a step of the engine. A policy other than Limiter is notified of the ends
// only, and the engine gets an unused Limiter.
func (c *crashingEngine) endStep() {
	l, ok := c.policy.(*Limiter)
	if !ok {
		l = New(Options{ColdLimit: coldLimit, MaxLimit: warmLimit})
	}
	before := append([]*runningRequest(nil), c.engine.running...)
	c.engine.endStep(l)
	if ok {
		return
	}
	for _, req := range before {
		if req.partsLeft == 0 {
			c.policy.End(req.run, c.engine.now, true)
		}
	}
}

// outcome is the result of runPolicy.
type outcome struct {
	completed, lostRequests, overloadCrashes int
	// meanFillTime is the mean time from a start until warmLimit requests ran.
	meanFillTime time.Duration
}

// runPolicy simulates an engine for ten minutes under full load. Every 30 s it alternately
// becomes cold without notice and is killed, so that each happens once a minute.
func runPolicy(p policy) outcome {
	c := &crashingEngine{engine: newLockstepEngine(), policy: p}
	begin := c.engine.now
	c.startedAt = begin
	next := begin.Add(30 * time.Second)
	for killNext := false; c.engine.now.Sub(begin) < 10*time.Minute; c.endStep() {
		if c.engine.now.After(next) {
			next = next.Add(30 * time.Second)
			if killNext {
				c.crash()
			} else {
				c.engine.resetToCold()
			}
			killNext = !killNext
		}
		c.fill()
	}
	var sum time.Duration
	for _, d := range c.fillTimes {
		sum += d
	}
	return outcome{completed: c.engine.completed, lostRequests: c.lostRequests, overloadCrashes: c.overloadCrashes, meanFillTime: sum / time.Duration(max(len(c.fillTimes), 1))}
}

// policies returns a constructor for each policy by name.
func policies() map[string]func() policy {
	ramp := func(duration time.Duration) func() policy {
		return func() policy { return &timeRamp{duration: duration} }
	}
	return map[string]func() policy{
		"limiter":        func() policy { return New(testOptions()) },
		"fixed":          func() policy { return &fixedLimit{} },
		"time-ramp-10s":  ramp(10 * time.Second),
		"time-ramp-60s":  ramp(time.Minute),
		"time-ramp-300s": ramp(5 * time.Minute),
	}
}

func TestLimiterLosesWorkOnlyToKills(t *testing.T) {
	is := is.New(t)
	o := runPolicy(New(testOptions()))
	t.Logf("%+v", o)
	is.Equal(o.overloadCrashes, 0)
	is.True(o.lostRequests <= 10*warmLimit) // runPolicy kills the engine at most ten times
}

func BenchmarkPolicies(b *testing.B) {
	for name, create := range policies() {
		b.Run(name, func(b *testing.B) {
			var o outcome
			for b.Loop() {
				o = runPolicy(create())
			}
			b.ReportMetric(float64(o.completed), "wholes")
			b.ReportMetric(float64(o.lostRequests), "lost")
			b.ReportMetric(float64(o.overloadCrashes), "falls")
			b.ReportMetric(o.meanFillTime.Seconds(), "s-to-full")
		})
	}
}

func BenchmarkStartPartEnd(b *testing.B) {
	for _, limit := range []int{32, 1024} {
		b.Run(fmt.Sprint(limit), func(b *testing.B) {
			l := New(Options{ColdLimit: limit, MaxLimit: limit})
			now := time.Unix(1, 0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				r, _ := l.Start(now, 1, false)
				l.RecordPart(r, now)
				l.RecordPart(r, now)
				l.End(r, now, true)
			}
		})
	}
}
