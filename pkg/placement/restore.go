package placement

import (
	"slices"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/expertmap"
)

// RestorePlanner returns a planner that goes on from a map in force, so that a new
// owner of the group moves nothing at first. It reports false when the map does not
// fit the options or the loads.
func RestorePlanner(o Options, m *expertmap.Map, loads [][]float64) (*Planner, bool) {
	if len(m.Layers) != len(loads) {
		return nil, false
	}
	p := &Planner{options: o}
	for i, content := range m.Layers {
		l, ok := layerFromMap(content, len(loads[i]), o)
		if !ok {
			return nil, false
		}
		l.SetLoads(loads[i])
		l.Balance(sharesGoalSkew)
		p.layers = append(p.layers, l)
		p.loads = append(p.loads, slices.Clone(loads[i]))
		p.trends = append(p.trends, make([]float64, len(loads[i])))
	}
	return p, true
}

func layerFromMap(content expertmap.Layer, experts int, o Options) (*Layer, bool) {
	if len(content.Ranks) != o.Ranks {
		return nil, false
	}
	l := NewLayer(experts, o.Ranks, o.Slots)
	for r, held := range content.Ranks {
		for _, x := range held {
			if x.Expert >= experts || len(l.expertsOn[r]) == o.Slots {
				return nil, false
			}
			l.Add(x.Expert, r)
		}
	}
	missing := func(where []int) bool { return len(where) == 0 }
	return l, !slices.ContainsFunc(l.ranksOf, missing)
}
