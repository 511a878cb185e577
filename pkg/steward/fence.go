package steward

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
)

// fenceState tracks the newest leader that a steward knows of. It is not safe for concurrent
// use.
type fenceState struct {
	// newestFencingToken is the highest fencing token seen. loaded is set once the fencing token
	// was read from the store since the process started.
	newestFencingToken int64
	loaded             bool
	// lastContact is when a leader with the newest fencing token last called.
	lastContact time.Time
}

// recordStored records the fencing token read from the store. One that is higher than any seen
// before belongs to a newly elected leader, so the time without contact counts from now.
func (f *fenceState) recordStored(fencingToken int64, now time.Time) {
	if fencingToken > f.newestFencingToken {
		f.newestFencingToken = fencingToken
		f.lastContact = now
	}
	f.loaded = true
}

// recordContact records a call of a leader and reports whether its fencing token is the newest.
func (f *fenceState) recordContact(fencingToken int64, now time.Time) bool {
	if fencingToken == 0 || fencingToken < f.newestFencingToken {
		return false
	}
	f.newestFencingToken = fencingToken
	f.lastContact = now
	return true
}

// allows reports whether an order with a fencing token may be forwarded to the rank. Arm, Release and
// the order that abandons a switch are safe from any sender.
func (f *fenceState) allows(o mapswitch.Order, fencingToken int64) bool {
	if o.Op == mapswitch.Arm || o.Op == mapswitch.Release || o.IsAbandon() {
		return true
	}
	return f.loaded && fencingToken >= f.newestFencingToken
}
