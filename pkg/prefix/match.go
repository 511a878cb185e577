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
	list  [maxMatches]Match
	count int
}

// All returns the matches; they are valid until the next look-up.
func (m *Matches) All() []Match { return m.list[:m.count] }

// extend notes that the upstream holds the first n blocks at least.
func (m *Matches) extend(upstream uint64, blocks int32) {
	for k := range m.count {
		if m.list[k].Upstream == upstream {
			m.list[k].Blocks = max(m.list[k].Blocks, blocks)
			return
		}
	}
	if m.count < maxMatches {
		m.list[m.count] = Match{upstream, blocks}
		m.count++
	}
}

// Look fills m with upstreams that hold the first blocks of a prompt. An engine that
// holds a block holds those before it, as it uses them with it. The last block that
// anybody holds is therefore found by halving; upstreams that hold fewer blocks count
// as far as the search came across them.
func (x *Index) Look(blocks []uint64, now time.Duration, m *Matches) {
	m.count = 0
	low, high := 0, len(blocks)
	for low < high {
		middle := int(uint(low+high) / 2)
		if x.probe(blocks[middle], int32(middle+1), now, m) {
			low = middle + 1
			continue
		}
		high = middle
	}
}

// probe notes the holders of a block and reports whether there are any.
func (x *Index) probe(block uint64, blocks int32, now time.Duration, m *Matches) bool {
	list := x.blocks[block]
	if list == nil {
		return false
	}
	found := false
	for k := range list {
		if h := &list[k]; h.isValid(now) {
			m.extend(h.upstream.id, blocks)
			found = true
		}
	}
	return found
}
