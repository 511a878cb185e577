package expertmap

import "slices"

// stepPhase is the state of the step that a leader runs.
type stepPhase int

const (
	// phaseIdle means that no step is in progress.
	phaseIdle stepPhase = iota
	// phaseJoining means that JoinRequest was sent and not all ranks have joined.
	phaseJoining
	// phaseComputing means that ComputeRequest was sent and not all ranks have computed.
	phaseComputing
)

// Leader runs the steps of a group on its first rank. It is not safe for concurrent use.
type Leader struct {
	rankIndex int
	stepID    StepID

	// target is the decided map, and lastComputed the map of the newest step that all
	// ranks computed.
	target       *Map
	lastComputed *Map

	phase        stepPhase
	stepMap      *Map
	pending      []int
	loadedByRank map[int][]Ref

	// ComputedSteps counts the steps that all ranks computed, and StoppedSteps those that
	// ended before all ranks had computed them.
	ComputedSteps int64
	StoppedSteps  int64
}

// NewLeader returns a leader without a map for the rank with the given index. The
// incarnation is that of the rank's process.
func NewLeader(index int, incarnation uint64) *Leader {
	return &Leader{rankIndex: index, stepID: StepID{Round: 1, Incarnation: incarnation}, loadedByRank: map[int][]Ref{}}
}

// LastComputed returns the map of the newest step that all ranks computed.
func (l *Leader) LastComputed() Ref {
	if l.lastComputed == nil {
		return Ref{}
	}
	return l.lastComputed.Ref
}

// SetTarget sets the decided map and its term, and begins a step when this rank leads the map.
// Lower terms, and epochs that are not higher than the present one, are ignored.
func (l *Leader) SetTarget(term int64, m *Map) []Envelope {
	if term < l.stepID.Term || l.target != nil && m.Epoch <= l.target.Epoch {
		return nil
	}
	l.target = m
	if m.Leader() != l.rankIndex {
		l.phase = phaseIdle
		return nil
	}
	previousTerm := l.stepID.Term
	l.stepID.Term = term
	// The term is part of the step's ID, so a step in progress ends when the term changes.
	if l.phase == phaseIdle || previousTerm != term || !slices.Equal(m.Ranks, l.stepMap.Ranks) {
		l.stopStep()
		return l.beginStep()
	}
	return nil
}

// HandleReminder restores the map and term that this rank led before it restarted. It has no
// effect when a map is already set.
func (l *Leader) HandleReminder(r LeaderReminder) []Envelope {
	if l.target != nil {
		return nil
	}
	return l.SetTarget(r.Term, r.Map)
}

// HandleResponse handles the response of a rank to a JoinRequest or ComputeRequest.
func (l *Leader) HandleResponse(a StepResponse) []Envelope {
	l.loadedByRank[a.Rank] = a.Loaded
	if l.phase == phaseIdle || a.Step != l.stepID {
		return nil
	}
	switch a.Kind {
	case ResponseStale:
		return l.handleStale(a.LatestStep)
	case ResponseNotReady:
		return l.handleNotReady(a.Rank)
	case ResponseJoined:
		if l.phase == phaseJoining && l.markResponded(a.Rank) {
			l.phase = phaseComputing
			l.pending = append(l.pending[:0], l.stepMap.Ranks...)
			return l.toPending(ComputeRequest{Step: l.stepID})
		}
	case ResponseComputed:
		if l.phase == phaseComputing && l.markResponded(a.Rank) {
			l.ComputedSteps++
			l.lastComputed = l.stepMap
			return l.beginStep()
		}
	}
	return nil
}

// Tick repeats messages without a response, and begins a new step after a stopped one.
func (l *Leader) Tick() []Envelope {
	switch {
	case l.target == nil || l.target.Leader() != l.rankIndex:
		return nil
	case l.phase == phaseJoining:
		return l.toPending(l.beginMessage())
	case l.phase == phaseComputing:
		return l.toPending(ComputeRequest{Step: l.stepID})
	}
	return l.beginStep()
}

// handleNotReady ends a step that a rank cannot take part in. It begins the next step at
// once when another map can run, else at the next tick.
func (l *Leader) handleNotReady(rank int) []Envelope {
	l.stopStep()
	out := l.sendTargetIfMissing(rank)
	if m := l.selectMap(); m == l.stepMap || l.isMissingOnAnyRank(m) {
		return out
	}
	return append(out, l.beginStep()...)
}

// handleStale steps down when the rank has seen a higher term. Within its own term, it
// raises its round above the one that the rank has seen.
func (l *Leader) handleStale(seen StepID) []Envelope {
	l.stopStep()
	if seen.Term > l.stepID.Term {
		l.target = nil
		l.lastComputed = nil
		l.stepID.Term = seen.Term
		return nil
	}
	l.stepID.Round = max(l.stepID.Round, seen.Round+1)
	l.stepID.Number = 0
	return nil
}

// beginStep starts the next step. When it runs another map than the target, the target is
// sent to the ranks that do not have it.
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

// selectMap returns the map for the next step: the target, or the map that ran last when a
// rank reported that it has not loaded the target and the same ranks can still run that map.
func (l *Leader) selectMap() *Map {
	if l.lastComputed == nil || l.lastComputed == l.target || !l.isMissingOnAnyRank(l.target) {
		return l.target
	}
	if l.isMissingOnAnyRank(l.lastComputed) || !slices.Equal(l.lastComputed.Ranks, l.target.Ranks) {
		return l.target
	}
	return l.lastComputed
}

// isMissingOnAnyRank reports whether a rank of the map reported that it has not loaded it.
func (l *Leader) isMissingOnAnyRank(m *Map) bool {
	for _, r := range m.Ranks {
		if l.isMissingOnRank(r, m) {
			return true
		}
	}
	return false
}

// isMissingOnRank reports whether the rank reported its loaded maps and m is not one of them.
func (l *Leader) isMissingOnRank(rank int, m *Map) bool {
	loaded, reported := l.loadedByRank[rank]
	return reported && !slices.Contains(loaded, m.Ref)
}

func (l *Leader) stopStep() {
	if l.phase != phaseIdle {
		l.StoppedSteps++
	}
	l.phase = phaseIdle
}

// sendTargetIfMissing sends the target to the rank if it reported that it has not loaded it.
func (l *Leader) sendTargetIfMissing(rank int) []Envelope {
	if !l.isMissingOnRank(rank, l.target) {
		return nil
	}
	return []Envelope{{To: rank, Message: MapTransfer{Map: l.target}}}
}

func (l *Leader) sendTargetToRanks() []Envelope {
	var out []Envelope
	for _, r := range l.target.Ranks {
		out = append(out, l.sendTargetIfMissing(r)...)
	}
	return out
}

// markResponded removes the rank from pending and reports whether it was the last one.
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

func (l *Leader) beginMessage() JoinRequest { return JoinRequest{Step: l.stepID, Ref: l.stepMap.Ref} }

// toPending addresses a message to every rank that has not responded yet.
func (l *Leader) toPending(m Message) []Envelope {
	out := make([]Envelope, 0, len(l.pending))
	for _, r := range l.pending {
		out = append(out, Envelope{To: r, Message: m})
	}
	return out
}
