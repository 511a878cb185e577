package expertmap

import "slices"

// stepPhase is the state of the leader's step.
type stepPhase int

const (
	phaseIdle stepPhase = iota
	phaseJoining
	phaseComputing
)

// Leader runs the steps of a group from its first rank. It is not safe for
// concurrent use.
type Leader struct {
	rankIndex int
	stepID  StepID

	// target is the map to run, and current the one that ran last.
	target  *Map
	lastComputed *Map

	phase   stepPhase
	stepMap *Map
	pending []int
	loadedByRank    map[int][]Ref

	// Computed and Stopped count the steps that all ranks computed and those that
	// were stopped before any did or before all did.
	Computed int64
	Stopped  int64
}

// NewLeader returns a leader that leads nothing yet.
func NewLeader(index int, incarnation uint64) *Leader {
	return &Leader{rankIndex: index, stepID: StepID{Run: 1, Incarnation: incarnation}, loadedByRank: map[int][]Ref{}}
}

// Running returns the map of the newest step that all ranks computed.
func (l *Leader) Running() Ref {
	if l.lastComputed == nil {
		return Ref{}
	}
	return l.lastComputed.Ref
}

// Lead takes in a decided map and the term under which this rank leads it. Older
// terms and epochs are ignored.
func (l *Leader) Lead(term int64, m *Map) []Envelope {
	if term < l.stepID.Term || l.target != nil && m.Epoch <= l.target.Epoch {
		return nil
	}
	l.target = m
	if m.Leader() != l.rankIndex {
		l.phase = phaseIdle
		return nil
	}
	former := l.stepID.Term
	l.stepID.Term = term
	// The term is part of the step's name, so a step in hand ends when it changes.
	if l.phase == phaseIdle || former != term || !slices.Equal(m.Ranks, l.stepMap.Ranks) {
		l.stopStep()
		return l.beginStep()
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
	l.loadedByRank[a.Rank] = a.Held
	if l.phase == phaseIdle || a.Step != l.stepID {
		return nil
	}
	switch a.Kind {
	case Stale:
		return l.handleStale(a.Seen)
	case Lack:
		return l.handleNotReady(a.Rank)
	case Join:
		if l.phase == phaseJoining && l.markResponded(a.Rank) {
			l.phase = phaseComputing
			l.pending = append(l.pending[:0], l.stepMap.Ranks...)
			return l.toPending(Go{Step: l.stepID})
		}
	case Done:
		if l.phase == phaseComputing && l.markResponded(a.Rank) {
			l.Computed++
			l.lastComputed = l.stepMap
			return l.beginStep()
		}
	}
	return nil
}

// Tick repeats what may have been lost, and begins anew after a stopped step.
func (l *Leader) Tick() []Envelope {
	switch {
	case l.target == nil || l.target.Leader() != l.rankIndex:
		return nil
	case l.phase == phaseJoining:
		return l.toPending(l.beginMessage())
	case l.phase == phaseComputing:
		return l.toPending(Go{Step: l.stepID})
	}
	return l.beginStep()
}

// handleNotReady ends a step that a rank cannot take part in. It goes on at once when another
// map can run.
func (l *Leader) handleNotReady(rank int) []Envelope {
	l.stopStep()
	out := l.sendTargetIfMissing(rank)
	if m := l.selectMap(); m == l.stepMap || l.isMissingOnAnyRank(m) {
		return out
	}
	return append(out, l.beginStep()...)
}

// handleStale gives way to a leader of a higher term, and outbids a former run of its
// own term.
func (l *Leader) handleStale(seen StepID) []Envelope {
	l.stopStep()
	if seen.Term > l.stepID.Term {
		l.target = nil
		l.lastComputed = nil
		l.stepID.Term = seen.Term
		return nil
	}
	l.stepID.Run = max(l.stepID.Run, seen.Run+1)
	l.stepID.Number = 0
	return nil
}

// beginStep names the next step.
func (l *Leader) beginStep() []Envelope {
	l.stepMap = l.selectMap()
	l.stepID.Number++
	l.phase = phaseJoining
	l.pending = append(l.pending[:0], l.stepMap.Ranks...)
	out := l.toPending(l.beginMessage())
	if l.stepMap == l.target {
		return out
	}
	return append(out, l.sendTargetToRanks()...)
}

// selectMap returns the target unless a rank is known to lack it while the former map
// can still run.
func (l *Leader) selectMap() *Map {
	if l.lastComputed == nil || l.lastComputed == l.target || !l.isMissingOnAnyRank(l.target) {
		return l.target
	}
	if l.isMissingOnAnyRank(l.lastComputed) || !slices.Equal(l.lastComputed.Ranks, l.target.Ranks) {
		return l.target
	}
	return l.lastComputed
}

func (l *Leader) isMissingOnAnyRank(m *Map) bool {
	for _, r := range m.Ranks {
		if l.isMissingOnRank(r, m) {
			return true
		}
	}
	return false
}

func (l *Leader) isMissingOnRank(rank int, m *Map) bool {
	held, told := l.loadedByRank[rank]
	return told && !slices.Contains(held, m.Ref)
}

func (l *Leader) stopStep() {
	if l.phase != phaseIdle {
		l.Stopped++
	}
	l.phase = phaseIdle
}

// sendTargetIfMissing hands the target to a rank that lacks it.
func (l *Leader) sendTargetIfMissing(rank int) []Envelope {
	if !l.isMissingOnRank(rank, l.target) {
		return nil
	}
	return []Envelope{{To: rank, Message: Give{Map: l.target}}}
}

func (l *Leader) sendTargetToRanks() []Envelope {
	var out []Envelope
	for _, r := range l.target.Ranks {
		out = append(out, l.sendTargetIfMissing(r)...)
	}
	return out
}

// markResponded notes the answer of a rank and reports whether it was the last one.
func (l *Leader) markResponded(rank int) bool {
	i := slices.Index(l.pending, rank)
	if i < 0 {
		return false
	}
	last := len(l.pending) - 1
	l.pending[i] = l.pending[last]
	l.pending = l.pending[:last]
	return last == 0
}

func (l *Leader) beginMessage() Begin { return Begin{Step: l.stepID, Ref: l.stepMap.Ref} }

// toPending addresses a message to every rank that has not answered yet.
func (l *Leader) toPending(m Message) []Envelope {
	out := make([]Envelope, 0, len(l.pending))
	for _, r := range l.pending {
		out = append(out, Envelope{To: r, Message: m})
	}
	return out
}
