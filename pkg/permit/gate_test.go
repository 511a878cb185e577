package permit

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testTime is the present time in tests in which no time passes.
var testTime = time.Unix(100, 0)

func request(id, organisation string, maxWait time.Duration) Request {
	return Request{ID: id, Organisation: organisation, Cost: 100, MaxWait: maxWait, MaxOnTimeWait: time.Minute}
}

func TestRequestsAreQueuedOrRefusedByTheirMaxWait(t *testing.T) {
	is := is.New(t)
	g := NewGate(2, time.Second)
	is.Equal(g.Acquire(request("a", "o", 0), testTime).Outcome, Granted)
	is.Equal(g.Acquire(request("b", "o", 0), testTime).Outcome, Granted)
	d := g.Acquire(request("c", "o", 600*time.Millisecond), testTime)
	is.Equal(d, Decision{Queued, 500 * time.Millisecond})
	d = g.Acquire(request("d", "o", 600*time.Millisecond), testTime)
	is.Equal(d, Decision{Rejected, time.Second}) // the caller may retry when the queue has drained
	is.Equal(g.Release(time.Second, testTime), []string{"c"})
	is.Equal(g.Running(), 2)
	is.True(!g.Abandon("c")) // it was granted
}

func TestLimitChangesWhileRequestsRun(t *testing.T) {
	is := is.New(t)
	g := NewGate(1, time.Second)
	g.Acquire(request("a", "o", 0), testTime)
	for i := range 3 {
		is.Equal(g.Acquire(request(strconv.Itoa(i), "o", time.Minute), testTime).Outcome, Queued)
	}
	is.Equal(g.SetLimit(3, testTime), []string{"0", "1"})
	is.Equal(len(g.SetLimit(0, testTime)), 0)
	is.Equal(len(g.Release(time.Second, testTime)), 0) // two are still running above the limit
	is.Equal(g.Running(), 2)
	is.True(g.Abandon("2"))
	is.Equal(g.Waiting(), 0)
}

// burst: one organisation sends ten times as many requests as another, all at once. The queue must
// serve them in turn, not in the order of arrival.
func TestBurstOfOneOrganisationDoesNotStarveAnother(t *testing.T) {
	is := is.New(t)
	g := NewGate(1, 10*time.Millisecond)
	g.Acquire(request("first", "large", 0), testTime)
	for i := range 50 {
		g.Acquire(request("large-"+strconv.Itoa(i), "large", time.Minute), testTime)
	}
	for i := range 5 {
		g.Acquire(request("small-"+strconv.Itoa(i), "small", time.Minute), testTime)
	}
	small := 0
	for range 12 {
		for _, id := range g.Release(10*time.Millisecond, testTime) {
			if id[0] == 's' {
				small++
			}
		}
	}
	is.Equal(small, 5)
}

// srv_crash, herd_kill: while a group is stalled, requests that can wait until the expected resume
// time must be queued and the others rejected.
func TestClosedGateQueuesRequestsThatCanWait(t *testing.T) {
	is := is.New(t)
	g := NewGate(4, time.Second)
	g.Close(300 * time.Millisecond)
	var queued []string
	for i := range 4 { // all permits are free when the gate opens
		queued = append(queued, "patient-"+strconv.Itoa(i))
		is.Equal(g.Acquire(request(queued[i], "o", 300*time.Millisecond), testTime), Decision{Queued, 300 * time.Millisecond})
	}
	d := g.Acquire(request("impatient", "o", 400*time.Millisecond), testTime)
	is.Equal(d, Decision{Rejected, 550 * time.Millisecond}) // it waits until one of them ends
	g.Close(2 * time.Second)
	is.Equal(g.Acquire(request("late", "o", 500*time.Millisecond), testTime).Outcome, Rejected)
	is.Equal(len(g.Release(time.Second, testTime)), 0) // a closed gate grants no permit that becomes free
	g.running = 0
	is.Equal(g.SetLimit(5, testTime), queued)
	is.Equal(g.Acquire(request("new", "o", 0), testTime).Outcome, Granted)
}

// power_off_all: a group was known to be forming, and no leader told when it runs. One request at a time must find out; the
// others wait and keep their attempts.
func TestProbeGrantsOneRequestOfAClosedGate(t *testing.T) {
	is := is.New(t)
	g := NewGate(4, time.Second)
	g.Close(300 * time.Millisecond)
	for _, id := range []string{"a", "b"} {
		is.Equal(g.Acquire(request(id, "o", time.Second), testTime).Outcome, Queued)
	}
	is.Equal(g.Probe(testTime), []string{"a"})
	is.Equal(g.Acquire(request("c", "o", time.Second), testTime).Outcome, Queued)
	is.Equal(len(g.Release(time.Second, testTime)), 0)
	is.Equal(g.Probe(testTime), []string{"b"})
	is.Equal(g.Probe(testTime), []string{"c"})
	is.Equal(len(g.Probe(testTime)), 0)
	is.Equal(g.Acquire(request("d", "o", time.Second), testTime).Outcome, Granted) // nothing was queued
	is.Equal(g.Acquire(request("e", "o", time.Second), testTime).Outcome, Queued)
}

// power_off_all: when a group ran again, requests that had become late were rejected for the time that those ahead of them
// would take, although there were free permits for all of them.
func TestLateRequestsStartWhenThereAreFreePermits(t *testing.T) {
	is := is.New(t)
	g := NewGate(20, time.Second)
	g.Close(600 * time.Millisecond)
	var queued []string
	for i := range 10 {
		r := request("late-"+strconv.Itoa(i), "o", 1300*time.Millisecond)
		r.MaxOnTimeWait = 300 * time.Millisecond
		queued = append(queued, r.ID)
		is.Equal(g.Acquire(r, testTime).Outcome, Queued)
	}
	is.Equal(g.SetLimit(20, testTime.Add(1200*time.Millisecond)), queued)
	is.Equal(len(g.TakeOverdue()), 0)
}

