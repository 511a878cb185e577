// Package permit decides which requests may start on a service, which wait and which are rejected.
//
// A Gate grants the permits of one entry for one service. Requests wait in a queue of package
// fairness, which shares the free permits by priority and organisation. A request that would wait
// longer than is of use to its caller is rejected at once, or as soon as that is known. Rejected
// callers are told to return one by one, at the pace of service. Requests that can no longer be on
// time are served after the others and get only a part of the permits.
//
// The package has no I/O, no clock and no goroutines.
package permit

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/fairness"
)

// Request is a request for a permit.
type Request struct {
	ID           string
	Organisation string
	// Priority orders requests; higher ones are served first.
	Priority int
	// Cost is the expected work in tokens.
	Cost int64
	// MaxWait is the longest wait that is of use to the caller.
	MaxWait time.Duration
	// MaxOnTimeWait is the longest wait after which the response still meets the latency
	// objective; it is 0 for a late request, which can no longer meet it.
	MaxOnTimeWait time.Duration
	// TimeLeft is the time until the caller's deadline; 0 is unknown.
	TimeLeft time.Duration
}

// Outcome is the result of a request for a permit.
type Outcome int

// Outcomes.
const (
	Granted Outcome = iota
	Queued
	Rejected
)

// Decision is an outcome with the wait that goes with it.
type Decision struct {
	Outcome Outcome
	// Wait is the expected time until a permit is free. For a rejection it is the time after which
	// the caller may retry.
	Wait time.Duration
}

const (
	// maxQueued limits the requests that wait at an entry, as each has its body in memory.
	maxQueued = 512
	// serviceTimeWeight is the weight of the newest sample in the moving average of the service
	// time.
	serviceTimeWeight = 0.05
	// latePermitShare is the part of the permits up to which late requests are served. Each
	// running request slows down the others, so late requests could make those late that are
	// still on time.
	latePermitShare = 0.5
	// minRetryAfter is the shortest time after which a rejected caller may retry.
	minRetryAfter = 200 * time.Millisecond
)

// Gate grants the permits of one entry for one service. It is not safe for concurrent use.
type Gate struct {
	// limit is the number of permits, and running the number in use. running may exceed limit
	// after limit was lowered.
	limit   int
	running int
	// onTime queues the requests that can still be served on time, and late the others.
	onTime *fairness.Queue
	late   *fairness.Queue
	// queuedOnTime has the deadlines of the requests in onTime, by request ID, and overdue those that
	// can no longer start in time, until TakeOverdue.
	queuedOnTime map[string]startDeadlines
	overdue      []string
	// serviceTime is the moving average of the time for which a permit is in use.
	serviceTime time.Duration
	// closed is set while nothing is granted; resumesIn is the expected time until that ends.
	closed    bool
	resumesIn time.Duration
	// probes is the number of requests that a closed gate still grants.
	probes int
	// nextReturn is the earliest time for which the next rejected caller is told to return.
	nextReturn time.Time
}

// startDeadlines are the times until which a request must start to be on time and to be of use.
type startDeadlines struct {
	onTime time.Time
	useful time.Time
}

// NewGate returns a gate with a number of permits and an initial estimate of the service time.
func NewGate(limit int, serviceTime time.Duration) *Gate {
	o := fairness.Options{MaxItems: maxQueued}
	return &Gate{limit: limit, serviceTime: serviceTime, onTime: fairness.New(o), late: fairness.New(o), queuedOnTime: map[string]startDeadlines{}}
}

// Running returns the number of permits in use.
func (g *Gate) Running() int { return g.running }

// Waiting returns the number of queued requests.
func (g *Gate) Waiting() int { return g.onTime.Len() + g.late.Len() }

// Limit returns the number of permits.
func (g *Gate) Limit() int { return g.limit }

// MeanServiceTime returns the moving average of the time for which a permit is in use.
func (g *Gate) MeanServiceTime() time.Duration { return g.serviceTime }

// Acquire grants, queues or rejects a permit. A queued request is granted by a later Release or
// SetLimit, and removed by Abandon.
func (g *Gate) Acquire(r Request, now time.Time) Decision {
	if g.onTime.Len() == 0 && g.hasFreePermit(r.MaxOnTimeWait > 0) && (r.MaxOnTimeWait > 0 || g.late.Len() == 0) {
		g.takePermit()
		return Decision{Outcome: Granted}
	}
	wait := g.expectedWait(r.MaxOnTimeWait > 0)
	if wait > r.MaxWait || g.Waiting() >= maxQueued {
		return Decision{Outcome: Rejected, Wait: g.scheduleReturn(max(wait, minRetryAfter), r.TimeLeft, now)}
	}
	item := fairness.Item{ID: r.ID, Organisation: r.Organisation, Priority: r.Priority, Cost: r.Cost}
	if r.MaxOnTimeWait <= 0 {
		g.late.Push(item)
		return Decision{Outcome: Queued, Wait: wait}
	}
	g.onTime.Push(item)
	g.queuedOnTime[r.ID] = startDeadlines{onTime: now.Add(r.MaxOnTimeWait), useful: now.Add(r.MaxWait)}
	return Decision{Outcome: Queued, Wait: wait}
}

