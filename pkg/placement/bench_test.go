package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// BenchmarkPlan measures new shares and moves for one group after each of three kinds of load
// change, at sizes around the design size of 64 ranks, 128 experts and 60 layers.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ ranks, experts, layers int }{
		{16, 32, 60}, {32, 64, 60}, {64, 128, 15}, {64, 128, 60}, {64, 256, 60}, {128, 256, 60},
	} {
		for _, change := range []struct {
			name string
			part float64
		}{{"flutter", 0}, {"drift", 0.02}, {"sudden", 0.25}} {
			name := fmt.Sprintf("ranks=%d/experts=%d/layers=%d/%s", size.ranks, size.experts, size.layers, change.name)
			b.Run(name, func(b *testing.B) { benchmarkPlan(b, size.ranks, size.experts, size.layers, change.part) })
		}
	}
}

func benchmarkPlan(b *testing.B, ranks, experts, layers int, part float64) {
	r := rand.New(rand.NewPCG(1, 1))
	var before, after [][]float64
	for range layers {
		loads := zipf(experts, 0.8, r)
		before = append(before, loads)
		after = append(after, perturbed(loads, part, r))
	}
	o := DefaultOptions()
	o.Ranks = ranks
	o.Slots = experts/ranks + 1
	first := NewPlanner(o, before)
	moves := 0
	for b.Loop() {
		b.StopTimer()
		p := *first
		p.layers = nil
		for _, l := range first.layers {
			p.layers = append(p.layers, l.Clone())
		}
		p.loads = [][]float64{}
		for i := range layers {
			p.loads = append(p.loads, append([]float64(nil), before[i]...))
		}
		b.StartTimer()
		p.Observe(after)
		moves = len(p.Plan().Moves)
	}
	b.ReportMetric(float64(moves), "moves")
}

// perturbed returns loads with 1% of normal noise, in which a part of the experts have exchanged
// their loads.
func perturbed(loads []float64, part float64, r *rand.Rand) []float64 {
	out := append([]float64(nil), loads...)
	n := int(part * float64(len(loads)))
	chosen := r.Perm(len(loads))[:n]
	for i, e := range chosen {
		out[e] = loads[chosen[(i+1)%n]]
	}
	for e := range out {
		out[e] *= 1 + 0.01*r.NormFloat64()
	}
	return out
}
