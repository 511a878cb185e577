package fence

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

// Key identifies an attempt.
type Key struct {
	Request string
	Attempt int
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
	startBy time.Time
	forget  time.Time
}

// Keep is the time for which ended attempts and tombstones are remembered.
const Keep = 10 * time.Minute

// Fence holds the attempts known to one incarnation of an agent. It is not safe for
// concurrent use.
type Fence struct {
	incarnation string
	records     map[Key]*record
	sweepAt     time.Time
}

// New returns a fence for an incarnation.
func New(incarnation string) *Fence {
	return &Fence{incarnation: incarnation, records: map[Key]*record{}}
}

// Incarnation returns the incarnation that the fence stands for.
func (f *Fence) Incarnation() string { return f.incarnation }

// Admit takes in an attempt that arrived at now. It returns OK when the attempt may
// wait for its start.
func (f *Fence) Admit(k Key, incarnation string, now time.Time, budget time.Duration) code.Code {
	f.sweep(now)
	if incarnation != f.incarnation {
		return code.StaleIncarnation
	}
	if r, ok := f.records[k]; ok {
		if r.phase == tombstoned {
			return code.Tombstoned
		}
		// A doubled message must not run the attempt again.
		return code.AlreadyInProgress
	}
	f.records[k] = &record{phase: waiting, startBy: now.Add(budget)}
	return code.OK
}

// Start marks an admitted attempt as started. It returns OK when the attempt must
// be run now, and the reason why it must not otherwise.
func (f *Fence) Start(k Key, now time.Time) code.Code {
	r, ok := f.records[k]
	if !ok || r.phase == tombstoned {
		return code.Tombstoned
	}
	if r.phase != waiting {
		return code.AlreadyInProgress
	}
	if now.After(r.startBy) {
		f.bury(k, now)
		return code.StartBudgetExpired
	}
	r.phase = started
	return code.OK
}

// Refuse buries an admitted attempt that was refused before its start.
func (f *Fence) Refuse(k Key, now time.Time) {
	if r, ok := f.records[k]; ok && r.phase == waiting {
		f.bury(k, now)
	}
}

// End marks a started attempt as ended.
func (f *Fence) End(k Key, now time.Time) {
	if r, ok := f.records[k]; ok && r.phase == started {
		r.phase = ended
		r.forget = now.Add(Keep)
	}
}

// Cancel reports whether the attempt had started. When it had not, a tombstone
// keeps it from ever starting. An attempt addressed to another incarnation may have
// started there, unless it was refused; Cancel then reports true.
func (f *Fence) Cancel(k Key, incarnation string, now time.Time) bool {
	if incarnation != f.incarnation {
		return true
	}
	r, ok := f.records[k]
	if ok && (r.phase == started || r.phase == ended) {
		return true
	}
	f.bury(k, now)
	return false
}

func (f *Fence) bury(k Key, now time.Time) {
	f.records[k] = &record{phase: tombstoned, forget: now.Add(Keep)}
}

// sweep forgets old records, at most once a minute.
func (f *Fence) sweep(now time.Time) {
	if now.Before(f.sweepAt) {
		return
	}
	f.sweepAt = now.Add(time.Minute)
	for k, r := range f.records {
		if !r.forget.IsZero() && now.After(r.forget) {
			delete(f.records, k)
		}
	}
}
