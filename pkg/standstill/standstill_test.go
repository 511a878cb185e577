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
	c := &Clock{Form: 600 * time.Millisecond}
	now := time.Unix(100, 0)
	ranks := func(known int, open bool) []mapswitch.Rank {
		out := make([]mapswitch.Rank, 4)
		for i := range known {
			out[i] = mapswitch.Rank{Known: true, Open: open}
		}
		return out
	}
	is.Equal(c.See(ranks(4, true), now), State{})
	is.Equal(c.See(ranks(3, true), now), State{}) // an unreachable steward does not mean that its rank is down
	is.Equal(c.See(ranks(3, false), now), State{Still: true, Opens: Return})
	is.Equal(c.See(ranks(4, false), now), State{Still: true, Opens: 600 * time.Millisecond})
	is.Equal(c.See(ranks(4, false), now.Add(400*time.Millisecond)), State{Still: true, Opens: 200 * time.Millisecond})
	is.Equal(c.See(ranks(4, false), now.Add(1600*time.Millisecond)), State{Still: true, Opens: time.Second})
	is.Equal(c.See(ranks(3, false), now.Add(1700*time.Millisecond)), State{Still: true, Opens: Return}) // the rank crashed again
	is.Equal(c.See(ranks(4, false), now.Add(2*time.Second)), State{Still: true, Opens: 600 * time.Millisecond})
	is.Equal(c.See(ranks(4, true), now.Add(3*time.Second)), State{})
	is.Equal(c.See(nil, now), State{}) // without reports no stall is assumed
}
