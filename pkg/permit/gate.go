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
	// queueItems bounds the requests that wait at an entry; each holds a body in memory.
	queueItems = 512
	// holdWeight is the weight of the newest sample in the mean time a permit is held.
	holdWeight = 0.05
	// lateShare is the part of the permits up to which late requests are served: answers get
	// slower with all work, and those that can be on time must not be late for the others.
	// On days with outages 0.4 to 0.6 measure alike; at 0.8 the gain is gone.
	lateShare = 0.5
	// minReturn is the shortest time after which a refused caller is asked to come back.
	minReturn = 200 * time.Millisecond
)

// Gate holds the permits. It is not safe for concurrent use.
type Gate struct {
	limit   int
	running int
	// queue holds the requests that can still be served on time, and late the others.
	queue *fairness.Queue
	late  *fairness.Queue
	// due is until when the requests in queue must start to be on time.
	due map[string]time.Time
	// hold is the mean time that a permit is held.
	hold time.Duration
	// closed gates grant nothing; opens is the expected time until that ends.
	closed bool
	opens  time.Duration
}

// NewGate returns a gate with a number of permits and an estimate of how long each is held.
func NewGate(limit int, hold time.Duration) *Gate {
	o := fairness.Options{Items: queueItems}
	return &Gate{limit: limit, hold: hold, queue: fairness.New(o), late: fairness.New(o), due: map[string]time.Time{}}
}

// Running and Waiting return the permits in use and the requests that wait for one.
func (g *Gate) Running() int { return g.running }

// Waiting returns the requests that wait.
func (g *Gate) Waiting() int { return g.queue.Len() + g.late.Len() }

// Limit returns the number of permits.
func (g *Gate) Limit() int { return g.limit }

// Hold returns the mean time that a permit is held.
func (g *Gate) Hold() time.Duration { return g.hold }

// Ask asks for a permit. A queued request is granted by a later Done or SetLimit.
func (g *Gate) Ask(r Request, now time.Time) Decision {
	if g.queue.Len() == 0 && g.hasRoom(r.OnTime > 0) && (r.OnTime > 0 || g.late.Len() == 0) {
		g.running++
		return Decision{Outcome: Granted}
	}
	wait := g.wait(r.OnTime > 0)
	if wait > r.Patience || g.Waiting() >= queueItems {
		return Decision{Outcome: Refused, Wait: max(wait, minReturn)}
	}
	item := fairness.Item{ID: r.ID, Organisation: r.Organisation, Priority: r.Priority, Cost: r.Cost}
	if r.OnTime <= 0 {
		g.late.Push(item)
		return Decision{Outcome: Queued, Wait: wait}
	}
	g.queue.Push(item)
	g.due[r.ID] = now.Add(r.OnTime)
	return Decision{Outcome: Queued, Wait: wait}
}

// hasRoom reports whether a request may start that is on time, or one that is late.
func (g *Gate) hasRoom(onTime bool) bool {
	room := float64(g.limit)
	if !onTime {
		room *= lateShare
	}
	return !g.closed && float64(g.running) < room
}

// wait returns the expected wait of a request that is added to the queue, among those on time
// or the late ones.
func (g *Gate) wait(onTime bool) time.Duration {
	ahead, room := g.queue.Len()+1, float64(g.limit)
	if !onTime {
		ahead += g.late.Len()
		room *= lateShare
	}
	if g.closed {
		// What opens anew is empty.
		return g.opens + time.Duration(float64(ahead-1)*float64(g.hold)/max(room, 1))
	}
	if g.limit <= 0 {
		return g.hold
	}
	ahead += int(max(0, float64(g.running)-room))
	return time.Duration(float64(ahead) * float64(g.hold) / room)
}

// Abandon removes a waiting request. It reports false when the request was granted.
func (g *Gate) Abandon(id string) bool {
	delete(g.due, id)
	return g.queue.Remove(id) || g.late.Remove(id)
}

// Done returns a permit that was held for a time, and returns the requests granted.
func (g *Gate) Done(held time.Duration, now time.Time) []string {
	g.running--
	g.hold += time.Duration(holdWeight * float64(held-g.hold))
	return g.grant(now)
}

// SetLimit changes the number of permits, opens a closed gate and returns the requests
// granted.
func (g *Gate) SetLimit(limit int, now time.Time) []string {
	g.limit = limit
	g.closed = false
	return g.grant(now)
}

// Close stops all grants while the service stands still. Opens is the expected time until
// SetLimit opens the gate again: requests with the patience for it wait, others are refused.
func (g *Gate) Close(opens time.Duration) {
	g.closed = true
	g.opens = opens
}

// Opens returns the expected time until a closed gate opens.
func (g *Gate) Opens() time.Duration { return g.opens }

// Closed reports whether the gate is closed.
func (g *Gate) Closed() bool { return g.closed }

func (g *Gate) grant(now time.Time) []string {
	var out []string
	for g.hasRoom(true) {
		item, ok := g.next(now)
		if !ok {
			break
		}
		g.running++
		out = append(out, item.ID)
	}
	return out
}

// next takes the request whose turn it is. One that has become late gives way to those that
// can be on time: it would make them late too, and gains little from being served sooner.
func (g *Gate) next(now time.Time) (fairness.Item, bool) {
	for {
		item, ok := g.queue.Pop()
		if !ok {
			if !g.hasRoom(false) {
				return fairness.Item{}, false
			}
			return g.late.Pop()
		}
		due := g.due[item.ID]
		delete(g.due, item.ID)
		if !now.After(due) {
			return item, true
		}
		g.late.Push(item)
	}
}
