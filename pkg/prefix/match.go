package prefix

import "time"

// Match says how many leading blocks of a prompt an upstream holds.
type Match struct {
	Upstream uint64
	Blocks   int32
}

// maxMatches bounds the upstreams of one look-up.
const maxMatches = 2 * Holders

// Matches are the upstreams that hold the beginning of a prompt.
type Matches struct {
	list [maxMatches]Match
	n    int
}

// All returns the matches; they are valid until the next look-up.
func (m *Matches) All() []Match { return m.list[:m.n] }

// extend notes that the upstream holds block number i. It reports whether the
// upstream holds all blocks before as well.
func (m *Matches) extend(upstream uint64, i int32) bool {
	for k := range m.n {
		if m.list[k].Upstream != upstream {
			continue
		}
		if m.list[k].Blocks != i {
			return false
		}
		m.list[k].Blocks = i + 1
		return true
	}
	if i > 0 || m.n == maxMatches {
		return false
	}
	m.list[m.n] = Match{upstream, 1}
	m.n++
	return true
}

// Look fills m with the upstreams that hold the first blocks of a prompt.
func (x *Index) Look(blocks []uint64, now time.Duration, m *Matches) {
	m.n = 0
	for i, b := range blocks {
		list, ok := x.blocks[b]
		if !ok {
			return
		}
		grown := false
		for k := range list {
			h := &list[k]
			if h.counts(now) && m.extend(h.source.upstream, int32(i)) {
				grown = true
			}
		}
		if !grown {
			return
		}
	}
}
