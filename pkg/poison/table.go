package poison

import (
	"slices"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
)

// State is the assessment of a fingerprint.
type State string

// States of a fingerprint.
const (
	// Unknown means that there is no verdict on the request.
	Unknown State = ""
	// Suspect means that the request was running when an upstream crashed.
	Suspect State = "suspect"
	// Cleared means that the request ran to its end after it was a suspect.
	Cleared State = "cleared"
	// Convicted means that an upstream crashed while it ran only this request.
	Convicted State = "convicted"
)

// Verdict is an observed state of a fingerprint.
type Verdict struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	State       State       `json:"state"`
	// Stamp is the time of the observation.
	Stamp event.Stamp `json:"stamp"`
}

// Options configures a Table.
type Options struct {
	// MaxFingerprints is the maximum number of fingerprints stored; zero means
	// DefaultMaxFingerprints.
	MaxFingerprints int
}

const (
	// DefaultMaxFingerprints is the default of Options.MaxFingerprints.
	DefaultMaxFingerprints = 4096
	// SuspectTTL is the time for which a suspect or cleared verdict is stored.
	SuspectTTL = 10 * time.Minute
	// ConvictionTTL is the time for which a convicted request is rejected.
	ConvictionTTL = 24 * time.Hour
	// RecentVerdictAge is the time for which a verdict is distributed to other processes.
	RecentVerdictAge = 10 * time.Second
	// MaxRecentVerdicts is the maximum number of verdicts in one message.
	MaxRecentVerdicts = 16
)

// record is a verdict with the time at which this process merged it.
type record struct {
	verdict  Verdict
	mergedAt time.Time
}

func (r record) isExpired(now time.Time) bool {
	ttl := SuspectTTL
	if r.verdict.State == Convicted {
		ttl = ConvictionTTL
	}
	return now.Sub(r.mergedAt) > ttl
}

// Table stores verdicts. It is not safe for concurrent use.
type Table struct {
	maxFingerprints int
	records         map[Fingerprint]record
}

// New returns an empty Table.
func New(o Options) *Table {
	if o.MaxFingerprints == 0 {
		o.MaxFingerprints = DefaultMaxFingerprints
	}
	return &Table{maxFingerprints: o.MaxFingerprints, records: map[Fingerprint]record{}}
}

// Len returns the number of fingerprints stored.
func (t *Table) Len() int { return len(t.records) }

// State returns the state of a fingerprint, Unknown when it has none or it expired.
func (t *Table) State(f Fingerprint, now time.Time) State {
	r, ok := t.records[f]
	if !ok || r.isExpired(now) {
		return Unknown
	}
	return r.verdict.State
}

// Merge merges a verdict and reports whether the state of its fingerprint changed.
func (t *Table) Merge(v Verdict, now time.Time) bool {
	old, ok := t.records[v.Fingerprint]
	if ok && !old.isExpired(now) && !supersedes(v, old.verdict) {
		return false
	}
	if !ok && len(t.records) >= t.maxFingerprints {
		t.evict(now)
	}
	t.records[v.Fingerprint] = record{verdict: v, mergedAt: now}
	return !ok || old.verdict.State != v.State
}

// supersedes reports whether v replaces old.
func supersedes(v, old Verdict) bool {
	if old.State == Convicted || v.State == Convicted {
		return v.State == Convicted && old.State != Convicted
	}
	return old.Stamp.Before(v.Stamp)
}

// evict makes room for one record. It removes expired records first, then the oldest that is not
// a conviction, then the oldest.
func (t *Table) evict(now time.Time) {
	var victim Fingerprint
	for f, r := range t.records {
		if r.isExpired(now) {
			delete(t.records, f)
			continue
		}
		if victim == "" || evictsBefore(r, t.records[victim]) {
			victim = f
		}
	}
	if len(t.records) >= t.maxFingerprints {
		delete(t.records, victim)
	}
}

// evictsBefore reports whether a is evicted before b.
func evictsBefore(a, b record) bool {
	if (a.verdict.State == Convicted) != (b.verdict.State == Convicted) {
		return b.verdict.State == Convicted
	}
	return a.mergedAt.Before(b.mergedAt)
}

// RecentVerdicts returns the newest verdicts, for distribution to other processes.
func (t *Table) RecentVerdicts(now time.Time) []Verdict {
	var recent []record
	for _, r := range t.records {
		if now.Sub(r.mergedAt) <= RecentVerdictAge {
			recent = append(recent, r)
		}
	}
	slices.SortFunc(recent, func(a, b record) int { return b.mergedAt.Compare(a.mergedAt) })
	out := make([]Verdict, 0, min(len(recent), MaxRecentVerdicts))
	for _, r := range recent[:min(len(recent), MaxRecentVerdicts)] {
		out = append(out, r.verdict)
	}
	return out
}
