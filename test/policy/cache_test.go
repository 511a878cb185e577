package policy

import (
	"container/list"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/prefix"
)

// cache is the prefix cache of an engine: the least recently used blocks go first.
type cache struct {
	size     int
	order    *list.List
	elements map[uint64]*list.Element
}

func newCache(size int) *cache {
	return &cache{size: size, order: list.New(), elements: map[uint64]*list.Element{}}
}

// cachedPrefix returns the number of leading blocks in the cache.
func (c *cache) cachedPrefix(blocks []uint64) int {
	for i, b := range blocks {
		if c.elements[b] == nil {
			return i
		}
	}
	return len(blocks)
}

// add stores blocks and returns those that are new and those that had to go.
func (c *cache) add(blocks []uint64) (stored, removed []uint64) {
	for _, b := range blocks {
		if at := c.elements[b]; at != nil {
			c.order.MoveToFront(at)
			continue
		}
		c.elements[b] = c.order.PushFront(b)
		stored = append(stored, b)
	}
	for c.order.Len() > c.size {
		at := c.order.Back()
		b := c.order.Remove(at).(uint64)
		delete(c.elements, b)
		removed = append(removed, b)
	}
	return stored, removed
}

// cacheView is what an entry knows of the caches.
type cacheView struct {
	index          *prefix.Index
	matches        prefix.Matches
	marked         []int
	candidateByKey map[uint64]int
}

func newCacheView() cacheView {
	return cacheView{index: prefix.New(1 << 14), candidateByKey: map[uint64]int{}}
}

// setCachedBlocks writes the cached blocks of a request's prompt to the candidates.
func (k *cacheView) setCachedBlocks(e *entry, r *request) {
	if len(k.candidateByKey) == 0 {
		for i := range e.candidates {
			k.candidateByKey[e.candidates[i].IDHash] = i
		}
	}
	k.index.Lookup(r.blocks, e.sim.now, &k.matches)
	for _, m := range k.matches.All() {
		i := k.candidateByKey[m.Upstream]
		e.candidates[i].CachedBlocks = m.Blocks
		k.marked = append(k.marked, i)
	}
}

func (k *cacheView) clearCachedBlocks(e *entry) {
	for _, i := range k.marked {
		e.candidates[i].CachedBlocks = 0
	}
	k.marked = k.marked[:0]
}

func (k *cacheView) recordRouted(e *entry, i int, r *request) {
	k.index.RecordCached(e.candidates[i].IDHash, r.blocks, e.sim.now)
}
