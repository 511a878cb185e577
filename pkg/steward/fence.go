package steward

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
)

// fenceState tracks the newest leader that a steward knows of. It is not safe for concurrent
// use.
type fenceState struct {
	// newestToken is the highest fencing token seen. loaded is set once the token was read from
	// the store since the process started.
	newestToken int64
	loaded      bool
	// lastContact is when a leader with the newest token last called.
	lastContact time.Time
}

// recordStored records the token read from the store. A token that is higher than any seen
// before belongs to a newly elected leader, so the time without contact counts from now.
func (f *fenceState) recordStored(token int64, now time.Time) {
	if token > f.newestToken {
		f.newestToken = token
		f.lastContact = now
	}
	f.loaded = true
}

// recordContact records a call of a leader and reports whether its token is the newest.
func (f *fenceState) recordContact(token int64, now time.Time) bool {
	if token == 0 || token < f.newestToken {
		return false
	}
	f.newestToken = token
	f.lastContact = now
	return true
}

// allows reports whether an order with a fencing token may be forwarded to the rank. Arm and
// Release are safe from any sender.
func (f *fenceState) allows(op mapswitch.Op, token int64) bool {
	if op == mapswitch.Arm || op == mapswitch.Release {
		return true
	}
	return f.loaded && token >= f.newestToken
}
