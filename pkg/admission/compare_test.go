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
	if f.running >= truthMax {
		return nil, false
	}
	f.running++
	return &Run{started: now}, true
}

func (f *fixedLimit) Part(*Run, time.Time)      {}
func (f *fixedLimit) End(*Run, time.Time, bool) { f.running-- }
func (f *fixedLimit) Reset()                    {}

// timedRamp raises the limit in proportion to the time since the start.
type timedRamp struct {
	fixedLimit
	over  time.Duration
	now   time.Time
	began time.Time
}

func (r *timedRamp) Start(now time.Time, c int64, alone bool) (*Run, bool) {
	r.now = now
	if r.began.IsZero() {
		r.began = now
	}
	limit := truthCold + int((truthMax-truthCold)*now.Sub(r.began)/r.over)
	if r.running >= limit {
		return nil, false
	}
	return r.fixedLimit.Start(now, c, alone)
}

func (r *timedRamp) Reset() { r.began = r.now }

// fallingEngine is a lock-step engine that falls over when it receives more than it bears.
type fallingEngine struct {
	e       *lockstep
	p       policy
	lost    int
	falls   int
	started time.Time
	filled  []time.Duration
}

// downTime is the time that an engine takes to start again.
const downTime = 2 * time.Second

func (f *fallingEngine) fill() {
	for i := 0; ; i++ {
		r, ok := f.p.Start(f.e.now, 1, false)
		if !ok {
			break
		}
		f.e.start(r, 20)
		if f.e.overshoots > 0 {
			f.falls++
			f.fall()
			return
		}
	}
	if len(f.e.jobs) == truthMax && !f.started.IsZero() {
		f.filled = append(f.filled, f.e.now.Sub(f.started))
		f.started = time.Time{}
	}
}

func (f *fallingEngine) fall() {
	f.lost += len(f.e.jobs)
	f.p.Reset()
	for _, j := range f.e.jobs {
		f.p.End(j.run, f.e.now, false)
	}
	e := newLockstep()
	e.now = f.e.now.Add(downTime)
	e.wholes = f.e.wholes
	e.step()
	f.e = e
	f.started = e.now
}

// endStep ends a step of the engine with any policy.
func (f *fallingEngine) endStep() {
	l, ok := f.p.(*Limiter)
	if !ok {
		l = New(Options{Cold: truthCold, Max: truthMax})
	}
	before := append([]*job(nil), f.e.jobs...)
	f.e.endStep(l)
	if ok {
		return
	}
	for _, j := range before {
		if j.parts == 0 {
			f.p.End(j.run, f.e.now, true)
		}
	}
}

// outcome is what a policy achieved.
type outcome struct {
	wholes, lost, falls int
	toFull              time.Duration
}

// race runs an engine for ten minutes under full load. It is killed each minute and
// turns cold without warning 30 s later.
func race(p policy) outcome {
	f := &fallingEngine{e: newLockstep(), p: p}
	begin := f.e.now
	f.started = begin
	next := begin.Add(30 * time.Second)
	for kills := false; f.e.now.Sub(begin) < 10*time.Minute; f.endStep() {
		if f.e.now.After(next) {
			next = next.Add(30 * time.Second)
			if kills {
				f.fall()
			} else {
				f.e.turnCold()
			}
			kills = !kills
		}
		f.fill()
	}
	var sum time.Duration
	for _, d := range f.filled {
		sum += d
	}
	return outcome{wholes: f.e.wholes, lost: f.lost, falls: f.falls, toFull: sum / time.Duration(max(len(f.filled), 1))}
}

func policies() map[string]func() policy {
	ramp := func(over time.Duration) func() policy {
		return func() policy { return &timedRamp{over: over} }
	}
	return map[string]func() policy{
		"limiter":        func() policy { return New(options()) },
		"fixed":          func() policy { return &fixedLimit{} },
		"time-ramp-10s":  ramp(10 * time.Second),
		"time-ramp-60s":  ramp(time.Minute),
		"time-ramp-300s": ramp(5 * time.Minute),
	}
}

func TestOnlyKillsCostWork(t *testing.T) {
	is := is.New(t)
	o := race(New(options()))
	t.Logf("%+v", o)
	is.Equal(o.falls, 0)
	is.True(o.lost <= 10*truthMax) // ten kills
}

func BenchmarkPolicies(b *testing.B) {
	for name, create := range policies() {
		b.Run(name, func(b *testing.B) {
			var o outcome
			for b.Loop() {
				o = race(create())
			}
			b.ReportMetric(float64(o.wholes), "wholes")
			b.ReportMetric(float64(o.lost), "lost")
			b.ReportMetric(float64(o.falls), "falls")
			b.ReportMetric(o.toFull.Seconds(), "s-to-full")
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
