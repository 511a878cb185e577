package placement

import (
	"slices"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/expertmap"
)

// RestorePlanner returns a planner that starts from a map in force, so that a new leader of the
// group moves nothing at first. It reports false when the map does not fit the options or the
// loads.
func RestorePlanner(o Options, m *expertmap.Map, loads [][]float64) (*Planner, bool) {
	if len(m.Layers) != len(loads) {
		return nil, false
	}
	p := &Planner{options: o}
	for i, mapLayer := range m.Layers {
		l, ok := layerFromMap(mapLayer, len(loads[i]), o)
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

// layerFromMap returns the placement in a layer of a map. It reports false when the number of
// ranks differs from the options, a rank has more replicas than slots, or an expert is unknown or
// has no replica.
func layerFromMap(mapLayer expertmap.Layer, experts int, o Options) (*Layer, bool) {
	if len(mapLayer.Ranks) != o.Ranks {
		return nil, false
	}
	l := NewLayer(experts, o.Ranks, o.Slots)
	for r, replicas := range mapLayer.Ranks {
		for _, replica := range replicas {
			if replica.Expert >= experts || len(l.expertsOn[r]) == o.Slots {
				return nil, false
			}
			l.AddReplica(replica.Expert, r)
		}
	}
	isEmpty := func(ranks []int) bool { return len(ranks) == 0 }
	return l, !slices.ContainsFunc(l.ranksOf, isEmpty)
}
