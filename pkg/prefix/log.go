package prefix

// LogCapacity is the number of newest events that a Log retains.
const LogCapacity = 4096

// maxEventsPerRead limits the events returned by one Since.
const maxEventsPerRead = 128

// logEvent is one numbered event.
type logEvent struct {
	number  int64
	block   uint64
	removed bool
}

// Log retains the newest cache events of one upstream for readers that poll it. Event numbers
// rise; a number without an event is a gap. It is not safe for concurrent use.
type Log struct {
	events []logEvent
	next   int64
	// clearedAt is the event number at which the upstream lost its cache.
	clearedAt int64
}

// Next returns the number of the next event.
func (l *Log) Next() int64 { return l.next }

// Add appends events for stored and removed blocks.
func (l *Log) Add(stored, removed []uint64) {
	for _, b := range removed {
		l.add(b, true)
	}
	for _, b := range stored {
		l.add(b, false)
	}
}

func (l *Log) add(block uint64, removed bool) {
	l.events = append(l.events, logEvent{l.next, block, removed})
	l.next++
	if len(l.events) >= 2*LogCapacity {
		l.events = append(l.events[:0], l.events[len(l.events)-LogCapacity:]...)
	}
}

// AddGap leaves a gap of one number for events that were missed.
func (l *Log) AddGap() { l.next++ }

// Clear records that the upstream lost its cache.
func (l *Log) Clear() {
	l.events = l.events[:0]
	l.next++
	l.clearedAt = l.next
}

// Relay appends events that were read from another log from number after on, and returns the
// number to read from next.
func (l *Log) Relay(e Events, after int64) int64 {
	if e.Cleared {
		l.Clear()
	} else if e.First > after {
		l.AddGap()
	}
	l.Add(e.Stored, e.Removed)
	return e.Next
}

// Since returns the events from number after on, up to the next gap. A reader with a number that
// this log has not assigned yet has read another log, and gets all events.
func (l *Log) Since(after int64) Events {
	if after > l.next {
		after = 0
	}
	e := Events{First: l.next, Next: l.next, Cleared: after < l.clearedAt}
	for _, ev := range l.events {
		if ev.number < after {
			continue
		}
		if n := len(e.Stored) + len(e.Removed); n == 0 {
			e.First, e.Next = ev.number, ev.number
		} else if ev.number != e.Next || n == maxEventsPerRead {
			break
		}
		e.Next = ev.number + 1
		if ev.removed {
			e.Removed = append(e.Removed, ev.block)
			continue
		}
		e.Stored = append(e.Stored, ev.block)
	}
	return e
}
