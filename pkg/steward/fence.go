package steward

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
)

// fence is what a steward knows of leaders. It is not safe for concurrent use.
type fence struct {
	// newest is the highest fencing number seen, and known is set once the store was read
	// in this life of the process.
	newest int64
	known  bool
	// heard is when a leader with the newest number was last heard.
	heard time.Time
}

// read takes in the number in the store. One that was not heard of yet belongs to a leader
// that has just begun and is given the time to make itself heard.
func (f *fence) read(n int64, now time.Time) {
	if n > f.newest {
		f.newest = n
		f.heard = now
	}
	f.known = true
}

// hear takes in a call of a leader and reports whether it is the newest one.
func (f *fence) hear(n int64, now time.Time) bool {
	if n == 0 || n < f.newest {
		return false
	}
	f.newest = n
	f.heard = now
	return true
}

// allows reports whether an order under a number may be given to the rank. Arming and
// releasing are safe for everybody.
func (f *fence) allows(op mapswitch.Op, n int64) bool {
	if op == mapswitch.Arm || op == mapswitch.Release {
		return true
	}
	return f.known && n >= f.newest
}
