package placement

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// roundRobin deals the experts to the ranks in turn, as a group does at its start.
func roundRobin(layers, experts, ranks int) [][][]int {
	out := make([][][]int, layers)
	for i := range out {
		out[i] = make([][]int, ranks)
		for e := range experts {
			out[i][e%ranks] = append(out[i][e%ranks], e)
		}
	}
	return out
}

// checkEvenPlacement fails when a placement breaks a bound of the group or its loads are not those
// that even sharing gives.
func checkEvenPlacement(t rapid.TB, g EvenGroup, before, after [][][]int, loads [][]float64) (worst float64) {
	for i, layer := range after {
		copies := make([]int, len(loads[i]))
		for r, held := range layer {
			if len(held) > g.Slots {
				t.Fatalf("rank %d holds %d experts", r, len(held))
			}
			fresh := 0
			for k, e := range held {
				if slices.Contains(held[:k], e) {
					t.Fatalf("rank %d holds expert %d twice", r, e)
				}
				copies[e]++
				if !slices.Contains(before[i][r], e) {
					fresh++
				}
			}
			if fresh > g.Reserve {
				t.Fatalf("rank %d loads %d experts in a layer", r, fresh)
			}
		}
		total := 0.0
		for e, n := range copies {
			if n == 0 {
				t.Fatalf("expert %d is on no rank", e)
			}
			total += loads[i][e]
		}
		for _, held := range layer {
			load := 0.0
			for _, e := range held {
				load += loads[i][e] / float64(copies[e])
			}
			worst = max(worst, load/(total/float64(len(layer))))
		}
	}
	return worst
}

func TestEvenPlanKeepsEveryExpertAndEveryBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(2, 16).Draw(t, "ranks")
		experts := ranks * rapid.IntRange(1, 4).Draw(t, "experts per rank")
		g := EvenGroup{
			Slots:   experts/ranks + rapid.IntRange(0, 2).Draw(t, "spare"),
			Reserve: rapid.IntRange(1, 3).Draw(t, "reserve"),
			Loads:   rapid.IntRange(1, 6).Draw(t, "loads"),
			Goal:    rapid.Float64Range(1, 1.3).Draw(t, "goal"),
		}
		held := roundRobin(2, experts, ranks)
		for range 4 {
			loads := make([][]float64, 2)
			for i := range loads {
				loads[i] = rapid.SliceOfN(rapid.Float64Range(0, 100), experts, experts).Draw(t, "loads")
			}
			p := g.Plan(held, loads)
			checkEvenPlacement(t, g, held, p.Held, loads)
			if p.After > p.Before+1e-9 {
				t.Fatalf("skew rose from %v to %v", p.Before, p.After)
			}
			if p.Loaded > g.Loads {
				t.Fatalf("a rank loads %d experts", p.Loaded)
			}
			held = p.Held
		}
	})
}

// One expert takes a fifth of the load and others follow steeply, as the mixes of the
// users' sites do; the aim is 1.2 times the mean.
func TestEvenPlanReachesTheAimInAFewRounds(t *testing.T) {
	is := is.New(t)
	const ranks, experts = 16, 64
	loads := make([][]float64, 4)
	for i := range loads {
		loads[i] = make([]float64, experts)
		for e := range loads[i] {
			loads[i][(e*7+i*13)%experts] = 1 + 100/float64(1+e*e)
		}
	}
	g := EvenGroup{Slots: 5, Reserve: 2, Loads: 3}
	held := roundRobin(4, experts, ranks)
	p := g.Plan(held, loads)
	is.True(p.Before > 3) // the pattern is as skewed as the sites'
	for range 3 {
		held = p.Held
		p = g.Plan(held, loads)
	}
	is.True(p.After <= 1.2)
}

// srv_slow: a pass lasts as long as its slowest rank. Three of sixteen ranks take three
// times as long; experts move away from them until the others are the slowest.
func TestEvenPlanMovesExpertsOffSlowRanks(t *testing.T) {
	is := is.New(t)
	const ranks, experts = 16, 64
	loads := make([][]float64, 4)
	for i := range loads {
		loads[i] = make([]float64, experts)
		for e := range loads[i] {
			loads[i][(e*7+i*13)%experts] = 1 + 20/float64(1+e)
		}
	}
	pace := make([]float64, ranks)
	for r := range pace {
		pace[r] = 1
	}
	pace[2], pace[7], pace[11] = 3, 3, 3
	g := EvenGroup{Slots: 5, Reserve: 2, Loads: 2, Goal: 1.1, Pace: pace}
	held := roundRobin(4, experts, ranks)
	is.True(g.Skew(held, loads) > 3)
	for range 8 {
		before := held
		p := g.Plan(held, loads)
		held = p.Held
		checkEvenPlacement(t, g, before, held, loads)
	}
	is.True(g.Skew(held, loads) < 1.5)
}

func BenchmarkEvenPlan(b *testing.B) {
	loads := make([][]float64, 4)
	for i := range loads {
		loads[i] = make([]float64, 64)
		for e := range loads[i] {
			loads[i][(e*7+i*13)%64] = 1 + 100/float64(1+e*e)
		}
	}
	g := EvenGroup{Slots: 5, Reserve: 2, Loads: 3}
	held := roundRobin(4, 64, 16)
	for b.Loop() {
		g.Plan(held, loads)
	}
}
