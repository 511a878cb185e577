package prefix

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// applyAll applies the events of a log to an index until there are none left.
func applyAll(l *Log, x *Index, after int64, now time.Duration) int64 {
	for {
		e := l.Since(after)
		x.Apply(1, e, now)
		if e.Next == after {
			return after
		}
		after = e.Next
	}
}

// Guards against gaps and cache losses that are hidden from the index when an agent relays the
// log of an engine.
func TestLogRelaysEventsGapsAndClears(t *testing.T) {
	is := is.New(t)
	var engine, agent Log
	x := New(100)
	relay, read := int64(0), int64(0)
	step := func(now time.Duration) {
		for {
			e := engine.Since(relay)
			next := agent.Relay(e, relay)
			if next == relay {
				break
			}
			relay = next
		}
		read = applyAll(&agent, x, read, now)
	}
	engine.Add([]uint64{11, 12}, nil)
	step(0)
	is.Equal(lookup(x, []uint64{11, 12}, time.Second), map[uint64]int32{1: 2})
	engine.AddGap()
	engine.Add([]uint64{13}, []uint64{12})
	step(time.Second)
	is.Equal(lookup(x, []uint64{11, 12}, 2*time.Second), map[uint64]int32{1: 1})
	is.Equal(lookup(x, []uint64{11}, 2*time.Second+GapGracePeriod), map[uint64]int32{}) // the gap reached the index
	engine.Clear()
	engine.Add([]uint64{21}, nil)
	step(3 * time.Second)
	is.Equal(lookup(x, []uint64{13}, 4*time.Second), map[uint64]int32{})
	is.Equal(lookup(x, []uint64{21}, 4*time.Second), map[uint64]int32{1: 1})
}

// Guards against a log or a response that grows without limit when its reader falls behind.
func TestLogIsBounded(t *testing.T) {
	is := is.New(t)
	var l Log
	for i := range uint64(10 * LogCapacity) {
		l.Add([]uint64{i}, nil)
		is.True(len(l.events) < 2*LogCapacity)
	}
	e := l.Since(0)
	is.True(e.First > 0 && len(e.Stored) == maxEventsPerRead)
}
