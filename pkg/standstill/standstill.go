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

// Tracker tracks the stalls of one group. It is not safe for concurrent use.
type Tracker struct {
	// FormTime is how long a group takes to form once all its ranks are present.
	FormTime time.Duration
	// formingSince is the time since which all ranks of a stalled group have been present. It is
	// zero while the group runs or a rank is missing.
	formingSince time.Time
}

// Update records the newest states of the ranks and returns the state of the group.
func (t *Tracker) Update(ranks []mapswitch.RankState, now time.Time) State {
	known, broken := 0, false
	for _, r := range ranks {
		if r.Known {
			known++
			broken = broken || !r.GroupFormed
		}
	}
	switch {
	case !broken:
		t.formingSince = time.Time{}
		return State{}
	case known < len(ranks):
		t.formingSince = time.Time{}
		return State{Stalled: true, ResumesIn: RankReturnTime}
	}
	if t.formingSince.IsZero() {
		t.formingSince = now
	}
	// A group that takes longer than usual to form is expected to need as much time again as it
	// is overdue.
	took := now.Sub(t.formingSince)
	return State{Stalled: true, ResumesIn: max(t.FormTime-took, took-t.FormTime)}
}