// scheduleReturn returns the time after which a rejected caller may retry, at least wait. Callers are
// told to return one by one, at the pace at which late requests are served, in the order of their
// rejections. A caller is not told to wait for more than half of the time that it has left, unless it
// cannot be served earlier.
func (g *Gate) scheduleReturn(wait, timeLeft time.Duration, now time.Time) time.Duration {
	at := now.Add(wait)
	if at.Before(g.nextReturn) {
		at = g.nextReturn
	}
	if latest := now.Add(timeLeft / 2); timeLeft > 0 && at.After(latest) {
		return max(wait, latest.Sub(now))
	}
	g.nextReturn = at.Add(time.Duration(float64(g.serviceTime) / max(1, latePermitShare*float64(g.limit))))
	return at.Sub(now)
}

// hasFreePermit reports whether an on-time request or, if onTime is false, a late one may start.
func (g *Gate) hasFreePermit(onTime bool) bool {
	if g.closed {
		return g.probes > 0
	}
	permits := float64(g.limit)
	if !onTime {
		permits *= latePermitShare
	}
	return float64(g.running) < permits
}

func (g *Gate) takePermit() {
	g.running++
	g.probes = max(0, g.probes-1)
}

// expectedWait returns the expected wait of a request that is added to the queue of on-time or of
// late requests.
func (g *Gate) expectedWait(onTime bool) time.Duration {
	ahead, permits, running := float64(g.onTime.Len()+1), float64(g.limit), float64(g.running)
	if !onTime {
		ahead += float64(g.late.Len())
		permits *= latePermitShare
	}
	wait := time.Duration(0)
	if g.closed {
		wait, running = g.resumesIn, 0 // all permits are free when the gate opens
	} else if g.limit <= 0 {
		return g.serviceTime
	}
	// A free permit serves one of those ahead at once.
	queued := max(0, ahead+running-permits)
	return wait + time.Duration(queued*float64(g.serviceTime)/max(permits, 1))
}

// Abandon removes a queued request. It reports false when the request is not queued, as after a
// grant.
func (g *Gate) Abandon(id string) bool {
	delete(g.queuedOnTime, id)
	return g.onTime.Remove(id) || g.late.Remove(id)
}

// Release returns a permit that was in use for a time, and returns the IDs of the queued requests
// that are granted now.
func (g *Gate) Release(inUse time.Duration, now time.Time) []string {
	g.running--
	g.serviceTime += time.Duration(serviceTimeWeight * float64(inUse-g.serviceTime))
	return g.grantQueued(now)
}

// SetLimit changes the number of permits, opens a closed gate and returns the IDs of the queued
// requests that are granted now.
func (g *Gate) SetLimit(limit int, now time.Time) []string {
	g.limit = limit
	g.closed, g.resumesIn, g.probes = false, 0, 0
	return g.grantQueued(now)
}

// Close stops all grants while the group of the service is stalled. resumesIn is the expected
// time until SetLimit opens the gate again: requests that can wait that long are queued, others
// are rejected.
func (g *Gate) Close(resumesIn time.Duration) {
	g.closed = true
	g.resumesIn = resumesIn
	g.probes = 0
}

// Probe grants one request of a closed gate, which shows whether the service has resumed, and returns the IDs of the
// queued requests that are granted now. Without a queued request the next one is granted.
func (g *Gate) Probe(now time.Time) []string {
	g.probes = 1
	return g.grantQueued(now)
}

// ResumesIn returns the expected time from Close until a closed gate opens.
func (g *Gate) ResumesIn() time.Duration { return g.resumesIn }

// Closed reports whether the gate is closed.
func (g *Gate) Closed() bool { return g.closed }

// grantQueued grants free permits to queued requests and returns their IDs.
func (g *Gate) grantQueued(now time.Time) []string {
	var out []string
	for g.hasFreePermit(true) {
		item, ok := g.popNext(now)
		if !ok {
			break
		}
		g.takePermit()
		out = append(out, item.ID)
	}
	return out
}

// TakeOverdue returns the IDs of the queued requests that were found to be unable to start in time, and
// forgets them. The caller of Release or SetLimit rejects them.
func (g *Gate) TakeOverdue() []string {
	out := g.overdue
	g.overdue = nil
	return out
}

// popNext removes and returns the queued request to serve next. A request that has become late is
// moved to the late queue: served now, it would make others late and gain little itself. If it would
// wait there for too long, it is overdue.
func (g *Gate) popNext(now time.Time) (fairness.Item, bool) {
	for {
		item, ok := g.onTime.Pop()
		if !ok {
			if !g.hasFreePermit(false) {
				return fairness.Item{}, false
			}
			return g.late.Pop()
		}
		due := g.queuedOnTime[item.ID]
		delete(g.queuedOnTime, item.ID)
		switch {
		case !now.After(due.onTime):
			return item, true
		case now.Add(g.expectedWait(false)).After(due.useful):
			g.overdue = append(g.overdue, item.ID)
		default:
			g.late.Push(item)
		}
	}
}
