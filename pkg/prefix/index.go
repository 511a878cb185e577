package prefix

import "time"

const (
	// MaxUpstreamsPerBlock is the maximum number of upstreams stored for a block.
	MaxUpstreamsPerBlock = 4
	// RecordTTL is the age at which a record that was not updated is ignored.
	RecordTTL = 5 * time.Minute
	// GapGracePeriod is the time after a gap for which records from before it are valid.
	GapGracePeriod = 20 * time.Second
)

// Events are the cache changes of one upstream since its previous Events.
type Events struct {
	// First is the number of the first event, and Next the number after the last one. Numbers
	// rise within an incarnation of the upstream.
	First int64 `json:"first"`
	Next  int64 `json:"next"`
	// Stored and Removed are hashes of blocks that the cache added and dropped.
	Stored  []uint64 `json:"stored,omitempty"`
	Removed []uint64 `json:"removed,omitempty"`
	// Cleared is set when the upstream lost its cache before these events.
	Cleared bool `json:"cleared,omitempty"`
}

// cacheRecord records that an upstream had a block in its cache.
type cacheRecord struct {
	upstream   *upstreamState
	recordedAt time.Duration
}

// upstreamState is the progress of the events of one upstream.
type upstreamState struct {
	id uint64
	// nextEvent is the number of the next expected event.
	nextEvent int64
	// lastGap is the time of the last gap; older records are valid until lastGap + GapGracePeriod.
	lastGap time.Duration
	// clearedAt is the time before which records are invalid.
	clearedAt time.Duration
	hasGap    bool
}

// Index is a bounded map of blocks to upstreams. Times are durations on the clock of the caller.
// It is not safe for concurrent use.
type Index struct {
	blocks map[uint64]*[MaxUpstreamsPerBlock]cacheRecord
	// ring lists the blocks in the order of their insertion; once it is full, nextEvicted is the
	// index of the oldest.
	ring        []uint64
	nextEvicted int
	upstreams   map[uint64]*upstreamState
}

// New returns an empty index of at most size blocks.
func New(size int) *Index {
	return &Index{
		blocks:    make(map[uint64]*[MaxUpstreamsPerBlock]cacheRecord, size),
		ring:      make([]uint64, 0, size),
		upstreams: map[uint64]*upstreamState{},
	}
}

// Len returns the number of blocks.
func (x *Index) Len() int { return len(x.blocks) }

// RecordCached records that an upstream has the blocks in its cache at time now.
func (x *Index) RecordCached(upstream uint64, blocks []uint64, now time.Duration) {
	s := x.stateOf(upstream)
	for _, b := range blocks {
		x.addRecord(b, cacheRecord{s, now})
	}
}

// Apply applies events of an upstream. Events that were applied before are ignored.
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
	x.RecordCached(upstream, e.Stored, now)
}

// Invalidate invalidates all records of an upstream.
func (x *Index) Invalidate(upstream uint64, now time.Duration) {
	s := x.stateOf(upstream)
	s.clearedAt = now
	s.nextEvent = 0
}

// stateOf returns the state of an upstream and creates it if needed.
func (x *Index) stateOf(upstream uint64) *upstreamState {
	s := x.upstreams[upstream]
	if s == nil {
		s = &upstreamState{id: upstream}
		x.upstreams[upstream] = s
	}
	return s
}

// addRecord puts the record in front of the others of its block, in place of an earlier one of
// the same upstream or else of the oldest.
func (x *Index) addRecord(block uint64, r cacheRecord) {
	list := x.blocks[block]
	if list == nil {
		x.addBlock(block)
		list = &[MaxUpstreamsPerBlock]cacheRecord{}
		x.blocks[block] = list
	}
	at := 0
	for at < MaxUpstreamsPerBlock-1 && list[at].upstream != r.upstream {
		at++
	}
	copy(list[1:at+1], list[:at])
	list[0] = r
}

// addBlock adds a new block to the ring and drops the oldest block of a full index.
func (x *Index) addBlock(block uint64) {
	if len(x.ring) < cap(x.ring) {
		x.ring = append(x.ring, block)
		return
	}
	delete(x.blocks, x.ring[x.nextEvicted])
	x.ring[x.nextEvicted] = block
	x.nextEvicted = (x.nextEvicted + 1) % len(x.ring)
}

// removeRecord removes the record of an upstream for a block.
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

// isValid reports whether the record is neither empty, expired, cleared nor invalidated by a
// gap.
func (r *cacheRecord) isValid(now time.Duration) bool {
	s := r.upstream
	if s == nil || r.recordedAt < s.clearedAt || now-r.recordedAt > RecordTTL {
		return false
	}
	return !s.hasGap || r.recordedAt >= s.lastGap || now-s.lastGap <= GapGracePeriod
}
