package steward

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/placement"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/route"
)

// chooser makes the counts of a rank whose requests like some experts.
type chooser struct {
	rng    *rand.Rand
	counts []int64
}

// choose adds n choices; favourite takes a third of them.
func (c *chooser) choose(n, favourite int) {
	for range n {
		e := c.rng.IntN(len(c.counts))
		if c.rng.IntN(3) == 0 {
			e = favourite
		}
		c.counts[e]++
	}
}

func TestLoadsForgetWhatWasBeforeAShift(t *testing.T) {
	is := is.New(t)
	c := &chooser{rng: rand.New(rand.NewPCG(1, 2)), counts: make([]int64, 64)}
	l := NewLoads(1)
	now := time.Unix(0, 0)
	look := func() []float64 {
		now = now.Add(100 * time.Millisecond)
		l.Begin(now)
		l.Add(0, 7, c.counts)
		if r := l.Recent(now); r != nil {
			return r[0]
		}
		return nil
	}
	is.True(look() == nil) // one look has no difference yet
	for range 4 {
		c.choose(6000, 3)
		look()
	}
	c.choose(6000, 9)
	c.choose(6000, 9)
	got := look()
	is.True(got[9] > 5*got[3]) // the mix of before does not count
	c.choose(6000, 9)
	is.True(sum(look()) > 15_000) // after that the window grows again
}

func sum(loads []float64) float64 {
	total := 0.0
	for _, x := range loads {
		total += x
	}
	return total
}

func TestLoadsOfARankThatStartedAgainBeginAnew(t *testing.T) {
	is := is.New(t)
	l := NewLoads(1)
	now := time.Unix(0, 0)
	l.Begin(now)
	l.Add(0, 7, []int64{100_000, 0})
	l.Begin(now.Add(100 * time.Millisecond))
	l.Add(0, 8, []int64{4_000, 2_000})
	is.Equal(l.Recent(now.Add(100 * time.Millisecond))[0], []float64{4_000, 2_000})
}

func TestPackedCounts(t *testing.T) {
	is := is.New(t)
	counts := []int64{0, 1, 127, 128, 1 << 40}
	is.Equal(packCounts(counts).unpack(), counts)
	is.Equal(len(packedCounts{0xff}.unpack()), 0)
}

func TestFence(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	var f fence
	is.True(f.hear(4, now))
	is.True(!f.allows(mapswitch.Prepare, 4)) // after a start nothing is known before the store was read
	is.True(f.allows(mapswitch.Arm, 0))      // completing a hold is safe for everybody
	f.read(3, now)
	is.True(f.allows(mapswitch.Hold, 4))
	is.True(!f.hear(3, now.Add(time.Second)))
	is.True(!f.allows(mapswitch.Prepare, 3))
	is.Equal(f.heard, now)
	f.read(6, now.Add(2*time.Second)) // a leader that has just begun is given time
	is.Equal(f.heard, now.Add(2*time.Second))
	is.True(!f.allows(mapswitch.Hold, 4))
}

func TestPlansThatDoNotPayAreLeft(t *testing.T) {
	is := is.New(t)
	const load = 110 * time.Millisecond
	shift := placement.EvenPlan{SkewBefore: 3.4, SkewAfter: 1.5, MaxNewOnRank: 2, NewReplicas: 32}
	touch := placement.EvenPlan{SkewBefore: 1.2, SkewAfter: 1.1, MaxNewOnRank: 2, NewReplicas: 20}
	is.True(worth(shift, load, 60*time.Millisecond))
	is.True(!worth(touch, load, 60*time.Millisecond))
	is.True(!worth(shift, load, 30*time.Millisecond)) // nobody feels a pass that short
	is.True(!worth(placement.EvenPlan{SkewBefore: 3.4, SkewAfter: 1.1}, load, 90*time.Millisecond))
}

func TestExpectedPassFollowsTheSkew(t *testing.T) {
	is := is.New(t)
	e := &route.Engine{TokensPerPass: 4, StepTime: 4550 * time.Microsecond, StepPerRequest: 905 * time.Microsecond, ExpertWorkShare: 0.85}
	even, skewed := expectedPass(e, 7, 1.1), expectedPass(e, 7, 3.4)
	is.True(even < 65*time.Millisecond)
	is.True(skewed > 110*time.Millisecond)
}

func TestPassClock(t *testing.T) {
	is := is.New(t)
	var c passClock
	now := time.Unix(0, 0)
	see := func(epoch, pass int64) {
		now = now.Add(100 * time.Millisecond)
		c.see([]mapswitch.Rank{{Known: true, Epoch: epoch, Pass: pass}, {}}, now)
	}
	for pass := range int64(10) {
		see(1, 2*pass)
	}
	is.Equal(c.time(), 50*time.Millisecond)
	see(2, 0)
	is.Equal(c.time(), time.Duration(0)) // a group that formed anew has another pace
}
