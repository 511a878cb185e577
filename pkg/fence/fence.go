package fence

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

// Key identifies an attempt over all entries and their lives.
type Key struct {
	// Call is the identity that the entry gave to the request.
	Call    string
	Attempt int
}

// Message is what a run or a cancel says of its attempt.
type Message struct {
	Key
	// Incarnation is the incarnation of the agent that the attempt is addressed to.
	Incarnation string
	// Issued is a time not after the sending of the attempt, as time since the start
	// of the incarnation.
	Issued time.Duration
}

type phase int

const (
	waiting phase = iota
	started
	ended
	tombstoned
)

type record struct {
	phase   phase
	issued  time.Duration
	startBy time.Duration
}

// finished reports whether the record may be dropped behind the horizon.
func (r *record) finished() bool { return r.phase == ended || r.phase == tombstoned }

const (
	// Window is the time since its issue within which an attempt may start.
	Window = 30 * time.Second
	// DefaultMaxRecords bounds the records of finished attempts.
	DefaultMaxRecords = 32_768
	sweepInterval     = time.Second
)

// Options configure a fence.
type Options struct {
	// Incarnation is the incarnation that the fence stands for.
	Incarnation string
	// MaxRecords bounds the records; the zero value means DefaultMaxRecords. Attempts
	// that wait or run are kept beyond it.
	MaxRecords int
}

// Fence holds the attempts known to one incarnation of an agent. All times are times
// since the start of the incarnation. It is not safe for concurrent use.
type Fence struct {
	incarnation string
	max         int
	records     map[Key]*record
	horizon     time.Duration
	sweepAt     time.Duration
}

// New returns a fence for an incarnation.
func New(o Options) *Fence {
	if o.MaxRecords == 0 {
		o.MaxRecords = DefaultMaxRecords
	}
	return &Fence{incarnation: o.Incarnation, max: o.MaxRecords, records: map[Key]*record{}, horizon: -1}
}

// Incarnation returns the incarnation that the fence stands for.
func (f *Fence) Incarnation() string { return f.incarnation }

// Len returns the number of records held.
func (f *Fence) Len() int { return len(f.records) }

// Admit takes in an attempt that arrived at now and may start within budget since
// its issue. It returns OK when the attempt may wait for its start.
func (f *Fence) Admit(m Message, now, budget time.Duration) code.Code {
	f.sweep(now)
	if c := f.known(m); c != code.OK {
		return c
	}
	startBy := m.Issued + min(budget, Window)
	if now > startBy {
		f.bury(m)
		return code.StartBudgetExpired
	}
	f.makeRoom()
	if m.Issued <= f.horizon {
		return code.StartBudgetExpired
	}
	f.records[m.Key] = &record{phase: waiting, issued: m.Issued, startBy: startBy}
	return code.OK
}

// Reject refuses an attempt that arrived at now without admitting it. It returns why
// when the attempt has not started and never will, and another code otherwise.
func (f *Fence) Reject(m Message, now time.Duration, why code.Code) code.Code {
	f.sweep(now)
	if c := f.known(m); c != code.OK {
		return c
	}
	f.bury(m)
	return why
}

// known returns OK when the fence has not seen the attempt and would have.
func (f *Fence) known(m Message) code.Code {
	if m.Incarnation != f.incarnation {
		return code.StaleIncarnation
	}
	r, ok := f.records[m.Key]
	switch {
	case ok && r.phase == tombstoned:
		return code.Tombstoned
	case ok:
		// A doubled message must not run the attempt again.
		return code.AlreadyInProgress
	case m.Issued <= f.horizon:
		// An earlier copy may have run and been forgotten.
		return code.DeadlineExceeded
	}
	return code.OK
}

// StartBy returns the time by which an admitted attempt must start, 0 when it does
// not wait.
func (f *Fence) StartBy(k Key) time.Duration {
	r, ok := f.records[k]
	if !ok || r.phase != waiting {
		return 0
	}
	return r.startBy
}

// Start marks an admitted attempt as started. It returns OK when the attempt must
// be run now, and the reason why it must not otherwise.
func (f *Fence) Start(k Key, now time.Duration) code.Code {
	r, ok := f.records[k]
	if !ok {
		// It may have started, ended and been forgotten.
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

// Refuse buries an admitted attempt that was refused before its start.
func (f *Fence) Refuse(k Key) {
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

// Cancel reports whether the attempt may have started. When it had not, a tombstone
// keeps it from ever starting. Nothing is known of an attempt that was addressed to
// another incarnation: a restarted agent cannot tell what its predecessor started.
func (f *Fence) Cancel(m Message, now time.Duration) bool {
	f.sweep(now)
	switch f.known(m) {
	case code.OK:
		f.bury(m)
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

// bury leaves a tombstone for an attempt without a record. Behind the horizon none
// is needed: such an attempt cannot start.
func (f *Fence) bury(m Message) {
	f.makeRoom()
	if m.Issued > f.horizon {
		f.records[m.Key] = &record{phase: tombstoned, issued: m.Issued}
	}
}
