package standstill

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
)

// srv_crash, herd_kill: a rank is away for seconds and comes back, then the group forms again.
func TestStallAfterRankLoss(t *testing.T) {
	is := is.New(t)
	tracker := &Tracker{FormTime: 600 * time.Millisecond}
	now := time.Unix(100, 0)
	ranks := func(known int, open bool) []mapswitch.RankState {
		out := make([]mapswitch.RankState, 4)
		for i := range known {
			out[i] = mapswitch.RankState{Known: true, GroupFormed: open}
		}
		return out
	}
	is.Equal(tracker.Update(ranks(4, true), now), State{})
	is.Equal(tracker.Update(ranks(3, true), now), State{}) // an unreachable steward does not mean that its rank is down
	is.Equal(tracker.Update(ranks(3, false), now), State{Stalled: true, ResumesIn: RankReturnTime})
	is.Equal(tracker.Update(ranks(4, false), now), State{Stalled: true, ResumesIn: 600 * time.Millisecond})
	is.Equal(tracker.Update(ranks(4, false), now.Add(400*time.Millisecond)), State{Stalled: true, ResumesIn: 200 * time.Millisecond})
	is.Equal(tracker.Update(ranks(4, false), now.Add(1600*time.Millisecond)), State{Stalled: true, ResumesIn: time.Second})
	is.Equal(tracker.Update(ranks(3, false), now.Add(1700*time.Millisecond)), State{Stalled: true, ResumesIn: RankReturnTime}) // the rank crashed again
	is.Equal(tracker.Update(ranks(4, false), now.Add(2*time.Second)), State{Stalled: true, ResumesIn: 600 * time.Millisecond})
	is.Equal(tracker.Update(ranks(4, true), now.Add(3*time.Second)), State{})
	is.Equal(tracker.Update(nil, now), State{}) // without reports no stall is assumed
}

// power_off_all: a new leader did not reach a third of the ranks with its first calls. It told the entries that ranks were
// missing and that the group would be away for two seconds; they rejected all that waited, 0.1 s before the group ran.
func TestRanksThatANewLeaderHasNotReachedAreNotMissing(t *testing.T) {
	is := is.New(t)
	const formTime = 600 * time.Millisecond
	tracker := &Tracker{FormTime: formTime}
	now := time.Unix(100, 0)
	ranks := make([]mapswitch.RankState, 4)
	ranks[0].Known, ranks[1].Known = true, true
	is.Equal(tracker.Update(ranks, now), State{Stalled: true, ResumesIn: formTime})
	ranks[2].Known = true
	is.Equal(tracker.Update(ranks, now.Add(200*time.Millisecond)), State{Stalled: true, ResumesIn: formTime - 200*time.Millisecond})
	ranks[2].Known = false // it was reached, and is away
	is.Equal(tracker.Update(ranks, now.Add(300*time.Millisecond)), State{Stalled: true, ResumesIn: RankReturnTime})
	ranks[2].Known = true
	is.Equal(tracker.Update(ranks, now.Add(FirstContactTime+time.Millisecond)), State{Stalled: true, ResumesIn: RankReturnTime})
}
