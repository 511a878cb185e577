package placement

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// TestSlowRankBearsLess gives a rank that needs half as long again for its work two
// thirds of the work, by shares and moves.
func TestSlowRankBearsLess(t *testing.T) {
	is := is.New(t)
	loads := [][]float64{zipf(128, 0.8, rand.New(rand.NewPCG(5, 1)))}
	p := NewPlanner(DefaultOptions(), loads)
	handicaps := make([]float64, 64)
	handicaps[7] = 1.0 / 3
	p.SetHandicaps(handicaps)
	p.Observe(loads)
	p.Commit(p.Plan())
	l := p.Layers()[0]
	bears := func(rank int) float64 {
		sum := 0.0
		for _, e := range l.Held(rank) {
			sum += l.flowOn(e, rank)
		}
		return sum
	}
	mean := sumOf(loads[0]) / 64
	t.Logf("the slow rank bears %.3f of the mean, skew of the times %.3f", bears(7)/mean, l.Skew())
	is.True(bears(7) < 0.69*mean)
	is.True(l.Skew() < 1.02)
}
