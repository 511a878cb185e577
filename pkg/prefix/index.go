package prefix

import "time"

const (
	// Holders is the number of upstreams kept for a block.
	Holders = 4
	// Life is the age at which a record without news is ignored.
	Life = 5 * time.Minute
	// Doubt is the time for which records from before a gap still count.
	Doubt = 20 * time.Second
)

// Events are changes of the cache of one upstream since its last events.
type Events struct {
	// First is the number of the first event and Next the number after the last; they
	// rise within an incarnation of the upstream.
	First int64 `json:"first"`
	Next  int64 `json:"next"`
	// Stored and Removed are block hashes.
	Stored  []uint64 `json:"stored,omitempty"`
	Removed []uint64 `json:"removed,omitempty"`
	// Cleared is set when the upstream lost its cache before these events.
	Cleared bool `json:"cleared,omitempty"`
}

// cacheRecord is an upstream that holds a block.
type cacheRecord struct {
	upstream   *upstreamState
	recordedAt time.Duration
}

// upstreamState is what is known of the events of an upstream.
type upstreamState struct {
	id        uint64
	nextEvent int64
	// lastGap is the time of the last lastGap; older records count until lastGap + Doubt.
	lastGap time.Duration
	// clearedAt is the time before which records do not count.
	clearedAt time.Duration
	hasGap    bool
}

// Index is a bounded map of blocks to upstreams. It is not safe for concurrent use.
type Index struct {
	blocks      map[uint64]*[Holders]cacheRecord
	ring        []uint64
	nextEvicted int
	upstreams   map[uint64]*upstreamState
}

// New returns an empty index of at most size blocks.
func New(size int) *Index {
	return &Index{
		blocks:    make(map[uint64]*[Holders]cacheRecord, size),
		ring:      make([]uint64, 0, size),
		upstreams: map[uint64]*upstreamState{},
	}
}

// Len returns the number of blocks.
func (x *Index) Len() int { return len(x.blocks) }

// Learn notes that an upstream holds the blocks since now.
func (x *Index) Learn(upstream uint64, blocks []uint64, now time.Duration) {
	s := x.stateOf(upstream)
	for _, b := range blocks {
		x.addRecord(b, cacheRecord{s, now})
	}
}

// Apply takes in events of an upstream. Events that were taken in before are ignored.
func (x *Index) Apply(upstream uint64, e Events, now time.Duration) {
	s := x.stateOf(upstream)
	if e.Cleared {
		s.clearedAt = now
		s.nextEvent = e.First
	}
	if e.Next <= s.nextEvent && e.Next > 0 {
		return
	}
	if e.First > s.nextEvent {
		s.lastGap = now
		s.hasGap = true
	}
	s.nextEvent = e.Next
	for _, b := range e.Removed {
		x.removeRecord(b, s)
	}
	x.Learn(upstream, e.Stored, now)
}

// Forget drops what is known of an upstream.
func (x *Index) Forget(upstream uint64, now time.Duration) {
	s := x.stateOf(upstream)
	s.clearedAt = now
	s.nextEvent = 0
}

func (x *Index) stateOf(upstream uint64) *upstreamState {
	s := x.upstreams[upstream]
	if s == nil {
		s = &upstreamState{id: upstream}
		x.upstreams[upstream] = s
	}
	return s
}

// addRecord puts the holder in front of the others of its block.
func (x *Index) addRecord(block uint64, h cacheRecord) {
	list := x.blocks[block]
	if list == nil {
		x.addBlock(block)
		list = &[Holders]cacheRecord{}
		x.blocks[block] = list
	}
	at := 0
	for at < Holders-1 && list[at].upstream != h.upstream {
		at++
	}
	copy(list[1:at+1], list[:at])
	list[0] = h
}

// addBlock enters a new block in the ring and drops the oldest one from a full index.
func (x *Index) addBlock(block uint64) {
	if len(x.ring) < cap(x.ring) {
		x.ring = append(x.ring, block)
		return
	}
	delete(x.blocks, x.ring[x.nextEvicted])
	x.ring[x.nextEvicted] = block
	x.nextEvicted = (x.nextEvicted + 1) % len(x.ring)
}

func (x *Index) removeRecord(block uint64, s *upstreamState) {
	list := x.blocks[block]
	if list == nil {
		return
	}
	for i := range list {
		if list[i].upstream == s {
			list[i] = cacheRecord{}
		}
	}
}

// isValid reports whether a record still says something.
func (h *cacheRecord) isValid(now time.Duration) bool {
	s := h.upstream
	if s == nil || h.recordedAt < s.clearedAt || now-h.recordedAt > Life {
		return false
	}
	return !s.hasGap || h.recordedAt >= s.lastGap || now-s.lastGap <= Doubt
}
