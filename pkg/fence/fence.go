package fence

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

// Key identifies an attempt across all entries and their incarnations.
type Key struct {
	// CallID is the ID that the entry assigned to the request.
	CallID string
	// Attempt is the number of the attempt of the request.
	Attempt int
}

// Message identifies the attempt that a run or cancel message refers to.
type Message struct {
	Key
	// Incarnation is the incarnation of the agent that the attempt is addressed to.
	Incarnation string
	// IssuedAt is the issue time of the attempt, as time since the start of the incarnation.
	// It is never later than the actual time of sending.
	IssuedAt time.Duration
}

// phase is the state of a recorded attempt.
type phase int

const (
	waiting phase = iota
	started
	ended
	// tombstoned attempts have not started and never will.
	tombstoned
)

// record is the state of one attempt. Issue time and latest start are times since the start of
// the incarnation.
type record struct {
	phase    phase
	issuedAt time.Duration
	startBy  time.Duration
}

// finished reports whether the record may be dropped once it is behind the horizon.
func (r *record) finished() bool { return r.phase == ended || r.phase == tombstoned }

const (
	// MaxStartDelay is the longest time from the issue of an attempt to its start.
	MaxStartDelay = 30 * time.Second
	// DefaultMaxRecords is the default limit on the number of records.
	DefaultMaxRecords = 32_768
	// sweepInterval is the shortest time between two sweeps of old records.
	sweepInterval = time.Second
)

// Options configure a fence.
type Options struct {
	// Incarnation is the incarnation of the agent that the fence belongs to.
	Incarnation string
	// MaxRecords limits the number of records; the zero value means DefaultMaxRecords.
	// Records of attempts that wait or run are kept even above the limit.
	MaxRecords int
}

// Fence records the attempts known to one incarnation of an agent. All times are times
// since the start of the incarnation. It is not safe for concurrent use.
type Fence struct {
	incarnation string
	maxRecords  int
	records     map[Key]*record
	horizon     time.Duration
	nextSweepAt time.Duration
}

// New returns a fence without records.
func New(o Options) *Fence {
	if o.MaxRecords == 0 {
		o.MaxRecords = DefaultMaxRecords
	}
	return &Fence{incarnation: o.Incarnation, maxRecords: o.MaxRecords, records: map[Key]*record{}, horizon: -1}
}

// Incarnation returns the incarnation of the agent that the fence belongs to.
func (f *Fence) Incarnation() string { return f.incarnation }

// Len returns the number of records.
func (f *Fence) Len() int { return len(f.records) }

// Admit records an attempt that arrived at now and may start within budget after its issue
// time. It returns OK when the attempt may wait for its start, and the reason for the
// rejection otherwise.
func (f *Fence) Admit(m Message, now, budget time.Duration) code.Code {
	f.sweep(now)
	if c := f.checkNew(m); c != code.OK {
		return c
	}
	startBy := m.IssuedAt + min(budget, MaxStartDelay)
	if now > startBy {
		f.addTombstone(m)
		return code.StartBudgetExpired
	}
	f.makeRoom()
	if m.IssuedAt <= f.horizon {
		return code.StartBudgetExpired
	}
	f.records[m.Key] = &record{phase: waiting, issuedAt: m.IssuedAt, startBy: startBy}
	return code.OK
}

// Reject rejects an attempt that arrived at now without admitting it. It returns reason
// if the attempt has not started and never will, and another code otherwise.
func (f *Fence) Reject(m Message, now time.Duration, reason code.Code) code.Code {
	f.sweep(now)
	if c := f.checkNew(m); c != code.OK {
		return c
	}
	f.addTombstone(m)
	return reason
}

// checkNew returns OK when the attempt is certainly new: it has no record and would still have
// one if it had arrived before. Otherwise it returns the code for the state of the attempt.
func (f *Fence) checkNew(m Message) code.Code {
	if m.Incarnation != f.incarnation {
		return code.StaleIncarnation
	}
	r, ok := f.records[m.Key]
	switch {
	case ok && r.phase == tombstoned:
		return code.Tombstoned
	case ok:
		// A duplicate message must not run the attempt again.
		return code.AlreadyInProgress
	case m.IssuedAt <= f.horizon:
		// An earlier copy may have run and its record may have been dropped.
		return code.DeadlineExceeded
	}
	return code.OK
}

// StartBy returns the time by which an admitted attempt must start, or 0 if the attempt is
// not waiting.
func (f *Fence) StartBy(k Key) time.Duration {
	r, ok := f.records[k]
	if !ok || r.phase != waiting {
		return 0
	}
	return r.startBy
}

// Start marks an admitted attempt as started. It returns OK when the caller must run the
// attempt now, and otherwise the reason why it must not.
func (f *Fence) Start(k Key, now time.Duration) code.Code {
	r, ok := f.records[k]
	if !ok {
		// It may have started and ended, and its record may have been dropped.
		return code.DeadlineExceeded
	}
	if r.phase == tombstoned {
		return code.Tombstoned
	}
	if r.phase != waiting {
		return code.AlreadyInProgress
	}
	if now > r.startBy {
		r.phase = tombstoned
		return code.StartBudgetExpired
	}
	r.phase = started
	return code.OK
}

// RejectAdmitted leaves a tombstone for an admitted attempt that is rejected before its start.
func (f *Fence) RejectAdmitted(k Key) {
	if r, ok := f.records[k]; ok && r.phase == waiting {
		r.phase = tombstoned
	}
}

// End marks a started attempt as ended.
func (f *Fence) End(k Key) {
	if r, ok := f.records[k]; ok && r.phase == started {
		r.phase = ended
	}
}

// Cancel reports whether the attempt may have started. If it has not, Cancel leaves a
// tombstone so that it never starts. An attempt that was addressed to another incarnation
// may have started: a restarted agent has no record of what the earlier incarnation
// started.
func (f *Fence) Cancel(m Message, now time.Duration) bool {
	f.sweep(now)
	switch f.checkNew(m) {
	case code.OK:
		f.addTombstone(m)
		return false
	case code.Tombstoned:
		return false
	case code.AlreadyInProgress:
		r := f.records[m.Key]
		if r.phase == waiting {
			r.phase = tombstoned
			return false
		}
	}
	return true
}

// addTombstone records a tombstone for an attempt without a record. An attempt behind the horizon
// cannot start and needs none.
func (f *Fence) addTombstone(m Message) {
	f.makeRoom()
	if m.IssuedAt > f.horizon {
		f.records[m.Key] = &record{phase: tombstoned, issuedAt: m.IssuedAt}
	}
}
