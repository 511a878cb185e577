package expertmap

import "slices"

// Store is what an owner asks of the platform. Each call is answered by Owner.Read,
// or by Owner.Wrote; a call whose answer does not come ends in Owner.Unknown.
type Store interface {
	// ReadRecord reads the record of the group.
	ReadRecord()
	// WriteRecord writes the record when revision is still the current one.
	WriteRecord(revision int64, r Record)
}

// Wish is the content of the map that a group should run. It is compared by identity.
type Wish = *Map

// Owner carries a group to the map that is wished, under one fencing number. All that
// it must remember stands in the record; a new owner goes on from there. It is not
// safe for concurrent use.
type Owner struct {
	fence int64
	store Store

	record   Record
	revision int64
	known    bool
	busy     bool
	lost     bool

	wish    Wish
	staged  bool
	dead    map[int]bool
	reports map[int]Report
	polled  int
}

// pollTicks is the number of ticks after which a leading rank that runs the decided
// map is asked again.
const pollTicks = 8

// NewOwner returns an owner with the fencing number of its lease.
func NewOwner(fence int64, s Store) *Owner {
	return &Owner{fence: fence, store: s, dead: map[int]bool{}, reports: map[int]Report{}}
}

// Fence returns the fencing number of the owner.
func (o *Owner) Fence() int64 { return o.fence }

// Lost reports whether a higher fencing number was seen. The owner then does nothing.
func (o *Owner) Lost() bool { return o.lost }

// Record returns the newest record known.
func (o *Owner) Record() Record { return o.record }

// Wish sets the content of the map to run. A map that is being staged is finished first,
// unless a dead rank is part of it.
func (o *Owner) Wish(w Wish) {
	o.wish = w
	o.staged = false
}

// Dead notes whether a rank is gone for good.
func (o *Owner) Dead(rank int, dead bool) {
	o.dead[rank] = dead
	if dead {
		delete(o.reports, rank)
	}
}

// Idle reports whether the group runs the decided map and no wish is open.
func (o *Owner) Idle() bool {
	return o.known && o.record.Staged == nil && o.running() && (o.wish == nil || o.staged)
}

// Read takes in the record. Revision 0 means that there is none yet.
func (o *Owner) Read(revision int64, r Record) {
	o.busy = false
	o.know(revision, r)
}

// Wrote takes in that the write took effect.
func (o *Owner) Wrote(revision int64, r Record) {
	o.busy = false
	o.know(revision, r)
}

// Unknown takes in that a call failed, that its answer was lost, or that another
// revision was current. The record is read again before anything else.
func (o *Owner) Unknown() {
	o.busy = false
	o.known = false
}

func (o *Owner) know(revision int64, r Record) {
	o.known = true
	o.revision = revision
	o.record = r
	if r.Fence > o.fence {
		o.lost = true
	}
}

// Report takes in the answer of a rank to an order.
func (o *Owner) Report(r Report) {
	if r.Fence > o.fence {
		o.lost = true
	}
	if !o.dead[r.Rank] {
		o.reports[r.Rank] = r
	}
}

// Tick returns the orders that are due.
func (o *Owner) Tick() []Envelope {
	if o.lost {
		return nil
	}
	o.advance()
	if !o.known || o.record.Fence != o.fence {
		return nil
	}
	return o.orders()
}

// advance takes the next step at the platform, one call at a time.
func (o *Owner) advance() {
	switch {
	case o.busy:
	case !o.known:
		o.busy = true
		o.store.ReadRecord()
	case o.record.Fence < o.fence:
		o.write(o.record.Claim(o.fence))
	case o.record.Staged != nil:
		o.settle()
	case o.wish != nil && !o.staged && o.free():
		o.write(o.record.Stage(*o.wish))
	}
}

// settle decides or abandons the staged map, or waits.
func (o *Owner) settle() {
	m := o.record.Staged
	if o.wish != nil && m.Digest == o.wish.digest() {
		o.staged = true
	}
	if o.hasDead(m) {
		o.staged = false
		o.write(o.record.Abandon())
		return
	}
	if o.heldByAll(m) {
		o.write(o.record.Decide())
	}
}

// free reports whether the next map may be staged: the decided one runs, or cannot run.
func (o *Owner) free() bool {
	m := o.record.Decided
	return !o.hasDead(o.wish) && (m == nil || o.running() || o.hasDead(m))
}

func (o *Owner) write(r Record) {
	o.busy = true
	o.store.WriteRecord(o.revision, r)
}

// orders repeats every order that no report has answered.
func (o *Owner) orders() []Envelope {
	var out []Envelope
	if s := o.record.Staged; s != nil {
		out = o.stage(out, s)
	}
	d := o.record.Decided
	if d == nil {
		return out
	}
	o.polled++
	if o.polled >= pollTicks {
		o.polled = 0
		delete(o.reports, d.Leader())
	}
	if !o.running() {
		out = append(out, Envelope{To: d.Leader(), Message: Switch{Fence: o.fence, Term: o.record.Term, Map: d}})
		return o.stage(out, d)
	}
	return o.retire(out, d)
}

func (o *Owner) stage(out []Envelope, m *Map) []Envelope {
	for _, rank := range m.Ranks {
		if !o.holds(rank, m.Ref) {
			out = append(out, Envelope{To: rank, Message: Stage{Fence: o.fence, Map: m}})
		}
	}
	return out
}

func (o *Owner) retire(out []Envelope, m *Map) []Envelope {
	for _, rank := range m.Ranks {
		older := func(r Ref) bool { return r.Epoch < m.Epoch }
		if slices.ContainsFunc(o.reports[rank].Held, older) {
			out = append(out, Envelope{To: rank, Message: Retire{Fence: o.fence, Below: m.Epoch}})
		}
	}
	return out
}

// running reports whether the leading rank told that it ran the decided map.
func (o *Owner) running() bool {
	d := o.record.Decided
	return d != nil && o.reports[d.Leader()].Ran == d.Ref
}

func (o *Owner) holds(rank int, r Ref) bool {
	return slices.Contains(o.reports[rank].Held, r)
}

func (o *Owner) heldByAll(m *Map) bool {
	for _, rank := range m.Ranks {
		if !o.holds(rank, m.Ref) {
			return false
		}
	}
	return true
}

func (o *Owner) hasDead(m *Map) bool {
	return slices.ContainsFunc(m.Ranks, func(r int) bool { return o.dead[r] })
}
