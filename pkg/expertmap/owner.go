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
	fencingToken int64
	store Store

	record   Record
	revision int64
	recordKnown    bool
	callInFlight     bool
	superseded     bool

	desired    Wish
	desiredStaged  bool
	deadRanks    map[int]bool
	reports map[int]Report
	ticksSincePoll  int
}

// pollIntervalTicks is the number of ticks after which a leading rank that runs the decided
// map is asked again.
const pollIntervalTicks = 8

// NewOwner returns an owner with the fencing number of its lease.
func NewOwner(fence int64, s Store) *Owner {
	return &Owner{fencingToken: fence, store: s, deadRanks: map[int]bool{}, reports: map[int]Report{}}
}

// Fence returns the fencing number of the owner.
func (o *Owner) Fence() int64 { return o.fencingToken }

// Lost reports whether a higher fencing number was seen. The owner then does nothing.
func (o *Owner) Lost() bool { return o.superseded }

// Record returns the newest record known.
func (o *Owner) Record() Record { return o.record }

// Wish sets the content of the map to run. A map that is being staged is finished first,
// unless a dead rank is part of it.
func (o *Owner) Wish(w Wish) {
	o.desired = w
	o.desiredStaged = false
}

// Dead notes whether a rank is gone for good.
func (o *Owner) Dead(rank int, dead bool) {
	o.deadRanks[rank] = dead
	if dead {
		delete(o.reports, rank)
	}
}

// Idle reports whether the group runs the decided map and no wish is open.
func (o *Owner) Idle() bool {
	return o.recordKnown && o.record.Staged == nil && o.isDecidedRunning() && (o.desired == nil || o.desiredStaged)
}

// Read takes in the record. Revision 0 means that there is none yet.
func (o *Owner) Read(revision int64, r Record) {
	o.callInFlight = false
	o.setRecord(revision, r)
}

// Wrote takes in that the write took effect.
func (o *Owner) Wrote(revision int64, r Record) {
	o.callInFlight = false
	o.setRecord(revision, r)
}

// Unknown takes in that a call failed, that its answer was lost, or that another
// revision was current. The record is read again before anything else.
func (o *Owner) Unknown() {
	o.callInFlight = false
	o.recordKnown = false
}

func (o *Owner) setRecord(revision int64, r Record) {
	o.recordKnown = true
	o.revision = revision
	o.record = r
	if r.Fence > o.fencingToken {
		o.superseded = true
	}
}

// Report takes in the answer of a rank to an order.
func (o *Owner) Report(r Report) {
	if r.Fence > o.fencingToken {
		o.superseded = true
	}
	if !o.deadRanks[r.Rank] {
		o.reports[r.Rank] = r
	}
}

// Tick returns the orders that are due.
func (o *Owner) Tick() []Envelope {
	if o.superseded {
		return nil
	}
	o.advanceRecord()
	if !o.recordKnown || o.record.Fence != o.fencingToken {
		return nil
	}
	return o.unconfirmedOrders()
}

// advanceRecord takes the next step at the platform, one call at a time.
func (o *Owner) advanceRecord() {
	switch {
	case o.callInFlight:
	case !o.recordKnown:
		o.callInFlight = true
		o.store.ReadRecord()
	case o.record.Fence < o.fencingToken:
		o.writeRecord(o.record.Claim(o.fencingToken))
	case o.record.Staged != nil:
		o.decideOrAbandon()
	case o.desired != nil && !o.desiredStaged && o.canStage():
		o.writeRecord(o.record.Stage(*o.desired))
	}
}

// decideOrAbandon decides or abandons the staged map, or waits.
func (o *Owner) decideOrAbandon() {
	m := o.record.Staged
	if o.desired != nil && m.Digest == o.desired.digest() {
		o.desiredStaged = true
	}
	if o.hasDeadRank(m) {
		o.desiredStaged = false
		o.writeRecord(o.record.Abandon())
		return
	}
	if o.isLoadedOnAllRanks(m) {
		o.writeRecord(o.record.Decide())
	}
}

// canStage reports whether the next map may be staged: the decided one runs, or cannot run.
func (o *Owner) canStage() bool {
	m := o.record.Decided
	return !o.hasDeadRank(o.desired) && (m == nil || o.isDecidedRunning() || o.hasDeadRank(m))
}

func (o *Owner) writeRecord(r Record) {
	o.callInFlight = true
	o.store.WriteRecord(o.revision, r)
}

// unconfirmedOrders repeats every order that no report has answered.
func (o *Owner) unconfirmedOrders() []Envelope {
	var out []Envelope
	if s := o.record.Staged; s != nil {
		out = o.appendStageOrders(out, s)
	}
	d := o.record.Decided
	if d == nil {
		return out
	}
	o.ticksSincePoll++
	if o.ticksSincePoll >= pollIntervalTicks {
		o.ticksSincePoll = 0
		delete(o.reports, d.Leader())
	}
	if !o.isDecidedRunning() {
		out = append(out, Envelope{To: d.Leader(), Message: Switch{Fence: o.fencingToken, Term: o.record.Term, Map: d}})
		return o.appendStageOrders(out, d)
	}
	return o.appendRetireOrders(out, d)
}

func (o *Owner) appendStageOrders(out []Envelope, m *Map) []Envelope {
	for _, rank := range m.Ranks {
		if !o.hasLoaded(rank, m.Ref) {
			out = append(out, Envelope{To: rank, Message: Stage{Fence: o.fencingToken, Map: m}})
		}
	}
	return out
}

func (o *Owner) appendRetireOrders(out []Envelope, m *Map) []Envelope {
	for _, rank := range m.Ranks {
		older := func(r Ref) bool { return r.Epoch < m.Epoch }
		if slices.ContainsFunc(o.reports[rank].Held, older) {
			out = append(out, Envelope{To: rank, Message: Retire{Fence: o.fencingToken, Below: m.Epoch}})
		}
	}
	return out
}

// isDecidedRunning reports whether the leading rank told that it ran the decided map.
func (o *Owner) isDecidedRunning() bool {
	d := o.record.Decided
	return d != nil && o.reports[d.Leader()].Ran == d.Ref
}

func (o *Owner) hasLoaded(rank int, r Ref) bool {
	return slices.Contains(o.reports[rank].Held, r)
}

func (o *Owner) isLoadedOnAllRanks(m *Map) bool {
	for _, rank := range m.Ranks {
		if !o.hasLoaded(rank, m.Ref) {
			return false
		}
	}
	return true
}

func (o *Owner) hasDeadRank(m *Map) bool {
	return slices.ContainsFunc(m.Ranks, func(r int) bool { return o.deadRanks[r] })
}
