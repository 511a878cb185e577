// Package standstill judges whether a lock-step group stands still and for how long.
//
// A rank that crashes breaks its whole group. The group forms anew once all ranks are back,
// which takes a known time. Until then no rank runs anything, and entries do better to keep
// or refuse requests than to send them: every attempt would be refused.
//
// The package has no I/O, no clock and no goroutines.
package standstill

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
)

// Return is how long a rank that crashed is expected to stay away: instances come back
// within a few seconds.
const Return = 2 * time.Second

// State is whether a group runs.
type State struct {
	// Still is set while the group runs no passes.
	Still bool
	// Opens is the expected time until it runs again.
	Opens time.Duration
}

// Clock follows one group. It is not safe for concurrent use.
type Clock struct {
	// Form is how long a group takes to form once all its ranks are there.
	Form time.Duration
	// forming is since when all ranks have been there, in a group that does not run.
	forming time.Time
}

// See takes in the newest look at the ranks of the group.
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
		c.forming = time.Time{}
		return State{}
	case known < len(ranks):
		c.forming = time.Time{}
		return State{Still: true, Opens: Return}
	}
	if c.forming.IsZero() {
		c.forming = now
	}
	// One that takes longer than usual is expected to take as long again as it has.
	took := now.Sub(c.forming)
	return State{Still: true, Opens: max(c.Form-took, took-c.Form)}
}
