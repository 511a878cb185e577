package placement

import (
	"encoding/json"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// The record of a group, with a decided and a staged map, must fit in an object of at most 1 MiB
// at the design size.
func TestTwoMapsFitInOneObject(t *testing.T) {
	const maxBytes = 1 << 20
	is := is.New(t)
	r := rand.New(rand.NewPCG(6, 1))
	var loads [][]float64
	for range 60 {
		loads = append(loads, zipf(128, 0.8, r))
	}
	ranks := make([]int, 64)
	for i := range ranks {
		ranks[i] = i
	}
	m := NewPlanner(DefaultOptions(), loads).Map(ranks)
	text, err := json.Marshal(m)
	is.NoErr(err)
	t.Logf("a map of 64 ranks, 128 experts and 60 layers takes %d bytes", len(text))
	is.True(2*len(text) < maxBytes)
}
