package permit

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

func request(id, organisation string, patience time.Duration) Request {
	return Request{ID: id, Organisation: organisation, Cost: 100, Patience: patience}
}

func TestPermitsWaitInTurnAndAreRefusedWhenHopeless(t *testing.T) {
	is := is.New(t)
	g := NewGate(2, time.Second)
	is.Equal(g.Ask(request("a", "o", 0)).Outcome, Granted)
	is.Equal(g.Ask(request("b", "o", 0)).Outcome, Granted)
	d := g.Ask(request("c", "o", 600*time.Millisecond))
	is.Equal(d, Decision{Queued, 500 * time.Millisecond})
	d = g.Ask(request("d", "o", 600*time.Millisecond))
	is.Equal(d, Decision{Refused, time.Second}) // the caller may come back when the queue has drained
	is.Equal(g.Done(time.Second), []string{"c"})
	is.Equal(g.Running(), 2)
	is.True(!g.Abandon("c")) // it was granted
}

func TestLimitsChangeWhileWorkRuns(t *testing.T) {
	is := is.New(t)
	g := NewGate(1, time.Second)
	g.Ask(request("a", "o", 0))
	for i := range 3 {
		is.Equal(g.Ask(request(strconv.Itoa(i), "o", time.Minute)).Outcome, Queued)
	}
	is.Equal(g.SetLimit(3), []string{"0", "1"})
	is.Equal(len(g.SetLimit(0)), 0)
	is.Equal(len(g.Done(time.Second)), 0) // two still run above the limit
	is.Equal(g.Running(), 2)
	is.True(g.Abandon("2"))
	is.Equal(g.Waiting(), 0)
}

// burst: the dominant organisation sends ten times what a small one does, all at once.
func TestBurstOfOneOrganisationDoesNotStarveAnother(t *testing.T) {
	is := is.New(t)
	g := NewGate(1, 10*time.Millisecond)
	g.Ask(request("first", "large", 0))
	for i := range 50 {
		g.Ask(request("large-"+strconv.Itoa(i), "large", time.Minute))
	}
	for i := range 5 {
		g.Ask(request("small-"+strconv.Itoa(i), "small", time.Minute))
	}
	small := 0
	for range 12 {
		for _, id := range g.Done(10 * time.Millisecond) {
			if id[0] == 's' {
				small++
			}
		}
	}
	is.Equal(small, 5)
}

// srv_crash, herd_kill: a group stands still for a while known to its leader.
func TestClosedGateKeepsWhoGainsFromWaiting(t *testing.T) {
	is := is.New(t)
	g := NewGate(4, time.Second)
	g.Close(300 * time.Millisecond)
	is.Equal(g.Ask(request("patient", "o", 500*time.Millisecond)).Outcome, Queued)
	d := g.Ask(request("hasty", "o", 400*time.Millisecond))
	is.Equal(d, Decision{Refused, 550 * time.Millisecond}) // one is ahead of it
	g.Close(2 * time.Second)
	is.Equal(g.Ask(request("late", "o", 500*time.Millisecond)).Outcome, Refused)
	is.Equal(len(g.Done(time.Second)), 0) // an answer that ends frees nothing while it is closed
	g.running = 0
	is.Equal(g.SetLimit(4), []string{"patient"})
	is.Equal(g.Ask(request("new", "o", 0)).Outcome, Granted)
}
