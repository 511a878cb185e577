package availability

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/requestlimit"
)

var upstream = requestlimit.Upstream{ID: "i-1", StartedAtMillis: 7}

// A later answer that named a shorter time, or was about another incarnation, ended a pause early.
func TestPauseEndsAtTheLatestTimeNamed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	p := NewPauses()
	is.True(p.Record(upstream, 4*time.Second, 1, 0, now))
	is.True(!p.Record(upstream, time.Second, 1, 0, now.Add(time.Second)))
	is.Equal(p.Wait(upstream, now.Add(time.Second)), 3*time.Second)
	is.True(!p.Record(upstream, 5*time.Second, 1, 0, now.Add(time.Second)))
	is.Equal(p.Wait(upstream, now.Add(time.Second)), 5*time.Second)
	p.Prune(now.Add(5 * time.Second))
	is.Equal(p.Wait(upstream, now.Add(5*time.Second)), time.Second)
	is.Equal(p.Wait(upstream, now.Add(6*time.Second)), time.Duration(0))
	is.True(p.Record(upstream, time.Second, 1, 0, now.Add(7*time.Second)))
	is.Equal(p.Wait(requestlimit.Upstream{ID: "i-1", StartedAtMillis: 8}, now), time.Duration(0))
}

// All gateways returned to an upstream at the moment at which its pause ended, or stayed away for much longer.
func TestGatewaysReturnWithinAPartOfThePause(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	for _, c := range []struct {
		gateways int
		random   float64
		want     time.Duration
	}{{1, 0, 2 * time.Second}, {1, 0.5, 2010 * time.Millisecond}, {10, 0.5, 2100 * time.Millisecond}, {1000, 1, 2500 * time.Millisecond}} {
		p := NewPauses()
		p.Record(upstream, 2*time.Second, c.gateways, c.random, now)
		is.Equal(p.Wait(upstream, now), c.want)
	}
}

// An upstream got all requests at once after a pause.
func TestUpstreamReturnsWithTheRequestsThatItServes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	p := NewPauses()
	p.Record(upstream, time.Second, 1, 0, now)
	now = now.Add(time.Second)
	// fill starts requests until no more are allowed, and returns their number.
	fill := func() (n int) {
		for p.ReturnWait(upstream, now) == 0 && n < 100 {
			is.True(p.Start(upstream, now))
			n++
		}
		return n
	}
	is.Equal(fill(), 1)
	p.End(upstream, false, now)
	is.Equal(fill(), 1) // one that it does not serve allows no more
	p.End(upstream, true, now)
	is.Equal(fill(), 2)
	p.End(upstream, true, now)
	p.End(upstream, true, now)
	is.Equal(fill(), 4)
	p.Record(upstream, time.Second, 1, 0, now) // it asks once more
	is.Equal(p.Wait(upstream, now), time.Second)
	for range 4 {
		p.End(upstream, true, now) // answers to requests of the former return
	}
	now = now.Add(time.Second)
	is.Equal(fill(), 1)
	p.End(upstream, true, now)
	for p.ReturnWait(upstream, now) == 0 && p.Start(upstream, now) {
		p.End(upstream, true, now)
	}
	is.True(!p.Start(upstream, now)) // it has returned
	p.Prune(now)
	is.Equal(len(p.pauses), 0)
}

// An upstream that nobody needed after its pause counted as returning for ever.
func TestReturnEndsUnused(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	p := NewPauses()
	p.Record(upstream, time.Second, 1, 0, now)
	now = now.Add(time.Second)
	is.True(p.Start(upstream, now))
	is.True(p.ReturnWait(upstream, now) > 0)
	now = now.Add(unusedReturnTime + time.Second)
	is.Equal(p.ReturnWait(upstream, now), time.Duration(0))
	p.Prune(now)
	is.Equal(len(p.pauses), 1) // a trial is in progress
	p.End(upstream, true, now)
	p.Prune(now)
	is.Equal(len(p.pauses), 0)
}