// burst, expert_shift: for seconds, more requests arrive than the group can run. In the order of
// arrival all would be late; those that can still be on time must be served first.
func TestLateRequestsYieldToOnTimeRequests(t *testing.T) {
	is := is.New(t)
	g := NewGate(1, 100*time.Millisecond)
	g.Acquire(request("first", "o", 0), testTime)
	acquire := func(id string, now time.Time) {
		r := request(id, "o", time.Minute)
		r.MaxOnTimeWait = 300 * time.Millisecond
		is.Equal(g.Acquire(r, now).Outcome, Queued)
	}
	acquire("old-1", testTime)
	acquire("old-2", testTime)
	later := testTime.Add(400 * time.Millisecond)
	acquire("new-1", later)
	acquire("new-2", later)
	is.Equal(g.Waiting(), 4)
	is.Equal(g.Release(time.Second, later), []string{"new-1"})
	is.Equal(g.Release(time.Second, later), []string{"new-2"})
	is.True(g.Abandon("old-1")) // its caller closed the connection
	is.Equal(g.Waiting(), 1)
	is.Equal(g.Release(time.Second, later), []string{"old-2"}) // late requests are served once no other waits
	is.Equal(len(g.Release(time.Second, later)), 0)
	is.Equal(g.Waiting(), 0)
}

// Late requests of several organisations must be served in turn.
func TestLateRequestsAreSharedFairly(t *testing.T) {
	is := is.New(t)
	g := NewGate(1, time.Millisecond)
	g.Acquire(request("first", "large", 0), testTime)
	for i := range 40 {
		r := request("large-"+strconv.Itoa(i), "large", time.Minute)
		r.MaxOnTimeWait = 0
		g.Acquire(r, testTime)
	}
	r := request("small", "small", time.Minute)
	r.MaxOnTimeWait = 0
	g.Acquire(r, testTime)
	served := false
	for range 4 {
		served = served || slices.Contains(g.Release(time.Millisecond, testTime.Add(time.Second)), "small")
	}
	is.True(served)
}

// herd_kill, srv_crash: callers that were rejected in an outage retry all at once, and their
// requests are already late. They must not take all permits, or later requests would be late too.
func TestLateRequestsLeavePermitsForOthers(t *testing.T) {
	is := is.New(t)
	g := NewGate(10, 100*time.Millisecond)
	late := func(id string) Decision {
		r := request(id, "o", time.Minute)
		r.MaxOnTimeWait = 0
		return g.Acquire(r, testTime)
	}
	for i := range 5 {
		is.Equal(late("back-"+strconv.Itoa(i)).Outcome, Granted)
	}
	is.Equal(late("back-5").Outcome, Queued)
	for i := range 5 {
		is.Equal(g.Acquire(request("new-"+strconv.Itoa(i), "o", time.Minute), testTime).Outcome, Granted)
	}
	is.Equal(g.Acquire(request("new-5", "o", time.Minute), testTime).Outcome, Queued)
	is.Equal(g.Release(time.Second, testTime), []string{"new-5"}) // before the late request, which has waited longer
	for range 5 {
		is.Equal(len(g.Release(time.Second, testTime)), 0)
	}
	is.Equal(g.Release(time.Second, testTime), []string{"back-5"})
}

// Overload: a request waits for its turn and becomes late, and late requests wait longer than is of use
// to its caller. It must be rejected when that is known and not at the end of its longest wait.
func TestRequestThatBecomesHopelesslyLateIsOverdue(t *testing.T) {
	is := is.New(t)
	g := NewGate(1, time.Second)
	g.Acquire(request("first", "o", 0), testTime)
	for i, maxWait := range []time.Duration{30 * time.Second, 2500 * time.Millisecond, 30 * time.Second} {
		r := request(strconv.Itoa(i), "o", maxWait)
		r.MaxOnTimeWait = 500 * time.Millisecond
		if i == 1 {
			r.MaxWait = 2500 * time.Millisecond
		}
		is.Equal(g.Acquire(r, testTime).Outcome, Queued)
	}
	is.Equal(len(g.TakeOverdue()), 0)
	g.Release(time.Second, testTime.Add(time.Second))
	is.Equal(g.TakeOverdue(), []string{"1"}) // two requests are before it
	is.Equal(len(g.TakeOverdue()), 0)
	is.True(!g.Abandon("1"))
}

// Thundering herd: a group does not run, and all callers that arrive meanwhile are rejected. Told the
// same time, they would return together and most would be rejected once more. They are told to return
// in the order of their rejections, no faster than permits become free for them.
func TestRejectedCallersReturnAtThePaceOfService(t *testing.T) {
	is := is.New(t)
	g := NewGate(10, time.Second)
	now := testTime
	g.Close(2 * time.Second)
	var returns []time.Duration
	for range 8 {
		r := request("herd", "o", time.Second)
		r.MaxOnTimeWait, r.TimeLeft = 0, 6*time.Second
		d := g.Acquire(r, now)
		is.Equal(d.Outcome, Rejected)
		returns = append(returns, d.Wait)
	}
	is.True(returns[0] >= 2*time.Second)
	for i := range returns[1:] {
		gap := returns[i+1] - returns[i]
		is.True(gap >= 180*time.Millisecond || returns[i+1] == 3*time.Second) // five permits become free a second
		is.True(returns[i+1] <= 3*time.Second)                                // half of the time left
	}
}
