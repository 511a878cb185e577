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

// Return is how long a crashed rank is expected to be away: instances restart within a few
// seconds.
const Return = 2 * time.Second

// State is whether a group is stalled.
type State struct {
	// Still is set while the group runs no passes.
	Still bool
	// Opens is the expected time until the group runs again.
	Opens time.Duration
}

// Clock tracks the stalls of one group. It is not safe for concurrent use.
type Clock struct {
	// Form is how long a group takes to form once all its ranks are present.
	Form time.Duration
	// formingSince is since when all ranks of a group that is not running have been present.
	formingSince time.Time
}

// See records the newest states of the ranks and returns the state of the group.
func (c *Clock) See(ranks []mapswitch.Rank, now time.Time) State {
	known, broken := 0, false
	for _, r := range ranks {
		if r.Known {
			known++
			broken = broken || !r.Open
		}
	}
	switch {
	case !broken:
		c.formingSince = time.Time{}
		return State{}
	case known < len(ranks):
		c.formingSince = time.Time{}
		return State{Still: true, Opens: Return}
	}
	if c.formingSince.IsZero() {
		c.formingSince = now
	}
	// A group that takes longer than usual to form is expected to need as much time again as it
	// is overdue.
	took := now.Sub(c.formingSince)
	return State{Still: true, Opens: max(c.Form-took, took-c.Form)}
}
