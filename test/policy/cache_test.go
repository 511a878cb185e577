package policy

import (
	"container/list"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/prefix"
)

// cache models the prefix cache of an engine, with eviction of the least recently used blocks.
type cache struct {
	size     int
	order    *list.List
	elements map[uint64]*list.Element
}

func newCache(size int) *cache {
	return &cache{size: size, order: list.New(), elements: map[uint64]*list.Element{}}
}

// cachedPrefix returns the number of leading blocks of the prompt that are cached.
func (c *cache) cachedPrefix(blocks []uint64) int {
	for i, b := range blocks {
		if c.elements[b] == nil {
			return i
		}
	}
	return len(blocks)
}

// add stores blocks and returns the ones added and the ones evicted.
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

// cacheView is the view of an entry of the prefix caches of all agents.
type cacheView struct {
	index          *prefix.Index
	matches        prefix.Matches
	marked         []int
	candidateByKey map[uint64]int
}

func newCacheView() cacheView {
	return cacheView{index: prefix.New(1 << 14), candidateByKey: map[uint64]int{}}
}

// setCachedBlocks sets on each candidate the number of cached blocks of the request's prompt.
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

// clearCachedBlocks undoes setCachedBlocks.
func (k *cacheView) clearCachedBlocks(e *entry) {
	for _, i := range k.marked {
		e.candidates[i].CachedBlocks = 0
	}
	k.marked = k.marked[:0]
}

// recordRouted records that candidate i will cache the prompt of the request.
func (k *cacheView) recordRouted(e *entry, i int, r *request) {
	k.index.RecordCached(e.candidates[i].IDHash, r.blocks, e.sim.now)
}
