package admission

import (
	"time"
)

// Limits and times of the simulated upstreams.
const (
	coldLimit    = 2
	warmLimit    = 32
	warmStepTime = 50 * time.Millisecond
	// coldSlowdown is the factor by which steps and responses take longer while cold.
	coldSlowdown = 5
	// restartTime is the shortest time in which a process is replaced.
	restartTime = 2 * WarmupIdleTimeout
)

// runningRequest is a request in progress at the simulated upstream.
type runningRequest struct {
	run *Run
	// partsLeft is the number of parts of the response still to come.
	partsLeft int
	// resetsBefore is the number of cold resets of the upstream before the start.
	resetsBefore int
}

// lockstepEngine simulates an engine that generates one part for every request in each step.
type lockstepEngine struct {
	now       time.Time
	stepStart time.Time
	stepTime  time.Duration
	// capacity is the number of requests started since the last cold reset that the engine
	// can run: the cold limit plus one for each complete response to such a request.
	// Requests started before the reset do not count.
	capacity int
	// coldResets counts the times that the engine became cold, including restarts.
	coldResets int
	// incarnation counts the restarts.
	incarnation int
	running     []*runningRequest
	// warmParts counts the parts generated in warm steps since the last cold reset and since
	// the limiter last reset.
	warmParts int
	// seenGeneration is the generation of the limiter to which warmParts belongs.
	seenGeneration int

	// overloads counts the starts beyond the capacity.
	overloads int
	starts    int
	// completed counts the complete responses.
	completed int
}

func newLockstepEngine() *lockstepEngine {
	e := &lockstepEngine{now: time.Unix(1, 0), capacity: coldLimit}
	e.beginStep()
	return e
}

func (e *lockstepEngine) isWarm() bool { return e.capacity == warmLimit }

// beginStep begins a step. Steps of a cold engine take coldSlowdown times as long.
func (e *lockstepEngine) beginStep() {
	e.stepStart = e.now
	e.stepTime = warmStepTime
	if !e.isWarm() {
		e.stepTime *= coldSlowdown
	}
}

// start starts a request and counts an overload when it exceeds the capacity.
func (e *lockstepEngine) start(r *Run, parts int) {
	e.starts++
	e.running = append(e.running, &runningRequest{run: r, partsLeft: parts, resetsBefore: e.coldResets})
	sinceReset := 0
	for _, req := range e.running {
		if req.resetsBefore == e.coldResets {
			sinceReset++
		}
	}
	if sinceReset > e.capacity {
		e.overloads++
	}
}

// advance advances the clock by the given hundredths of the time left in the step.
func (e *lockstepEngine) advance(hundredths int) {
	end := e.stepStart.Add(e.stepTime)
	e.now = e.now.Add(end.Sub(e.now) * time.Duration(hundredths) / 100)
}

// endStep ends the step: each request gets a part, and those without parts left end.
func (e *lockstepEngine) endStep(l *Limiter) {
	e.now = e.stepStart.Add(e.stepTime)
	kept := e.running[:0]
	if e.seenGeneration != l.generation {
		e.seenGeneration = l.generation
		e.warmParts = 0
	}
	for _, req := range e.running {
		l.RecordPart(req.run, e.now)
		req.partsLeft--
		if req.run.parts > 1 && req.run.generation == l.generation && e.stepTime == warmStepTime {
			e.warmParts++
		}
		if req.partsLeft > 0 {
			kept = append(kept, req)
			continue
		}
		e.completed++
		if req.resetsBefore == e.coldResets {
			e.capacity = min(e.capacity+1, warmLimit)
		}
		l.End(req.run, e.now, true)
	}
	e.running = kept
	e.beginStep()
}

// resetToCold makes the engine cold without notice to the limiter: the rest of the step takes
// longer, and the running requests continue.
func (e *lockstepEngine) resetToCold() {
	left := e.stepStart.Add(e.stepTime).Sub(e.now)
	if e.isWarm() {
		e.stepTime = e.now.Sub(e.stepStart) + left*coldSlowdown
	}
	e.coldResets++
	e.capacity = coldLimit
	e.warmParts = 0
}

// restart simulates a crash or a replacement of the process: all running requests are lost.
// The limiter is reset only if a connection broke.
func (e *lockstepEngine) restart(l *Limiter) {
	e.coldResets++
	e.incarnation++
	e.capacity = coldLimit
	e.warmParts = 0
	if len(e.running) > 0 {
		l.Reset()
	}
	for _, req := range e.running {
		l.End(req.run, e.now, false)
	}
	e.running = nil
	e.now = e.now.Add(restartTime)
	e.beginStep()
}
