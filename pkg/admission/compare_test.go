package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// policy is a way to limit the work at an upstream.
type policy interface {
	Start(now time.Time, cost int64, alone bool) (*Run, bool)
	Part(r *Run, now time.Time)
	End(r *Run, now time.Time, whole bool)
	Reset()
}

// fixedLimit always allows the maximum.
type fixedLimit struct{ running int }

func (f *fixedLimit) Start(now time.Time, _ int64, _ bool) (*Run, bool) {
	if f.running >= warmLimit {
		return nil, false
	}
	f.running++
	return &Run{startedAt: now}, true
}

func (f *fixedLimit) Part(*Run, time.Time)      {}
func (f *fixedLimit) End(*Run, time.Time, bool) { f.running-- }
func (f *fixedLimit) Reset()                    {}

// timeRamp raises the limit in proportion to the time since the start.
type timeRamp struct {
	fixedLimit
	duration  time.Duration
	lastStart time.Time
	rampStart time.Time
}

func (r *timeRamp) Start(now time.Time, c int64, alone bool) (*Run, bool) {
	r.lastStart = now
	if r.rampStart.IsZero() {
		r.rampStart = now
	}
	limit := coldLimit + int((warmLimit-coldLimit)*now.Sub(r.rampStart)/r.duration)
	if r.running >= limit {
		return nil, false
	}
	return r.fixedLimit.Start(now, c, alone)
}

func (r *timeRamp) Reset() { r.rampStart = r.lastStart }

// crashingEngine is a lock-step engine that falls over when it receives more than it bears.
type crashingEngine struct {
	engine          *lockstepEngine
	policy          policy
	lostRequests    int
	overloadCrashes int
	startedAt       time.Time
	fillTimes       []time.Duration
}

// downtime is the time that an engine takes to start again.
const downtime = 2 * time.Second

func (f *crashingEngine) fill() {
	for i := 0; ; i++ {
		r, ok := f.policy.Start(f.engine.now, 1, false)
		if !ok {
			break
		}
		f.engine.start(r, 20)
		if f.engine.overloads > 0 {
			f.overloadCrashes++
			f.crash()
			return
		}
	}
	if len(f.engine.running) == warmLimit && !f.startedAt.IsZero() {
		f.fillTimes = append(f.fillTimes, f.engine.now.Sub(f.startedAt))
		f.startedAt = time.Time{}
	}
}

func (f *crashingEngine) crash() {
	f.lostRequests += len(f.engine.running)
	f.policy.Reset()
	for _, j := range f.engine.running {
		f.policy.End(j.run, f.engine.now, false)
	}
	e := newLockstepEngine()
	e.now = f.engine.now.Add(downtime)
	e.completed = f.engine.completed
	e.beginStep()
	f.engine = e
	f.startedAt = e.now
}

// endStep ends a step of the engine with any policy.
func (f *crashingEngine) endStep() {
	l, ok := f.policy.(*Limiter)
	if !ok {
		l = New(Options{Cold: coldLimit, Max: warmLimit})
	}
	before := append([]*runningRequest(nil), f.engine.running...)
	f.engine.endStep(l)
	if ok {
		return
	}
	for _, j := range before {
		if j.partsLeft == 0 {
			f.policy.End(j.run, f.engine.now, true)
		}
	}
}

// outcome is what a policy achieved.
type outcome struct {
	completed, lostRequests, overloadCrashes int
	meanFillTime                             time.Duration
}

// runPolicy runs an engine for ten minutes under full load. It is killed each minute and
// turns cold without warning 30 s later.
func runPolicy(p policy) outcome {
	f := &crashingEngine{engine: newLockstepEngine(), policy: p}
	begin := f.engine.now
	f.startedAt = begin
	next := begin.Add(30 * time.Second)
	for kills := false; f.engine.now.Sub(begin) < 10*time.Minute; f.endStep() {
		if f.engine.now.After(next) {
			next = next.Add(30 * time.Second)
			if kills {
				f.crash()
			} else {
				f.engine.resetToCold()
			}
			kills = !kills
		}
		f.fill()
	}
	var sum time.Duration
	for _, d := range f.fillTimes {
		sum += d
	}
	return outcome{completed: f.engine.completed, lostRequests: f.lostRequests, overloadCrashes: f.overloadCrashes, meanFillTime: sum / time.Duration(max(len(f.fillTimes), 1))}
}

func policies() map[string]func() policy {
	ramp := func(over time.Duration) func() policy {
		return func() policy { return &timeRamp{duration: over} }
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
	is.True(o.lostRequests <= 10*warmLimit) // ten kills
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
			l := New(Options{Cold: limit, Max: limit})
			now := time.Unix(1, 0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				r, _ := l.Start(now, 1, false)
				l.Part(r, now)
				l.Part(r, now)
				l.End(r, now, true)
			}
		})
	}
}
