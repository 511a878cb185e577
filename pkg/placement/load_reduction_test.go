package placement

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// A rank that takes 1.5 times as long as usual must get two thirds of an equal load, by new shares
// and moves, so that it does not delay the others.
func TestSlowRankGetsLessLoad(t *testing.T) {
	is := is.New(t)
	loads := [][]float64{zipf(128, 0.8, rand.New(rand.NewPCG(5, 1)))}
	p := NewPlanner(DefaultOptions(), loads)
	reductions := make([]float64, 64)
	reductions[7] = 1.0 / 3
	p.SetLoadReductions(reductions)
	p.Observe(loads)
	p.Commit(p.Plan())
	l := p.Layers()[0]
	loadOf := func(rank int) float64 {
		sum := 0.0
		for _, e := range l.Experts(rank) {
			sum += l.flowOn(e, rank)
		}
		return sum
	}
	mean := sumOf(loads[0]) / 64
	t.Logf("load of the slow rank %.3f of the mean, skew of the times %.3f", loadOf(7)/mean, l.Skew())
	is.True(loadOf(7) < 0.69*mean)
	is.True(l.Skew() < 1.02)
}
