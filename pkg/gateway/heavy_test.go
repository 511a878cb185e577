package gateway

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/permit"
)

func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 500 {
		if holds() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("not seen in time: " + what)
}

// give_up: callers that leave while they wait free their places for those behind them.
func TestCallersWhoGiveUpLeaveTheQueue(t *testing.T) {
	is := is.New(t)
	p := newPermits()
	p.setLimit("s", 1)
	ask := func(ctx context.Context, id string) (permit.Decision, error) {
		return p.acquire(ctx, "s", permit.Request{ID: id, Organisation: "o", Cost: 1, Patience: 30 * time.Second})
	}
	d, err := ask(t.Context(), "first")
	is.NoErr(err)
	is.Equal(d.Outcome, permit.Granted)
	leaving, leave := context.WithCancel(t.Context())
	left := make(chan error)
	for i := range 10 {
		go func() {
			_, err := ask(leaving, strconv.Itoa(i))
			left <- err
		}()
	}
	waitFor(t, "ten wait", func() bool { _, n := p.state("s"); return n == 10 })
	granted := make(chan permit.Decision)
	go func() {
		d, _ := ask(t.Context(), "stays")
		granted <- d
	}()
	waitFor(t, "eleven wait", func() bool { _, n := p.state("s"); return n == 11 })
	leave()
	for range 10 {
		is.True(<-left != nil)
	}
	p.release("s", time.Second)
	is.Equal((<-granted).Outcome, permit.Granted)
}

// srv_slow: a slow rank makes each pass of its group long, and a stream that could not end
// in time is known to be hopeless.
func TestAnswerTimeFollowsThePaceOfTheGroup(t *testing.T) {
	is := is.New(t)
	b := newBed(t, 0)
	g := b.gateway
	is.Equal(g.answerTime("s", 100), time.Duration(0)) // nothing was told
	g.mu.Lock()
	g.limits["s"] = groupLimit{at: time.Now(), pass: 60 * time.Millisecond, tokens: 4}
	g.mu.Unlock()
	is.True(g.answerTime("s", 100) < 2*time.Second)
	g.mu.Lock()
	g.limits["s"] = groupLimit{at: time.Now(), pass: 600 * time.Millisecond, tokens: 4}
	g.mu.Unlock()
	is.True(g.answerTime("s", 100) > 8*time.Second)
}
