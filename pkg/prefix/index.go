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

// holder is an upstream that holds a block.
type holder struct {
	source *source
	at     time.Duration
}

// source is what is known of the events of an upstream.
type source struct {
	upstream uint64
	next     int64
	// gap is the time of the last gap; older records count until gap + Doubt.
	gap time.Duration
	// cleared is the time before which records do not count.
	cleared time.Duration
	hasGap  bool
}

// Index is a bounded map of blocks to upstreams. It is not safe for concurrent use.
type Index struct {
	blocks  map[uint64]*[Holders]holder
	ring    []uint64
	next    int
	sources map[uint64]*source
}

// New returns an empty index of at most size blocks.
func New(size int) *Index {
	return &Index{
		blocks:  make(map[uint64]*[Holders]holder, size),
		ring:    make([]uint64, 0, size),
		sources: map[uint64]*source{},
	}
}

// Len returns the number of blocks.
func (x *Index) Len() int { return len(x.blocks) }

// Learn notes that an upstream holds the blocks since now.
func (x *Index) Learn(upstream uint64, blocks []uint64, now time.Duration) {
	s := x.source(upstream)
	for _, b := range blocks {
		x.store(b, holder{s, now})
	}
}

// Apply takes in events of an upstream. Events that were taken in before are ignored.
func (x *Index) Apply(upstream uint64, e Events, now time.Duration) {
	s := x.source(upstream)
	if e.Cleared {
		s.cleared = now
		s.next = e.First
	}
	if e.Next <= s.next && e.Next > 0 {
		return
	}
	if e.First > s.next {
		s.gap = now
		s.hasGap = true
	}
	s.next = e.Next
	for _, b := range e.Removed {
		x.remove(b, s)
	}
	x.Learn(upstream, e.Stored, now)
}

// Forget drops what is known of an upstream.
func (x *Index) Forget(upstream uint64, now time.Duration) {
	s := x.source(upstream)
	s.cleared = now
	s.next = 0
}

func (x *Index) source(upstream uint64) *source {
	s := x.sources[upstream]
	if s == nil {
		s = &source{upstream: upstream}
		x.sources[upstream] = s
	}
	return s
}

// store puts the holder in front of the others of its block.
func (x *Index) store(block uint64, h holder) {
	list := x.blocks[block]
	if list == nil {
		x.makeRoom(block)
		list = &[Holders]holder{}
		x.blocks[block] = list
	}
	at := 0
	for at < Holders-1 && list[at].source != h.source {
		at++
	}
	copy(list[1:at+1], list[:at])
	list[0] = h
}

// makeRoom enters a new block in the ring and drops the oldest one from a full index.
func (x *Index) makeRoom(block uint64) {
	if len(x.ring) < cap(x.ring) {
		x.ring = append(x.ring, block)
		return
	}
	delete(x.blocks, x.ring[x.next])
	x.ring[x.next] = block
	x.next = (x.next + 1) % len(x.ring)
}

func (x *Index) remove(block uint64, s *source) {
	list := x.blocks[block]
	if list == nil {
		return
	}
	for i := range list {
		if list[i].source == s {
			list[i] = holder{}
		}
	}
}

// counts reports whether a record still says something.
func (h *holder) counts(now time.Duration) bool {
	s := h.source
	if s == nil || h.at < s.cleared || now-h.at > Life {
		return false
	}
	return !s.hasGap || h.at >= s.gap || now-s.gap <= Doubt
}
