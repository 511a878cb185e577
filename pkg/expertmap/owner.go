package expertmap

import "slices"

// RecordStore is the access of an owner to the group's record at the platform. The calls
// do not block. The result is passed to Owner.HandleRead or Owner.HandleWritten; when a call
// fails or its outcome is unknown, Owner.HandleUnknownOutcome must be called.
type RecordStore interface {
	// RequestRead starts to read the record of the group.
	RequestRead()
	// RequestWrite starts to write the record on condition that revision is the current one.
	RequestWrite(revision int64, r Record)
}

// DesiredMap is the content of the map that a group should run. Its epoch and digest are not
// used.
type DesiredMap = *Map

// Owner brings a group to the desired map, under one fencing token. Its durable state is
// the record, from which a new owner continues. It is not safe for concurrent use.
type Owner struct {
	fencingToken int64
	store        RecordStore

	record       Record
	revision     int64
	recordKnown  bool
	callInFlight bool
	superseded   bool

	desired        DesiredMap
	desiredStaged  bool
	deadRanks      map[int]bool
	reports        map[int]RankReport
	ticksSincePoll int
}

// pollIntervalTicks is the number of ticks after which the report of the leading rank is
// discarded, so that the next order obtains a new one.
const pollIntervalTicks = 8

// NewOwner returns an owner with the fencing token of its lease.
func NewOwner(fencingToken int64, s RecordStore) *Owner {
	return &Owner{fencingToken: fencingToken, store: s, deadRanks: map[int]bool{}, reports: map[int]RankReport{}}
}

// FencingToken returns the fencing token of the owner.
func (o *Owner) FencingToken() int64 { return o.fencingToken }

// IsSuperseded reports whether a higher fencing token was seen. The owner then sends no more
// orders.
func (o *Owner) IsSuperseded() bool { return o.superseded }

// Record returns the record as last read or written.
func (o *Owner) Record() Record { return o.record }

// SetDesiredMap sets the content of the map to run. A map that is already staged is decided
// first, unless one of its ranks is dead.
func (o *Owner) SetDesiredMap(m DesiredMap) {
	o.desired = m
	o.desiredStaged = false
}

// SetRankDead sets whether a rank is permanently lost.
func (o *Owner) SetRankDead(rank int, dead bool) {
	o.deadRanks[rank] = dead
	if dead {
		delete(o.reports, rank)
	}
}

// HasConverged reports whether the group runs the decided map and the desired map, if any, has
// been staged and decided.
func (o *Owner) HasConverged() bool {
	return o.recordKnown && o.record.Staged == nil && o.isDecidedRunning() && (o.desired == nil || o.desiredStaged)
}

// HandleRead handles the result of RequestRead. Revision 0 means that the record does not exist.
func (o *Owner) HandleRead(revision int64, r Record) {
	o.callInFlight = false
	o.setRecord(revision, r)
}

// HandleWritten handles a successful RequestWrite: the record and its new revision.
func (o *Owner) HandleWritten(revision int64, r Record) {
	o.callInFlight = false
	o.setRecord(revision, r)
}

// HandleUnknownOutcome handles a call that failed, whose response was lost, or that found another
// revision. The record is read again before the next write.
func (o *Owner) HandleUnknownOutcome() {
	o.callInFlight = false
	o.recordKnown = false
}

func (o *Owner) setRecord(revision int64, r Record) {
	o.recordKnown = true
	o.revision = revision
	o.record = r
	if r.FencingToken > o.fencingToken {
		o.superseded = true
	}
}

// HandleReport handles the response of a rank to an order. Reports of dead ranks are ignored.
func (o *Owner) HandleReport(r RankReport) {
	if r.FencingToken > o.fencingToken {
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
	if !o.recordKnown || o.record.FencingToken != o.fencingToken {
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
		o.store.RequestRead()
	case o.record.FencingToken < o.fencingToken:
		o.writeRecord(o.record.WithOwner(o.fencingToken))
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
	o.store.RequestWrite(o.revision, r)
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
		out = append(out, Envelope{To: d.Leader(), Message: SwitchOrder{FencingToken: o.fencingToken, Term: o.record.Term, Map: d}})
		return o.appendStageOrders(out, d)
	}
	return o.appendRetireOrders(out, d)
}

// appendStageOrders orders each rank that has not loaded m to load it.
func (o *Owner) appendStageOrders(out []Envelope, m *Map) []Envelope {
	for _, rank := range m.Ranks {
		if !o.hasLoaded(rank, m.Ref) {
			out = append(out, Envelope{To: rank, Message: StageOrder{FencingToken: o.fencingToken, Map: m}})
		}
	}
	return out
}

// appendRetireOrders orders each rank of m with maps of older epochs to drop these.
func (o *Owner) appendRetireOrders(out []Envelope, m *Map) []Envelope {
	for _, rank := range m.Ranks {
		older := func(r Ref) bool { return r.Epoch < m.Epoch }
		if slices.ContainsFunc(o.reports[rank].Loaded, older) {
			out = append(out, Envelope{To: rank, Message: RetireOrder{FencingToken: o.fencingToken, BelowEpoch: m.Epoch}})
		}
	}
	return out
}

// isDecidedRunning reports whether the newest report of the leading rank names the decided
// map as the one that ran.
func (o *Owner) isDecidedRunning() bool {
	d := o.record.Decided
	return d != nil && o.reports[d.Leader()].LastComputed == d.Ref
}

func (o *Owner) hasLoaded(rank int, r Ref) bool {
	return slices.Contains(o.reports[rank].Loaded, r)
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
