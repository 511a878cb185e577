package admission

import (
	"time"
)

// Sizes and times of the upstreams that the tests model.
const (
	truthCold  = 2
	truthMax   = 32
	warmStep   = 50 * time.Millisecond
	coldFactor = 5
	// restartTime is the least time in which a process is replaced.
	restartTime = 2 * Lull
)

// job is a request that the modelled upstream runs.
type job struct {
	run   *Run
	parts int
	// born is the number of cold turns before the start.
	born int
}

// lockstep models an engine that makes a part for every request in each step. It
// knows what it bears: the cold limit plus one for each whole answer since it turned
// cold, besides the requests that ran when it turned.
type lockstep struct {
	now    time.Time
	began  time.Time
	length time.Duration
	bears  int
	turns  int
	life   int
	jobs   []*job
	// warmParts counts the parts at the warm pace since the last cold turn and since the
	// limiter last went back to cold.
	warmParts int
	seen      int

	overshoots int
	starts     int
	wholes     int
}

func newLockstep() *lockstep {
	e := &lockstep{now: time.Unix(1, 0), bears: truthCold}
	e.step()
	return e
}

func (e *lockstep) warm() bool { return e.bears == truthMax }

// step begins a step.
func (e *lockstep) step() {
	e.began = e.now
	e.length = warmStep
	if !e.warm() {
		e.length *= coldFactor
	}
}

// start takes in a request and notes when it is more than the engine bears.
func (e *lockstep) start(r *Run, parts int) {
	e.starts++
	e.jobs = append(e.jobs, &job{run: r, parts: parts, born: e.turns})
	own := 0
	for _, j := range e.jobs {
		if j.born == e.turns {
			own++
		}
	}
	if own > e.bears {
		e.overshoots++
	}
}

// wait lets a part of the step pass, in hundredths.
func (e *lockstep) wait(hundredths int) {
	end := e.began.Add(e.length)
	e.now = e.now.Add(end.Sub(e.now) * time.Duration(hundredths) / 100)
}

// endStep ends the step: each request gets a part, and those with all parts end.
func (e *lockstep) endStep(l *Limiter) {
	e.now = e.began.Add(e.length)
	kept := e.jobs[:0]
	if e.seen != l.turn {
		e.seen = l.turn
		e.warmParts = 0
	}
	for _, j := range e.jobs {
		l.Part(j.run, e.now)
		j.parts--
		if j.run.parts > 1 && j.run.turn == l.turn && e.length == warmStep {
			e.warmParts++
		}
		if j.parts > 0 {
			kept = append(kept, j)
			continue
		}
		e.wholes++
		if j.born == e.turns {
			e.bears = min(e.bears+1, truthMax)
		}
		l.End(j.run, e.now, true)
	}
	e.jobs = kept
	e.step()
}

// turnCold is a silent cold turn: the rest of the step takes longer, and what runs goes on.
func (e *lockstep) turnCold() {
	rest := e.began.Add(e.length).Sub(e.now)
	if e.warm() {
		e.length = e.now.Sub(e.began) + rest*coldFactor
	}
	e.turns++
	e.bears = truthCold
	e.warmParts = 0
}

// restart is a crash or a replacement of the process: all work is lost.
func (e *lockstep) restart(l *Limiter) {
	e.turns++
	e.life++
	e.bears = truthCold
	e.warmParts = 0
	if len(e.jobs) > 0 {
		l.Reset()
	}
	for _, j := range e.jobs {
		l.End(j.run, e.now, false)
	}
	e.jobs = nil
	e.now = e.now.Add(restartTime)
	e.step()
}
