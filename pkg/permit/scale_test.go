package permit

import (
	"container/heap"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/coltsfootpitch/coltsfootpitch/internal/fixedseed"
)

// queue holds the events of a simulation, the earliest first.
type queue []simEvent

// simEvent is an arrival, or the end of a request if ends is set.
type simEvent struct {
	at     time.Time
	id     string
	late   bool
	ends   bool
	issued time.Time
}

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simulatedGate runs arrivals through a gate in virtual time.
type simulatedGate struct {
	gate        *Gate
	events      queue
	serviceTime time.Duration
	maxWait     time.Duration
	onTimeWait  time.Duration
	waiting     map[string]simEvent
	// started counts requests by class, onTime those that started within onTimeWait.
	started, onTime map[bool]int
}

func (s *simulatedGate) start(e simEvent, now time.Time) {
	s.started[e.late]++
	if now.Sub(e.issued) <= s.onTimeWait {
		s.onTime[e.late]++
	}
	heap.Push(&s.events, simEvent{at: now.Add(s.serviceTime), id: e.id, ends: true})
}

func (s *simulatedGate) run(t *rapid.T) {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.ends {
			for _, id := range s.gate.Release(s.serviceTime, e.at) {
				waiter := s.waiting[id]
				delete(s.waiting, id)
				s.start(waiter, e.at)
			}
			for _, id := range s.gate.TakeOverdue() {
				delete(s.waiting, id)
			}
			continue
		}
		s.abandonExpired(e.at)
		r := Request{ID: e.id, Organisation: "o", Cost: 1, MaxWait: s.maxWait, MaxOnTimeWait: s.onTimeWait}
		if e.late {
			r.MaxOnTimeWait = 0
		}
		switch d := s.gate.Acquire(r, e.at); d.Outcome {
		case Granted:
			s.start(e, e.at)
		case Queued:
			if d.Wait > s.maxWait {
				t.Fatalf("%s is queued for %s, longer than its longest wait of %s", e.id, d.Wait, s.maxWait)
			}
			s.waiting[e.id] = e
		case Rejected:
			if d.Wait < minRetryAfter {
				t.Fatalf("%s may retry after %s", e.id, d.Wait)
			}
		}
	}
}

// abandonExpired removes the requests whose longest wait is over, as their callers do.
func (s *simulatedGate) abandonExpired(now time.Time) {
	for id, e := range s.waiting {
		if now.Sub(e.issued) > s.maxWait {
			s.gate.Abandon(id)
			delete(s.waiting, id)
		}
	}
}

// Thundering herd at any size: twice as many late requests as there are permits arrive at one moment
// beside a steady load of 30% to 70%. From few slow permits to many fast ones, the steady requests
// start on time and late ones are served with what is left.
func TestHerdDoesNotDelayOnTimeRequestsAtAnySize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(8, 300).Draw(t, "limit")
		serviceTime := time.Duration(rapid.IntRange(20, 5000).Draw(t, "service_ms")) * time.Millisecond
		load := rapid.Float64Range(0.3, 0.7).Draw(t, "load")
		s := &simulatedGate{
			gate: NewGate(limit, serviceTime), serviceTime: serviceTime, maxWait: serviceTime, onTimeWait: serviceTime / 4,
			waiting: map[string]simEvent{}, started: map[bool]int{}, onTime: map[bool]int{},
		}
		const serviceTimes = 40
		interval := time.Duration(float64(serviceTime) / (load * float64(limit)))
		arrivals := int(serviceTimes * load * float64(limit))
		for i := range arrivals {
			at := testTime.Add(time.Duration(i) * interval)
			heap.Push(&s.events, simEvent{at: at, issued: at, id: "steady-" + strconv.Itoa(i)})
		}
		herdAt := testTime.Add(serviceTimes / 2 * serviceTime)
		for i := range 2 * limit {
			heap.Push(&s.events, simEvent{at: herdAt, issued: herdAt, late: true, id: "late-" + strconv.Itoa(i)})
		}
		s.run(t)
		if s.onTime[false] < arrivals*95/100 {
			t.Fatalf("%d of %d steady requests started on time", s.onTime[false], arrivals)
		}
		if free := (latePermitShare - load) * float64(limit); float64(s.started[true]) < free {
			t.Fatalf("%d late requests were served, %.0f permits were free for them", s.started[true], free)
		}
	})
}
