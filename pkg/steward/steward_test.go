package steward

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/coltsfootpitch/coltsfootpitch/internal/fixedseed"
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
	var tracker choiceTracker
	now := time.Unix(0, 0)
	poll := func() []float64 {
		now = now.Add(100 * time.Millisecond)
		l.StartSample(now)
		l.AddChoices(tracker.since(1, 7, slices.Clone(c.counts)))
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
	var tracker choiceTracker
	l.StartSample(now)
	l.AddChoices(tracker.since(1, 7, []int64{100_000, 0}))
	l.StartSample(now.Add(100 * time.Millisecond))
	l.AddChoices(tracker.since(1, 8, []int64{4_000, 2_000}))
	is.Equal(l.Recent(now.Add(100 * time.Millisecond))[0], []float64{4_000, 2_000})
}

// A new leader must not take the choices of the time before it for those since its last look.
func TestFirstLookOfALeaderHasNoChoices(t *testing.T) {
	is := is.New(t)
	var tracker choiceTracker
	is.Equal(len(tracker.since(1, 7, []int64{5, 5})), 0)
	is.Equal(tracker.since(1, 7, []int64{6, 8}), []int64{1, 3})
	is.Equal(len(tracker.since(2, 7, []int64{9, 9})), 0)
	is.Equal(tracker.since(2, 7, []int64{9, 10}), []int64{0, 1})
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

// intakeEngine is the description of an engine whose passes take 18 ms without requests.
func intakeEngine() *route.Engine {
	return &route.Engine{
		TokensPerPass: 4, StepTime: 4550 * time.Microsecond, StepPerRequest: 905 * time.Microsecond, ExpertWorkShare: 0.85,
		ExpertLoadTime: 110 * time.Millisecond,
	}
}

func TestPlansWithTooLittleGainAreRejected(t *testing.T) {
	is := is.New(t)
	work := func(pass time.Duration) workload {
		return workload{engine: intakeEngine(), ranks: 16, running: 112, pass: pass, eventGap: 120 * time.Millisecond, horizon: 2500 * time.Millisecond}
	}
	shift := placement.EvenPlan{SkewBefore: 3.4, SkewAfter: 1.5, MaxNewOnRank: 2, NewReplicas: 32}
	touch := placement.EvenPlan{SkewBefore: 1.2, SkewAfter: 1.1, MaxNewOnRank: 2, NewReplicas: 20}
	is.True(work(60 * time.Millisecond).justifies(shift))
	is.True(!work(60 * time.Millisecond).justifies(touch))
	is.True(!work(30 * time.Millisecond).justifies(shift)) // callers do not notice a pass that short
	is.True(!work(90 * time.Millisecond).justifies(placement.EvenPlan{SkewBefore: 3.4, SkewAfter: 1.1}))
}

// The price of a map at any size: whether a plan pays must follow from the sizes that the engine
// describes. Larger experts, more copies or a smaller gain never turn a rejected plan into an accepted
// one, and a load that costs more than any map can gain is never accepted.
func TestPlansPayAtAnySize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, low, high int) time.Duration {
			return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
		}
		e := &route.Engine{
			TokensPerPass: rapid.IntRange(1, 10).Draw(t, "tokens"), StepTime: ms("step", 1, 20), StepPerRequest: ms("request", 1, 5),
			ExpertWorkShare: rapid.Float64Range(0.3, 0.95).Draw(t, "work"), ExpertLoadTime: ms("load", 10, 10_000),
		}
		ranks := rapid.IntRange(4, 64).Draw(t, "ranks")
		c := workload{engine: e, ranks: ranks, running: ranks * rapid.IntRange(1, 12).Draw(t, "running"), pass: ms("pass", 20, 500), eventGap: ms("gap", 40, 400), horizon: ms("horizon", 500, 60_000)}
		loads := rapid.IntRange(1, 4).Draw(t, "loads")
		p := placement.EvenPlan{SkewBefore: rapid.Float64Range(1, 6).Draw(t, "skew"), SkewAfter: 1, MaxNewOnRank: loads, NewReplicas: rapid.IntRange(1, loads*ranks).Draw(t, "copies")}
		if loadingSlowdown*float64(loads)*e.ExpertLoadTime.Seconds() > c.horizon.Seconds() && c.justifies(p) {
			t.Fatal("the load costs more than any map can gain")
		}
		if c.justifies(p) {
			return
		}
		worse, larger := p, *e
		worse.NewReplicas++
		worse.SkewAfter = 1 + (p.SkewBefore-1)/2
		larger.ExpertLoadTime *= 2
		c.engine = &larger
		if c.justifies(worse) {
			t.Fatal("a worse plan with larger experts is accepted")
		}
	})
}

// Demand that shifts seldom makes a map worth more than demand that shifts often.
func TestShiftIntervalFollowsTheDemand(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	s := shiftTimer{meanInterval: defaultShiftInterval}
	is.Equal(s.interval(now), defaultShiftInterval)
	for range 20 {
		now = now.Add(10 * time.Second)
		s.record(now)
		s.record(now.Add(loadWindow)) // the same shift
	}
	is.True(s.interval(now) > 9*time.Second)
	is.Equal(s.interval(now.Add(20*time.Second)), 20*time.Second)
	for range 20 {
		now = now.Add(time.Second)
		s.record(now)
	}
	is.True(s.interval(now) < 1100*time.Millisecond)
}

// An engine that does not report its sizes must not make copies look free or its group look ready.
func TestMissingSizesOfAnEngineGetDefaults(t *testing.T) {
	is := is.New(t)
	e := &route.Engine{LayerSets: 3, Experts: 96}
	is.Equal(setDefaultSizes(e), []string{"expert load time", "group form time"})
	is.Equal(e.ExpertLoadTime, defaultExpertLoadTime)
	is.Equal(e.GroupFormTime, defaultGroupFormTime)
	is.Equal(len(setDefaultSizes(e)), 0)
	is.Equal(len(setDefaultSizes(&route.Engine{})), 0) // no expert map
}

func TestExpectedPassTimeGrowsWithSkew(t *testing.T) {
	is := is.New(t)
	e := intakeEngine()
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
		c.update([]mapswitch.RankState{{Known: true, Epoch: epoch, Pass: pass}, {}}, 9, now)
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

// evacuate, low traffic: a group makes no passes without work. The time until the next pass counted as the duration of one, and
// requests were rejected as too slow for passes of seconds.
func TestTimeWithoutWorkIsNotTheDurationOfAPass(t *testing.T) {
	is := is.New(t)
	var c passTimer
	now := time.Unix(0, 0)
	update := func(pass int64, running int) {
		now = now.Add(100 * time.Millisecond)
		c.update([]mapswitch.RankState{{Known: true, Epoch: 1, Pass: pass}}, running, now)
	}
	for range 20 {
		update(7, 0)
	}
	update(8, 1) // the first request after two seconds
	is.Equal(c.mean(), time.Duration(0))
	for pass := range int64(8) {
		update(10+2*pass, 1)
	}
	is.Equal(c.mean(), 50*time.Millisecond)
	update(25, 0)
	is.Equal(c.mean(), time.Duration(0)) // what it was with work does not hold without
}
