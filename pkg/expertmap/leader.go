package expertmap

import "slices"

// phase is the state of the leader's step.
type phase int

const (
	idle phase = iota
	joining
	computing
)

// Leader runs the steps of a group from its first rank. It is not safe for
// concurrent use.
type Leader struct {
	index int
	step  StepID

	// target is the map to run, and current the one that ran last.
	target  *Map
	current *Map

	phase   phase
	running *Map
	waiting []int
	held    map[int][]Ref

	// Computed and Stopped count the steps that all ranks computed and those that
	// were stopped before any did or before all did.
	Computed int64
	Stopped  int64
}

// NewLeader returns a leader that leads nothing yet.
func NewLeader(index int, incarnation uint64) *Leader {
	return &Leader{index: index, step: StepID{Run: 1, Incarnation: incarnation}, held: map[int][]Ref{}}
}

// Running returns the map of the newest step that all ranks computed.
func (l *Leader) Running() Ref {
	if l.current == nil {
		return Ref{}
	}
	return l.current.Ref
}

// Lead takes in a decided map and the term under which this rank leads it. Older
// terms and epochs are ignored.
func (l *Leader) Lead(term int64, m *Map) []Envelope {
	if term < l.step.Term || l.target != nil && m.Epoch <= l.target.Epoch {
		return nil
	}
	l.target = m
	if m.Leader() != l.index {
		l.phase = idle
		return nil
	}
	former := l.step.Term
	l.step.Term = term
	// The term is part of the step's name, so a step in hand ends when it changes.
	if l.phase == idle || former != term || !slices.Equal(m.Ranks, l.running.Ranks) {
		l.stop()
		return l.begin()
	}
	return nil
}

// Remind takes up what this rank led before it restarted.
func (l *Leader) Remind(r Remind) []Envelope {
	if l.target != nil {
		return nil
	}
	return l.Lead(r.Term, r.Map)
}

// Answer takes in the answer of a rank.
func (l *Leader) Answer(a Answer) []Envelope {
	l.held[a.Rank] = a.Held
	if l.phase == idle || a.Step != l.step {
		return nil
	}
	switch a.Kind {
	case Stale:
		return l.outdated(a.Seen)
	case Lack:
		return l.lacked(a.Rank)
	case Join:
		if l.phase == joining && l.answered(a.Rank) {
			l.phase = computing
			l.waiting = append(l.waiting[:0], l.running.Ranks...)
			return l.send(Go{Step: l.step})
		}
	case Done:
		if l.phase == computing && l.answered(a.Rank) {
			l.Computed++
			l.current = l.running
			return l.begin()
		}
	}
	return nil
}

// Tick repeats what may have been lost, and begins anew after a stopped step.
func (l *Leader) Tick() []Envelope {
	switch {
	case l.target == nil || l.target.Leader() != l.index:
		return nil
	case l.phase == joining:
		return l.send(l.beginning())
	case l.phase == computing:
		return l.send(Go{Step: l.step})
	}
	return l.begin()
}

// lacked ends a step that a rank cannot take part in. It goes on at once when another
// map can run.
func (l *Leader) lacked(rank int) []Envelope {
	l.stop()
	out := l.give(rank)
	if m := l.choose(); m == l.running || l.lacks(m) {
		return out
	}
	return append(out, l.begin()...)
}

// outdated gives way to a leader of a higher term, and outbids a former run of its
// own term.
func (l *Leader) outdated(seen StepID) []Envelope {
	l.stop()
	if seen.Term > l.step.Term {
		l.target = nil
		l.current = nil
		l.step.Term = seen.Term
		return nil
	}
	l.step.Run = max(l.step.Run, seen.Run+1)
	l.step.Number = 0
	return nil
}

// begin names the next step.
func (l *Leader) begin() []Envelope {
	l.running = l.choose()
	l.step.Number++
	l.phase = joining
	l.waiting = append(l.waiting[:0], l.running.Ranks...)
	out := l.send(l.beginning())
	if l.running == l.target {
		return out
	}
	return append(out, l.giveAll()...)
}

// choose returns the target unless a rank is known to lack it while the former map
// can still run.
func (l *Leader) choose() *Map {
	if l.current == nil || l.current == l.target || !l.lacks(l.target) {
		return l.target
	}
	if l.lacks(l.current) || !slices.Equal(l.current.Ranks, l.target.Ranks) {
		return l.target
	}
	return l.current
}

func (l *Leader) lacks(m *Map) bool {
	for _, r := range m.Ranks {
		if l.lacking(r, m) {
			return true
		}
	}
	return false
}

func (l *Leader) lacking(rank int, m *Map) bool {
	held, told := l.held[rank]
	return told && !slices.Contains(held, m.Ref)
}

func (l *Leader) stop() {
	if l.phase != idle {
		l.Stopped++
	}
	l.phase = idle
}

// give hands the target to a rank that lacks it.
func (l *Leader) give(rank int) []Envelope {
	if !l.lacking(rank, l.target) {
		return nil
	}
	return []Envelope{{To: rank, Message: Give{Map: l.target}}}
}

func (l *Leader) giveAll() []Envelope {
	var out []Envelope
	for _, r := range l.target.Ranks {
		out = append(out, l.give(r)...)
	}
	return out
}

// answered notes the answer of a rank and reports whether it was the last one.
func (l *Leader) answered(rank int) bool {
	i := slices.Index(l.waiting, rank)
	if i < 0 {
		return false
	}
	last := len(l.waiting) - 1
	l.waiting[i] = l.waiting[last]
	l.waiting = l.waiting[:last]
	return last == 0
}

func (l *Leader) beginning() Begin { return Begin{Step: l.step, Ref: l.running.Ref} }

// send addresses a message to every rank that has not answered yet.
func (l *Leader) send(m Message) []Envelope {
	out := make([]Envelope, 0, len(l.waiting))
	for _, r := range l.waiting {
		out = append(out, Envelope{To: r, Message: m})
	}
	return out
}
