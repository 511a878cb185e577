package sharing

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestDivideGivesOutTheBoundAndNoMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.IntRange(0, 300).Draw(t, "bound")
		n := rapid.IntRange(1, 12).Draw(t, "entries")
		demands := make([]Demand, n)
		for i := range demands {
			demands[i] = Demand{rapid.IntRange(0, 40).Draw(t, "running"), rapid.IntRange(0, 40).Draw(t, "waiting")}
		}
		parts := Divide(bound, demands)
		sum := 0
		for i, p := range parts {
			sum += p
			for j, q := range parts {
				// Nobody who asks for more goes without while another gets more than it.
				if p < demands[i].Running+demands[i].Waiting && q > p+1 && q > demands[j].Running+demands[j].Waiting {
					t.Fatalf("entry %d asks for %v and gets %d, entry %d gets %d", i, demands[i], p, j, q)
				}
			}
		}
		if sum != bound {
			t.Fatalf("%d of %d given out", sum, bound)
		}
	})
}

// group is a group whose pass takes a time for each running request.
func (b *Bound) settle(empty, each time.Duration, offered int, pace float64) (running int, pass time.Duration) {
	for range 60 {
		pass = empty + time.Duration(running)*each
		running = min(offered, b.Update(pass, running, pace))
	}
	return running, pass
}

func TestBoundKeepsPassesWithinTheTarget(t *testing.T) {
	is := is.New(t)
	b := &Bound{Gap: 120 * time.Millisecond, Empty: 18 * time.Millisecond, Least: 16, Most: 192}
	_, pass := b.settle(18*time.Millisecond, 400*time.Microsecond, 1000, 1)
	is.True(pass <= 90*time.Millisecond) // balanced: the bound is above what is needed
	running, pass := b.settle(18*time.Millisecond, time.Millisecond, 1000, 1)
	is.True(pass <= 90*time.Millisecond) // one expert in demand slows every request
	is.True(running >= 60)               // and the group is not left idle
	running, _ = b.settle(18*time.Millisecond, 400*time.Microsecond, 1000, 1)
	is.True(running >= 150) // the bound comes back once the map fits
}

// herd_kill: a group stood still, so that its passes seemed endless, and forms anew.
func TestBoundOfAGroupThatFormedAnewStartsAfresh(t *testing.T) {
	is := is.New(t)
	b := &Bound{Gap: 120 * time.Millisecond, Empty: 18 * time.Millisecond, Least: 16, Most: 192}
	for range 10 {
		b.Update(400*time.Millisecond, 20, 1)
	}
	is.Equal(b.Update(0, 0, 1), 16) // no work says nothing
	b.Restart()
	is.Equal(b.Update(0, 0, 1), 96)
}

// srv_slow: the slowest rank takes three times as long, with work or without. Callers still
// bear passes of 120 ms, and the group must not be left idle to keep them shorter.
func TestBoundOfAGroupWithASlowRank(t *testing.T) {
	is := is.New(t)
	b := &Bound{Gap: 120 * time.Millisecond, Empty: 18 * time.Millisecond, Least: 16, Most: 192}
	running, pass := b.settle(3*18*time.Millisecond, 500*time.Microsecond, 1000, 3)
	is.True(pass <= 120*time.Millisecond)
	is.True(running >= 80)
	running, _ = b.settle(7*18*time.Millisecond, 500*time.Microsecond, 1000, 7)
	is.True(running >= 60) // nobody is on time, but all are served
}
