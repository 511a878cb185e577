package placement

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// A new leader of a group must not load experts that are in place.
func TestRestoredPlannerPlansNoMoves(t *testing.T) {
	is := is.New(t)
	loads := [][]float64{zipf(128, 0.8, rand.New(rand.NewPCG(4, 1)))}
	ranks := make([]int, 64)
	for i := range ranks {
		ranks[i] = i
	}
	o := DefaultOptions()
	m := NewPlanner(o, loads).Map(ranks)
	p, ok := RestorePlanner(o, &m, loads)
	is.True(ok)
	is.True(p.Skew() < 1.01)
	is.Equal(len(p.Plan().Moves), 0)
	for r, expertsOn := range p.Map(ranks).Layers[0].Ranks {
		is.Equal(len(expertsOn), len(m.Layers[0].Ranks[r]))
	}
	o.Ranks = 63
	_, ok = RestorePlanner(o, &m, loads)
	is.True(!ok) // the map is for 64 ranks
}
