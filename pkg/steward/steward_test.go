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

// choiceCounter generates the cumulative counts of a rank with one favourite expert.
type choiceCounter struct {
	rng    *rand.Rand
	counts []int64
}

// choose adds n choices, of which the favourite expert gets an extra third.
func (c *choiceCounter) choose(n, favourite int) {
	for range n {
		e := c.rng.IntN(len(c.counts))
		if c.rng.IntN(3) == 0 {
			e = favourite
		}
		c.counts[e]++
	}
}

func TestLoadsDropSamplesBeforeADemandShift(t *testing.T) {
	is := is.New(t)
	c := &choiceCounter{rng: rand.New(rand.NewPCG(1, 2)), counts: make([]int64, 64)}
	l := NewExpertLoads(1)
	now := time.Unix(0, 0)
	poll := func() []float64 {
		now = now.Add(100 * time.Millisecond)
		l.StartSample(now)
		l.AddCounts(0, 7, c.counts)
		if r := l.Recent(now); r != nil {
			return r[0]
		}
		return nil
	}
	is.True(poll() == nil) // the first poll has nothing to compare with
	for range 4 {
		c.choose(6000, 3)
		poll()
	}
	c.choose(6000, 9)
	c.choose(6000, 9)
	got := poll()
	is.True(got[9] > 5*got[3]) // samples before the shift do not count
	c.choose(6000, 9)
	is.True(totalLoad(poll()) > 15_000) // after the shift, samples add up again
}

func totalLoad(loads []float64) float64 {
	total := 0.0
	for _, x := range loads {
		total += x
	}
	return total
}

func TestLoadsResetWhenARankRestarts(t *testing.T) {
	is := is.New(t)
	l := NewExpertLoads(1)
	now := time.Unix(0, 0)
	l.StartSample(now)
	l.AddCounts(0, 7, []int64{100_000, 0})
	l.StartSample(now.Add(100 * time.Millisecond))
	l.AddCounts(0, 8, []int64{4_000, 2_000})
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
	var f fenceState
	is.True(f.recordContact(4, now))
	is.True(!f.allows(mapswitch.Order{Op: mapswitch.Prepare}, 4)) // after a start, fenced orders are rejected until the store was read
	is.True(f.allows(mapswitch.Order{Op: mapswitch.Arm}, 0))      // any sender may complete a hold
	f.recordStored(3, now)
	is.True(f.allows(mapswitch.Order{Op: mapswitch.Hold}, 4))
	is.True(!f.recordContact(3, now.Add(time.Second)))
	is.True(!f.allows(mapswitch.Order{Op: mapswitch.Prepare}, 3))
	is.Equal(f.lastContact, now)
	f.recordStored(6, now.Add(2*time.Second)) // a newly elected leader gets time for its first call
	is.Equal(f.lastContact, now.Add(2*time.Second))
	is.True(!f.allows(mapswitch.Order{Op: mapswitch.Hold}, 4))
}

func TestIsWorthwhileRejectsPlansWithTooLittleGain(t *testing.T) {
	is := is.New(t)
	const load = 110 * time.Millisecond
	shift := placement.EvenPlan{SkewBefore: 3.4, SkewAfter: 1.5, MaxNewOnRank: 2, NewReplicas: 32}
	touch := placement.EvenPlan{SkewBefore: 1.2, SkewAfter: 1.1, MaxNewOnRank: 2, NewReplicas: 20}
	is.True(isWorthwhile(shift, load, 60*time.Millisecond))
	is.True(!isWorthwhile(touch, load, 60*time.Millisecond))
	is.True(!isWorthwhile(shift, load, 30*time.Millisecond)) // callers do not notice a pass that short
	is.True(!isWorthwhile(placement.EvenPlan{SkewBefore: 3.4, SkewAfter: 1.1}, load, 90*time.Millisecond))
}

func TestExpectedPassTimeGrowsWithSkew(t *testing.T) {
	is := is.New(t)
	e := &route.Engine{TokensPerPass: 4, StepTime: 4550 * time.Microsecond, StepPerRequest: 905 * time.Microsecond, ExpertWorkShare: 0.85}
	even, skewed := expectedPassTime(e, 7, 1.1), expectedPassTime(e, 7, 3.4)
	is.True(even < 65*time.Millisecond)
	is.True(skewed > 110*time.Millisecond)
}

func TestPassTimer(t *testing.T) {
	is := is.New(t)
	var c passTimer
	now := time.Unix(0, 0)
	update := func(epoch, pass int64) {
		now = now.Add(100 * time.Millisecond)
		c.update([]mapswitch.RankState{{Known: true, Epoch: epoch, Pass: pass}, {}}, now)
	}
	for pass := range int64(10) {
		update(1, 2*pass)
	}
	is.Equal(c.mean(), 50*time.Millisecond)
	c.restart([]mapswitch.RankState{{Known: true, Epoch: 1, Pass: 18}}, now)
	is.Equal(c.mean(), time.Duration(0)) // so does a new map
	for pass := range int64(5) {
		update(1, 18+4*(pass+1))
	}
	is.Equal(c.mean(), 25*time.Millisecond) // earlier passes do not count
	update(2, 0)
	is.Equal(c.mean(), time.Duration(0)) // a new epoch starts a new measurement
}
