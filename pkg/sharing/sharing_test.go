package sharing

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/coltsfootpitch/coltsfootpitch/internal/fixedseed"
)

func TestDivideSumsToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 300).Draw(t, "bound")
		n := rapid.IntRange(1, 12).Draw(t, "entries")
		demands := make([]Demand, n)
		for i := range demands {
			demands[i] = Demand{rapid.IntRange(0, 40).Draw(t, "running"), rapid.IntRange(0, 40).Draw(t, "waiting")}
		}
		shares := Divide(limit, demands)
		sum := 0
		for i, p := range shares {
			sum += p
			for j, q := range shares {
				// No entry stays below its demand while another gets a larger share than it demands.
				if p < demands[i].Running+demands[i].Waiting && q > p+1 && q > demands[j].Running+demands[j].Waiting {
					t.Fatalf("entry %d demands %v and gets %d, entry %d gets %d", i, demands[i], p, j, q)
				}
			}
		}
		if sum != limit {
			t.Fatalf("shares add up to %d, want %d", sum, limit)
		}
	})
}

// settle updates the limit until it is stable, for a group whose pass takes a fixed time plus a
// time for each running request.
func (l *Limit) settle(empty, perRequest time.Duration, offered int, slowdown float64) (running int, pass time.Duration) {
	for range 60 {
		pass = empty + time.Duration(running)*perRequest
		running = min(offered, l.Update(pass, running, slowdown))
	}
	return running, pass
}

func TestLimitKeepsPassesWithinTheTarget(t *testing.T) {
	is := is.New(t)
	l := &Limit{MaxPassTime: 120 * time.Millisecond, EmptyPassTime: 18 * time.Millisecond, Min: 16, Max: 192}
	_, pass := l.settle(18*time.Millisecond, 400*time.Microsecond, 1000, 1)
	is.True(pass <= 90*time.Millisecond) // balanced: the limit is above what is needed
	running, pass := l.settle(18*time.Millisecond, time.Millisecond, 1000, 1)
	is.True(pass <= 90*time.Millisecond) // one popular expert slows every request
	is.True(running >= 60)               // and the group is not underused
	running, _ = l.settle(18*time.Millisecond, 400*time.Microsecond, 1000, 1)
	is.True(running >= 150) // the limit recovers once the map fits the demand
}

// herd_kill: a group was stalled, so that its measured passes became very long, and forms again.
func TestLimitResetsWhenGroupFormsAgain(t *testing.T) {
	is := is.New(t)
	l := &Limit{MaxPassTime: 120 * time.Millisecond, EmptyPassTime: 18 * time.Millisecond, Min: 16, Max: 192}
	for range 10 {
		l.Update(400*time.Millisecond, 20, 1)
	}
	is.Equal(l.Update(0, 0, 1), 16) // without running requests the limit is unchanged
	l.Reset()
	is.Equal(l.Update(0, 0, 1), 96)
}

// Thundering herd after a restart: a group forms with a map under which one rank has three times the
// mean load, so the limit falls. The next map is even. The callers that wait must be let in at once
// and not be rejected while the limit grows step by step.
func TestLimitFollowsANewMapAtOnce(t *testing.T) {
	is := is.New(t)
	const empty, perRequest = 29 * time.Millisecond, 340 * time.Microsecond
	const skewed = 2.4 // the factor by which the first map lengthens the work of a request
	l := &Limit{MaxPassTime: 120 * time.Millisecond, EmptyPassTime: empty, Min: 24, Max: 144}
	l.Reset()
	running, _ := l.settle(empty, time.Duration(skewed*float64(perRequest)), 1000, 1)
	is.True(running <= 80)
	l.Rescale(skewed)
	after := l.Update(0, running, 1)
	_, pass := l.settle(empty, perRequest, after, 1)
	is.True(after >= 140)
	is.True(pass <= 90*time.Millisecond) // still within the target
	l.Rescale(1 / skewed)
	is.True(l.Update(0, running, 1) <= 80)
}

// srv_slow: the slowest rank takes three times as long, with or without requests. Callers still
// accept passes of 120 ms, and the group must not be underused to keep passes shorter.
func TestLimitWithASlowRank(t *testing.T) {
	is := is.New(t)
	l := &Limit{MaxPassTime: 120 * time.Millisecond, EmptyPassTime: 18 * time.Millisecond, Min: 16, Max: 192}
	running, pass := l.settle(3*18*time.Millisecond, 500*time.Microsecond, 1000, 3)
	is.True(pass <= 120*time.Millisecond)
	is.True(running >= 80)
	running, _ = l.settle(7*18*time.Millisecond, 500*time.Microsecond, 1000, 7)
	is.True(running >= 60) // all responses are late, but all requests are served
}

// SHORT, evacuate: a service has several groups, and callers choose entries at random, so that some have three times the
// requests of others. Each group divided its limit by the demand for all groups: entries with few requests got theirs from
// each group, and the busy ones had to reject although all groups together had room.
func TestBusyEntriesGetWhatAllGroupsTogetherAllow(t *testing.T) {
	is := is.New(t)
	for _, groups := range []int{1, 2, 3, 5} {
		var running []int
		total := 0
		for i := range 40 {
			running = append(running, 4+i%3*10)
			total += running[i]
		}
		limit := total*11/10/groups + 40 // a tenth more than all demand, and what rounding takes
		got := make([]int, len(running))
		for range groups {
			var demands []Demand
			for _, n := range running {
				demands = append(demands, DemandForOne(n/2, n-n/2, groups))
			}
			for i, share := range Divide(limit, demands) {
				got[i] += share
			}
		}
		for i, n := range running {
			is.True(got[i] >= n)
		}
	}
	is.Equal(DemandForOne(5, 2, 0), Demand{Running: 5, Waiting: 2})
	is.Equal(DemandForOne(5, 2, 2), Demand{Running: 3, Waiting: 1})
	is.Equal(DemandForOne(0, 1, 3), Demand{Running: 0, Waiting: 1})
}
