// Package standstill determines whether a lock-step group is stalled and for how long.
//
// A rank that crashes breaks its whole group. The group forms again once all ranks are back,
// which takes a known time. Until then no rank runs requests, so entries should queue or reject
// requests instead of sending them: every attempt would be rejected.
//
// The package does no I/O, reads no clock and starts no goroutines.
package standstill

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
)

// RankReturnTime is the expected time until a crashed rank is back: instances restart within a
// few seconds.
const RankReturnTime = 2 * time.Second

// State tells whether a group is stalled and for how long.
type State struct {
	// Stalled is set while the group runs no passes.
	Stalled bool
	// ResumesIn is the expected time until the group runs again.
	ResumesIn time.Duration
}

// FirstContactTime is how long a new leader may take to reach ranks for the first time. Until then a rank
// that it has not reached does not count as missing: after a loss of many instances the first calls are slow.
const FirstContactTime = time.Second

// ExpectedFormTime returns how much longer a group needs that has been forming for a time, if that usually takes
// formTime. A group that takes longer than usual is expected to need as much time again as it is overdue.
func ExpectedFormTime(formTime, took time.Duration) time.Duration {
	return max(formTime-took, took-formTime)
}

// Tracker tracks the stalls of one group. It is not safe for concurrent use.
type Tracker struct {
	// FormTime is how long a group takes to form once all its ranks are present.
	FormTime time.Duration
	// startedAt is the time of the first update with a rank, and reached has the ranks that have been known since.
	startedAt time.Time
	reached   []bool
	// formingSince is the time since which all ranks of a stalled group have been present. It is
	// zero while the group runs or a rank is missing.
	formingSince time.Time
}

// Update records the newest states of the ranks and returns the state of the group.
func (t *Tracker) Update(ranks []mapswitch.RankState, now time.Time) State {
	missing, broken := t.recordRanks(ranks, now)
	switch {
	case !broken:
		t.formingSince = time.Time{}
		return State{}
	case missing:
		t.formingSince = time.Time{}
		return State{Stalled: true, ResumesIn: RankReturnTime}
	}
	if t.formingSince.IsZero() {
		t.formingSince = now
	}
	return State{Stalled: true, ResumesIn: ExpectedFormTime(t.FormTime, now.Sub(t.formingSince))}
}

// recordRanks reports whether a rank is missing and whether a rank says that its group is broken.
func (t *Tracker) recordRanks(ranks []mapswitch.RankState, now time.Time) (missing, broken bool) {
	if len(t.reached) != len(ranks) {
		t.startedAt, t.reached = now, make([]bool, len(ranks))
	}
	for i, r := range ranks {
		t.reached[i] = t.reached[i] || r.Known
		broken = broken || r.Known && !r.GroupFormed
		missing = missing || !r.Known && (t.reached[i] || now.Sub(t.startedAt) > FirstContactTime)
	}
	return missing, broken
}
