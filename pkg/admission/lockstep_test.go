package admission

import (
	"time"
)

// Sizes and times of the upstreams that the tests model.
const (
	coldLimit    = 2
	warmLimit    = 32
	warmStepTime = 50 * time.Millisecond
	coldSlowdown = 5
	// restartTime is the least time in which a process is replaced.
	restartTime = 2 * Lull
)

// runningRequest is a request that the modelled upstream runs.
type runningRequest struct {
	run       *Run
	partsLeft int
	// resetsBefore is the number of cold turns before the start.
	resetsBefore int
}

// lockstepEngine models an engine that makes a part for every request in each step. It
// knows what it bears: the cold limit plus one for each whole answer since it turned
// cold, besides the requests that ran when it turned.
type lockstepEngine struct {
	now         time.Time
	stepStart   time.Time
	stepTime    time.Duration
	capacity    int
	coldResets  int
	incarnation int
	running     []*runningRequest
	// warmParts counts the parts at the warm pace since the last cold turn and since the
	// limiter last went back to cold.
	warmParts      int
	seenGeneration int

	overloads int
	starts    int
	completed int
}

func newLockstepEngine() *lockstepEngine {
	e := &lockstepEngine{now: time.Unix(1, 0), capacity: coldLimit}
	e.beginStep()
	return e
}

func (e *lockstepEngine) isWarm() bool { return e.capacity == warmLimit }

// beginStep begins a beginStep.
func (e *lockstepEngine) beginStep() {
	e.stepStart = e.now
	e.stepTime = warmStepTime
	if !e.isWarm() {
		e.stepTime *= coldSlowdown
	}
}

// start takes in a request and notes when it is more than the engine bears.
func (e *lockstepEngine) start(r *Run, parts int) {
	e.starts++
	e.running = append(e.running, &runningRequest{run: r, partsLeft: parts, resetsBefore: e.coldResets})
	own := 0
	for _, j := range e.running {
		if j.resetsBefore == e.coldResets {
			own++
		}
	}
	if own > e.capacity {
		e.overloads++
	}
}

// advance lets a part of the step pass, in hundredths.
func (e *lockstepEngine) advance(hundredths int) {
	end := e.stepStart.Add(e.stepTime)
	e.now = e.now.Add(end.Sub(e.now) * time.Duration(hundredths) / 100)
}

// endStep ends the step: each request gets a part, and those with all parts end.
func (e *lockstepEngine) endStep(l *Limiter) {
	e.now = e.stepStart.Add(e.stepTime)
	kept := e.running[:0]
	if e.seenGeneration != l.generation {
		e.seenGeneration = l.generation
		e.warmParts = 0
	}
	for _, j := range e.running {
		l.Part(j.run, e.now)
		j.partsLeft--
		if j.run.parts > 1 && j.run.generation == l.generation && e.stepTime == warmStepTime {
			e.warmParts++
		}
		if j.partsLeft > 0 {
			kept = append(kept, j)
			continue
		}
		e.completed++
		if j.resetsBefore == e.coldResets {
			e.capacity = min(e.capacity+1, warmLimit)
		}
		l.End(j.run, e.now, true)
	}
	e.running = kept
	e.beginStep()
}

// resetToCold is a silent cold turn: the rest of the step takes longer, and what runs goes on.
func (e *lockstepEngine) resetToCold() {
	rest := e.stepStart.Add(e.stepTime).Sub(e.now)
	if e.isWarm() {
		e.stepTime = e.now.Sub(e.stepStart) + rest*coldSlowdown
	}
	e.coldResets++
	e.capacity = coldLimit
	e.warmParts = 0
}

// restart is a crash or a replacement of the process: all work is lost.
func (e *lockstepEngine) restart(l *Limiter) {
	e.coldResets++
	e.incarnation++
	e.capacity = coldLimit
	e.warmParts = 0
	if len(e.running) > 0 {
		l.Reset()
	}
	for _, j := range e.running {
		l.End(j.run, e.now, false)
	}
	e.running = nil
	e.now = e.now.Add(restartTime)
	e.beginStep()
}
