// Package permit decides who may start work on a service, who waits and who is refused.
//
// A Gate holds the permits of one entry for one service. Requests wait in the queue of
// package fairness, so that priorities and organisations share what is free. A request
// that would wait longer than its caller gains from is refused at once and told when the
// queue will have drained. Requests that can no longer be on time give way to the others and
// take part of the permits only.
//
// The package has no I/O, no clock and no goroutines.
package permit

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/fairness"
)

// Request asks for a permit.
type Request struct {
	ID           string
	Organisation string
	// Priority ranks requests; higher ones are served first.
	Priority int
	// Cost is the expected work in tokens.
	Cost int64
	// Patience is the longest wait that is of use to the caller.
	Patience time.Duration
	// OnTime is the longest wait after which the answer still meets the objective; 0 is for
	// a request that cannot any more.
	OnTime time.Duration
}

// Outcome is the answer to a request for a permit.
type Outcome int

// Outcomes.
const (
	Granted Outcome = iota
	Queued
	Refused
)

// Decision is an outcome with its reason.
type Decision struct {
	Outcome Outcome
	// Wait is the expected time until a permit is free; for a refusal it is the time
	// after which the caller may come back.
	Wait time.Duration
}

const (
	// maxQueued bounds the requests that wait at an entry; each holds a body in memory.
	maxQueued = 512
	// serviceTimeWeight is the weight of the newest sample in the mean time a permit is held.
	serviceTimeWeight = 0.05
	// latePermitShare is the part of the permits up to which late requests are served: answers get
	// slower with all work, and those that can be on time must not be late for the others.
	// On days with outages 0.4 to 0.6 measure alike; at 0.8 the gain is gone.
	latePermitShare = 0.5
	// minRetryAfter is the shortest time after which a refused caller is asked to come back.
	minRetryAfter = 200 * time.Millisecond
)

// Gate holds the permits. It is not safe for concurrent use.
type Gate struct {
	limit   int
	running int
	// onTime holds the requests that can still be served on time, and late the others.
	onTime *fairness.Queue
	late   *fairness.Queue
	// startBy is until when the requests in queue must start to be on time.
	startBy map[string]time.Time
	// serviceTime is the mean time that a permit is held.
	serviceTime time.Duration
	// closed gates grant nothing; opens is the expected time until that ends.
	closed    bool
	resumesIn time.Duration
}

// NewGate returns a gate with a number of permits and an estimate of how long each is held.
func NewGate(limit int, hold time.Duration) *Gate {
	o := fairness.Options{Items: maxQueued}
	return &Gate{limit: limit, serviceTime: hold, onTime: fairness.New(o), late: fairness.New(o), startBy: map[string]time.Time{}}
}

// Running and Waiting return the permits in use and the requests that wait for one.
func (g *Gate) Running() int { return g.running }

// Waiting returns the requests that wait.
func (g *Gate) Waiting() int { return g.onTime.Len() + g.late.Len() }

// Limit returns the number of permits.
func (g *Gate) Limit() int { return g.limit }

// Hold returns the mean time that a permit is held.
func (g *Gate) Hold() time.Duration { return g.serviceTime }

// Ask asks for a permit. A queued request is granted by a later Done or SetLimit.
func (g *Gate) Ask(r Request, now time.Time) Decision {
	if g.onTime.Len() == 0 && g.hasFreePermit(r.OnTime > 0) && (r.OnTime > 0 || g.late.Len() == 0) {
		g.running++
		return Decision{Outcome: Granted}
	}
	wait := g.expectedWait(r.OnTime > 0)
	if wait > r.Patience || g.Waiting() >= maxQueued {
		return Decision{Outcome: Refused, Wait: max(wait, minRetryAfter)}
	}
	item := fairness.Item{ID: r.ID, Organisation: r.Organisation, Priority: r.Priority, Cost: r.Cost}
	if r.OnTime <= 0 {
		g.late.Push(item)
		return Decision{Outcome: Queued, Wait: wait}
	}
	g.onTime.Push(item)
	g.startBy[r.ID] = now.Add(r.OnTime)
	return Decision{Outcome: Queued, Wait: wait}
}

// hasFreePermit reports whether a request may start that is on time, or one that is late.
func (g *Gate) hasFreePermit(onTime bool) bool {
	room := float64(g.limit)
	if !onTime {
		room *= latePermitShare
	}
	return !g.closed && float64(g.running) < room
}

// expectedWait returns the expected expectedWait of a request that is added to the queue, among those on time
// or the late ones.
func (g *Gate) expectedWait(onTime bool) time.Duration {
	ahead, room := g.onTime.Len()+1, float64(g.limit)
	if !onTime {
		ahead += g.late.Len()
		room *= latePermitShare
	}
	if g.closed {
		// What opens anew is empty.
		return g.resumesIn + time.Duration(float64(ahead-1)*float64(g.serviceTime)/max(room, 1))
	}
	if g.limit <= 0 {
		return g.serviceTime
	}
	ahead += int(max(0, float64(g.running)-room))
	return time.Duration(float64(ahead) * float64(g.serviceTime) / room)
}

// Abandon removes a waiting request. It reports false when the request was granted.
func (g *Gate) Abandon(id string) bool {
	delete(g.startBy, id)
	return g.onTime.Remove(id) || g.late.Remove(id)
}

// Done returns a permit that was held for a time, and returns the requests granted.
func (g *Gate) Done(held time.Duration, now time.Time) []string {
	g.running--
	g.serviceTime += time.Duration(serviceTimeWeight * float64(held-g.serviceTime))
	return g.grantQueued(now)
}

// SetLimit changes the number of permits, opens a closed gate and returns the requests
// granted.
func (g *Gate) SetLimit(limit int, now time.Time) []string {
	g.limit = limit
	g.closed = false
	return g.grantQueued(now)
}

// Close stops all grants while the service stands still. Opens is the expected time until
// SetLimit opens the gate again: requests with the patience for it wait, others are refused.
func (g *Gate) Close(opens time.Duration) {
	g.closed = true
	g.resumesIn = opens
}

// Opens returns the expected time until a closed gate opens.
func (g *Gate) Opens() time.Duration { return g.resumesIn }

// Closed reports whether the gate is closed.
func (g *Gate) Closed() bool { return g.closed }

func (g *Gate) grantQueued(now time.Time) []string {
	var out []string
	for g.hasFreePermit(true) {
		item, ok := g.popNext(now)
		if !ok {
			break
		}
		g.running++
		out = append(out, item.ID)
	}
	return out
}

// popNext takes the request whose turn it is. One that has become late gives way to those that
// can be on time: it would make them late too, and gains little from being served sooner.
func (g *Gate) popNext(now time.Time) (fairness.Item, bool) {
	for {
		item, ok := g.onTime.Pop()
		if !ok {
			if !g.hasFreePermit(false) {
				return fairness.Item{}, false
			}
			return g.late.Pop()
		}
		due := g.startBy[item.ID]
		delete(g.startBy, item.ID)
		if !now.After(due) {
			return item, true
		}
		g.late.Push(item)
	}
}
