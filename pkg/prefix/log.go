package prefix

// LogSize is the number of events that a Log keeps.
const LogSize = 4096

// maxEventsPerRead bounds the events of one answer.
const maxEventsPerRead = 128

// logEvent is one numbered event.
type logEvent struct {
	number  int64
	block   uint64
	removed bool
}

// Log keeps the newest cache events of one upstream for readers that come now and then.
// Its numbers rise; a number without an event is a gap. It is not safe for concurrent use.
type Log struct {
	events []logEvent
	next   int64
	// clearedAt is the number at which the upstream lost its cache.
	clearedAt int64
}

// Next returns the number of the next event.
func (l *Log) Next() int64 { return l.next }

// Add appends events.
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
	if len(l.events) >= 2*LogSize {
		l.events = append(l.events[:0], l.events[len(l.events)-LogSize:]...)
	}
}

// Skip leaves a gap: an event is not known.
func (l *Log) Skip() { l.next++ }

// Clear notes that the upstream lost its cache.
func (l *Log) Clear() {
	l.events = l.events[:0]
	l.next++
	l.clearedAt = l.next
}

// Take relays events of another log and returns the number to ask that one for next.
func (l *Log) Take(e Events, after int64) int64 {
	if e.Cleared {
		l.Clear()
	} else if e.First > after {
		l.Skip()
	}
	l.Add(e.Stored, e.Removed)
	return e.Next
}

// Since returns the events from the number after on, up to a gap. A reader that knows
// numbers that were not given yet has read another log and gets all.
func (l *Log) Since(after int64) Events {
	if after > l.next {
		after = 0
	}
	e := Events{First: l.next, Next: l.next, Cleared: after < l.clearedAt}
	for _, i := range l.events {
		if i.number < after {
			continue
		}
		if n := len(e.Stored) + len(e.Removed); n == 0 {
			e.First, e.Next = i.number, i.number
		} else if i.number != e.Next || n == maxEventsPerRead {
			break
		}
		e.Next = i.number + 1
		if i.removed {
			e.Removed = append(e.Removed, i.block)
			continue
		}
		e.Stored = append(e.Stored, i.block)
	}
	return e
}
