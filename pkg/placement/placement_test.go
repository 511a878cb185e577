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

func init() { fixedseed.Checks(400) }

// drawSmallLayer draws a layer with few experts, on which the optimum can be told by trying all
// sets of experts.
func drawSmallLayer(t *rapid.T) (*Layer, []float64) {
	experts := rapid.IntRange(2, 9).Draw(t, "experts")
	ranks := rapid.IntRange(2, 5).Draw(t, "ranks")
	slots := (experts+ranks-1)/ranks + rapid.IntRange(0, 2).Draw(t, "spare")
	loads := make([]float64, experts)
	for e := range loads {
		loads[e] = float64(rapid.IntRange(1, 1000).Draw(t, "load"))
	}
	if rapid.Bool().Draw(t, "wrap") {
		return Wrap(loads, ranks, slots), loads
	}
	return Greedy(loads, ranks, slots), loads
}

// optimalMaxLoad returns the least load that the fullest rank can have: the most loaded set of
// experts, relative to the ranks that hold any of them.
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

// checkConsistent checks that every expert has a replica, that no rank holds one twice or more
// than its slots, and that all load is somewhere.
func checkConsistent(t *rapid.T, l *Layer, loads []float64) {
	total := make([]float64, len(l.load))
	for e, want := range loads {
		if len(l.ranksOf[e]) == 0 {
			t.Fatalf("expert %d has no replica", e)
		}
		sum := 0.0
		for i, r := range l.ranksOf[e] {
			if l.flow[e][i] < -1e-9 || !slices.Contains(l.expertsOn[r], e) {
				t.Fatalf("expert %d on rank %d: flow %g, held %v", e, r, l.flow[e][i], l.expertsOn[r])
			}
			sum += l.flow[e][i]
			total[r] += l.flow[e][i]
		}
		if math.Abs(sum-want) > 1e-6*want {
			t.Fatalf("expert %d bears %g, want %g", e, sum, want)
		}
	}
	for r, held := range l.expertsOn {
		sorted := slices.Sorted(slices.Values(held))
		if len(held) > l.slots || len(slices.Compact(sorted)) != len(held) {
			t.Fatalf("rank %d holds %v in %d slots", r, held, l.slots)
		}
		if math.Abs(total[r]-l.load[r]) > 1e-6 {
			t.Fatalf("rank %d bears %g, counted as %g", r, total[r], l.load[r])
		}
	}
}

func TestBalanceReachesTheOptimum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, loads := drawSmallLayer(t)
		l.Balance(1)
		checkConsistent(t, l, loads)
		want := optimalMaxLoad(l, loads)
		if l.Max() > want*1.01 {
			t.Fatalf("fullest rank %g, optimum %g", l.Max(), want)
		}
	})
}

func TestBalanceReachesAnyGoalThatCanBeReached(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, loads := drawSmallLayer(t)
		goal := optimalMaxLoad(l, loads) / l.Mean() * 1.0001
		l.Balance(goal)
		if l.Skew() > goal*1.0001 {
			t.Fatalf("skew %g, goal %g", l.Skew(), goal)
		}
	})
}

func TestImproveKeepsThePlacementSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, loads := drawSmallLayer(t)
		for e := range loads {
			loads[e] = float64(rapid.IntRange(1, 1000).Draw(t, "load"))
		}
		l.SetLoads(loads)
		l.Balance(1.01)
		former := l.Clone()
		before := l.Skew()
		limit := rapid.IntRange(0, 6).Draw(t, "limit")
		moves := l.Improve(1.01, limit)
		checkConsistent(t, l, loads)
		if len(moves) > limit || len(moves) > 0 && l.excess(1.01) >= former.excess(1.01) {
			t.Fatalf("%d moves of %d, skew %g before and %g after", len(moves), limit, before, l.Skew())
		}
		for _, m := range moves {
			former.Apply(m)
		}
		for r := range l.expertsOn {
			if !slices.Equal(slices.Sorted(slices.Values(l.expertsOn[r])), slices.Sorted(slices.Values(former.expertsOn[r]))) {
				t.Fatalf("the moves do not lead from the former placement to the new one")
			}
		}
	})
}

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
			l := Wrap(loads, 64, 3)
			l.Balance(1)
			worst = max(worst, l.Skew())
			greedy = max(greedy, Greedy(loads, 64, 3).Skew())
		}
		t.Logf("zipf %.1f, one spare slot: worst skew of 20 snapshots %.3f, greedy with even shares %.3f", exponent, worst, greedy)
		is.True(worst < 1.03)
	}
}

func TestPlannerMovesOnlyWhatPays(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(2, 1))
	before := [][]float64{zipf(128, 0.8, r)}
	after := [][]float64{zipf(128, 0.8, r)}
	o := DefaultOptions()
	p := NewPlanner(o, before)
	p.Observe(after)
	is.True(len(p.Plan().Moves) > 0)
	o.MovePrice = o.Horizon
	p = NewPlanner(o, before)
	p.Observe(after)
	is.Equal(len(p.Plan().Moves), 0) // no saving pays for a move as dear as the horizon
	o = DefaultOptions()
	o.MovesPerPlan = 3
	p = NewPlanner(o, before)
	p.Observe(after)
	is.True(len(p.Plan().Moves) <= 3)
}

func TestMapHoldsTheShares(t *testing.T) {
	is := is.New(t)
	p := NewPlanner(DefaultOptions(), [][]float64{zipf(128, 1.2, rand.New(rand.NewPCG(3, 1)))})
	ranks := make([]int, 64)
	for i := range ranks {
		ranks[i] = i
	}
	sums := make([]float64, 128)
	for _, held := range p.Map(ranks).Layers[0].Ranks {
		for _, x := range held {
			sums[x.Expert] += float64(x.Share)
		}
	}
	for _, s := range sums {
		is.True(math.Abs(s-1) < 1e-5)
	}
}
