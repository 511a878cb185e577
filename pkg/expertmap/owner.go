package expertmap

import "slices"

// Store is the access of an owner to the group's record at the platform. The calls do not
// block. The result is passed to Owner.Read or Owner.Wrote; when a call fails or its outcome
// is unknown, Owner.Unknown must be called.
type Store interface {
	// ReadRecord starts to read the record of the group.
	ReadRecord()
	// WriteRecord starts to write the record on condition that revision is the current one.
	WriteRecord(revision int64, r Record)
}

// Wish is the content of the map that a group should run. Its epoch and digest are not used.
type Wish = *Map

// Owner brings a group to the desired map, under one fencing token. Its durable state is
// the record, from which a new owner continues. It is not safe for concurrent use.
type Owner struct {
	fencingToken int64
	store        Store

	record       Record
	revision     int64
	recordKnown  bool
	callInFlight bool
	superseded   bool

	desired        Wish
	desiredStaged  bool
	deadRanks      map[int]bool
	reports        map[int]Report
	ticksSincePoll int
}

// pollIntervalTicks is the number of ticks after which the report of the leading rank is
// discarded, so that the next order obtains a new one.
const pollIntervalTicks = 8

// NewOwner returns an owner with the fencing token of its lease.
func NewOwner(token int64, s Store) *Owner {
	return &Owner{fencingToken: token, store: s, deadRanks: map[int]bool{}, reports: map[int]Report{}}
}

// Fence returns the fencing token of the owner.
func (o *Owner) Fence() int64 { return o.fencingToken }

// Lost reports whether a higher fencing token was seen. The owner then sends no more orders.
func (o *Owner) Lost() bool { return o.superseded }

// Record returns the record as last read or written.
func (o *Owner) Record() Record { return o.record }

// Wish sets the content of the map to run. A map that is already staged is decided first,
// unless one of its ranks is dead.
func (o *Owner) Wish(w Wish) {
	o.desired = w
	o.desiredStaged = false
}

// Dead sets whether a rank is permanently lost.
func (o *Owner) Dead(rank int, dead bool) {
	o.deadRanks[rank] = dead
	if dead {
		delete(o.reports, rank)
	}
}

// Idle reports whether the group runs the decided map and the desired map, if any, has
// been staged and decided.
func (o *Owner) Idle() bool {
	return o.recordKnown && o.record.Staged == nil && o.isDecidedRunning() && (o.desired == nil || o.desiredStaged)
}

// Read handles the result of ReadRecord. Revision 0 means that the record does not exist.
func (o *Owner) Read(revision int64, r Record) {
	o.callInFlight = false
	o.setRecord(revision, r)
}

// Wrote handles a successful WriteRecord: the record and its new revision.
func (o *Owner) Wrote(revision int64, r Record) {
	o.callInFlight = false
	o.setRecord(revision, r)
}

// Unknown handles a call that failed, whose response was lost, or that found another
// revision. The record is read again before the next write.
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

// Report handles the response of a rank to an order. Reports of dead ranks are ignored.
func (o *Owner) Report(r Report) {
	if r.Fence > o.fencingToken {
		o.superseded = true
	}
	if !o.deadRanks[r.Rank] {
		o.reports[r.Rank] = r
	}
}

// Tick starts the next read or write of the record, if one is due, and returns the orders to send.
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

// advanceRecord starts the next read or write of the record. One call is in flight at a time.
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

// decideOrAbandon abandons the staged map when one of its ranks is dead, and decides it when
// all of its ranks have loaded it.
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

// canStage reports whether the desired map may be staged: all its ranks are alive, and the
// decided map runs or cannot run.
func (o *Owner) canStage() bool {
	m := o.record.Decided
	return !o.hasDeadRank(o.desired) && (m == nil || o.isDecidedRunning() || o.hasDeadRank(m))
}

func (o *Owner) writeRecord(r Record) {
	o.callInFlight = true
	o.store.WriteRecord(o.revision, r)
}

// unconfirmedOrders returns the orders whose effect no report has confirmed.
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

// appendStageOrders orders each rank that has not loaded m to load it.
func (o *Owner) appendStageOrders(out []Envelope, m *Map) []Envelope {
	for _, rank := range m.Ranks {
		if !o.hasLoaded(rank, m.Ref) {
			out = append(out, Envelope{To: rank, Message: Stage{Fence: o.fencingToken, Map: m}})
		}
	}
	return out
}

// appendRetireOrders orders each rank of m with maps of older epochs to drop these.
func (o *Owner) appendRetireOrders(out []Envelope, m *Map) []Envelope {
	for _, rank := range m.Ranks {
		older := func(r Ref) bool { return r.Epoch < m.Epoch }
		if slices.ContainsFunc(o.reports[rank].Held, older) {
			out = append(out, Envelope{To: rank, Message: Retire{Fence: o.fencingToken, Below: m.Epoch}})
		}
	}
	return out
}

// isDecidedRunning reports whether the newest report of the leading rank names the decided
// map as the one that ran.
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
