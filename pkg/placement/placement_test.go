package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/coltsfootpitch/coltsfootpitch/internal/fixedseed"
)

func init() { fixedseed.SetChecks(400) }

// drawSmallLayer draws a layer with so few experts that optimalMaxLoad can try all sets of them. It
// returns the layer and the loads by expert.
func drawSmallLayer(t *rapid.T) (*Layer, []float64) {
	experts := rapid.IntRange(2, 9).Draw(t, "experts")
	ranks := rapid.IntRange(2, 5).Draw(t, "ranks")
	slots := (experts+ranks-1)/ranks + rapid.IntRange(0, 2).Draw(t, "spare")
	loads := make([]float64, experts)
	for e := range loads {
		loads[e] = float64(rapid.IntRange(1, 1000).Draw(t, "load"))
	}
	if rapid.Bool().Draw(t, "wrap") {
		return WrapAround(loads, ranks, slots), loads
	}
	return Greedy(loads, ranks, slots), loads
}

// optimalMaxLoad returns the least possible load of the most loaded rank: the maximum, over all
// sets of experts, of the load of the set divided by the number of ranks with any of its experts.
func optimalMaxLoad(l *Layer, loads []float64) float64 {
	best := 0.0
	for set := 1; set < 1<<len(loads); set++ {
		load := 0.0
		ranks := map[int]bool{}
		for e, x := range loads {
			if set>>e&1 == 0 {
				continue
			}
			load += x
			for _, r := range l.ranksOf[e] {
				ranks[r] = true
			}
		}
		best = max(best, load/float64(len(ranks)))
	}
	return best
}

// checkConsistent fails the test unless every expert has a replica, no rank has two replicas of an
// expert or more than its slots, and the flows sum up to the loads of the experts and ranks.
func checkConsistent(t *rapid.T, l *Layer, loads []float64) {
	total := make([]float64, len(l.load))
	for e, want := range loads {
		if len(l.ranksOf[e]) == 0 {
			t.Fatalf("expert %d has no replica", e)
		}
		sum := 0.0
		for i, r := range l.ranksOf[e] {
			if l.flow[e][i] < -1e-9 || !slices.Contains(l.expertsOn[r], e) {
				t.Fatalf("expert %d on rank %d: flow %g, experts of the rank %v", e, r, l.flow[e][i], l.expertsOn[r])
			}
			sum += l.flow[e][i]
			total[r] += l.flow[e][i]
		}
		if math.Abs(sum-want) > 1e-6*want {
			t.Fatalf("expert %d: flows sum to %g, want %g", e, sum, want)
		}
	}
	for r, expertsOn := range l.expertsOn {
		sorted := slices.Sorted(slices.Values(expertsOn))
		if len(expertsOn) > l.slots || len(slices.Compact(sorted)) != len(expertsOn) {
			t.Fatalf("rank %d has experts %v in %d slots", r, expertsOn, l.slots)
		}
		if math.Abs(total[r]-l.load[r]) > 1e-6 {
			t.Fatalf("rank %d: flows sum to %g, load is %g", r, total[r], l.load[r])
		}
	}
}

func TestBalanceReachesTheOptimum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, loads := drawSmallLayer(t)
		l.Balance(1)
		checkConsistent(t, l, loads)
		want := optimalMaxLoad(l, loads)
		if l.MaxLoad() > want*1.01 {
			t.Fatalf("highest rank load %g, optimum %g", l.MaxLoad(), want)
		}
	})
}

func TestBalanceReachesAnyFeasibleGoal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, loads := drawSmallLayer(t)
		goal := optimalMaxLoad(l, loads) / l.MeanLoad() * 1.0001
		l.Balance(goal)
		if l.Skew() > goal*1.0001 {
			t.Fatalf("skew %g, goal %g", l.Skew(), goal)
		}
	})
}

func TestImproveKeepsTheLayerConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, loads := drawSmallLayer(t)
		for e := range loads {
			loads[e] = float64(rapid.IntRange(1, 1000).Draw(t, "load"))
		}
		l.SetLoads(loads)
		l.Balance(1.01)
		previous := l.Clone()
		before := l.Skew()
		limit := rapid.IntRange(0, 6).Draw(t, "limit")
		moves := l.Improve(1.01, limit)
		checkConsistent(t, l, loads)
		if len(moves) > limit || len(moves) > 0 && l.excess(1.01) >= previous.excess(1.01) {
			t.Fatalf("%d moves of %d, skew %g before and %g after", len(moves), limit, before, l.Skew())
		}
		for _, m := range moves {
			previous.Apply(m)
		}
		for r := range l.expertsOn {
			if !slices.Equal(slices.Sorted(slices.Values(l.expertsOn[r])), slices.Sorted(slices.Values(previous.expertsOn[r]))) {
				t.Fatalf("the moves do not lead from the previous placement to the new one")
			}
		}
	})
}

// zipf returns loads that follow Zipf's law with the exponent, in random order.
func zipf(experts int, exponent float64, r *rand.Rand) []float64 {
	out := make([]float64, experts)
	for i, e := range r.Perm(experts) {
		out[e] = math.Pow(float64(i+1), -exponent)
	}
	return out
}

func TestWrapBalancesASnapshot(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	for _, exponent := range []float64{0.4, 0.8, 1.2} {
		worst, greedy := 0.0, 0.0
		for range 20 {
			loads := zipf(128, exponent, r)
			l := WrapAround(loads, 64, 3)
			l.Balance(1)
			worst = max(worst, l.Skew())
			greedy = max(greedy, Greedy(loads, 64, 3).Skew())
		}
		t.Logf("zipf %.1f, one spare slot: worst skew of 20 snapshots %.3f, greedy with even shares %.3f", exponent, worst, greedy)
		is.True(worst < 1.03)
	}
}

func TestPlannerMovesOnlyWhenWorthwhile(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(2, 1))
	before := [][]float64{zipf(128, 0.8, r)}
	after := [][]float64{zipf(128, 0.8, r)}
	o := DefaultOptions()
	p := NewPlanner(o, before)
	p.Observe(after)
	is.True(len(p.Plan().Moves) > 0)
	o.MoveCost = o.Horizon
	p = NewPlanner(o, before)
	p.Observe(after)
	is.Equal(len(p.Plan().Moves), 0) // no saving exceeds a cost as large as the horizon
	o = DefaultOptions()
	o.MaxMovesPerPlan = 3
	p = NewPlanner(o, before)
	p.Observe(after)
	is.True(len(p.Plan().Moves) <= 3)
}

func TestMapSharesSumToOne(t *testing.T) {
	is := is.New(t)
	p := NewPlanner(DefaultOptions(), [][]float64{zipf(128, 1.2, rand.New(rand.NewPCG(3, 1)))})
	ranks := make([]int, 64)
	for i := range ranks {
		ranks[i] = i
	}
	sums := make([]float64, 128)
	for _, expertsOn := range p.Map(ranks).Layers[0].Ranks {
		for _, x := range expertsOn {
			sums[x.Expert] += float64(x.Share)
		}
	}
	for _, s := range sums {
		is.True(math.Abs(s-1) < 1e-5)
	}
}
