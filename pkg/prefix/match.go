package prefix

import "time"

// Match is the number of leading blocks of a prompt that an upstream has cached.
type Match struct {
	Upstream uint64
	Blocks   int32
}

// maxMatches limits the upstreams of one lookup.
const maxMatches = 2 * MaxUpstreamsPerBlock

// Matches are the upstreams that have the prefix of a prompt in their cache.
type Matches struct {
	list  [maxMatches]Match
	count int
}

// All returns the matches; they are valid until the next lookup.
func (m *Matches) All() []Match { return m.list[:m.count] }

// extend records that the upstream has cached at least the first blocks blocks.
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

// Lookup fills m with upstreams that have cached leading blocks of a prompt. An engine that has
// cached a block also has those before it, since it uses them together. Lookup therefore finds the
// last block that any upstream has cached by binary search. Upstreams that have cached fewer
// blocks are reported only as far as the search probed their blocks.
func (x *Index) Lookup(blocks []uint64, now time.Duration, m *Matches) {
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

// probe records the upstreams that have cached a block and reports whether there are any. blocks
// is the number of blocks up to and including this one.
func (x *Index) probe(block uint64, blocks int32, now time.Duration, m *Matches) bool {
	list := x.blocks[block]
	if list == nil {
		return false
	}
	found := false
	for k := range list {
		if r := &list[k]; r.isValid(now) {
			m.extend(r.upstream.id, blocks)
			found = true
		}
	}
	return found
}
