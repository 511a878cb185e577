package expertmap

import "slices"

// Engine is what a rank asks of its model engine.
type Engine interface {
	// Load starts to load the weights of a map. Rank.Loaded tells the end. A second
	// call for the same map while it is being loaded has no effect.
	Load(m *Map)
	// Drop frees the weights that only this map needs.
	Drop(r Ref)
	// Compute runs the rank's part of a step on a map.
	Compute(s StepID, r Ref)
}

// Rank takes part in steps and holds maps. It is not safe for concurrent use.
type Rank struct {
	rankIndex  int
	engine Engine

	loaded []*Map
	// loadedRefs names the maps held. It is replaced at each change, as answers share it.
	loadedRefs []Ref
	// latestStep is the newest step that the rank was asked to join.
	latestStep     StepID
	joinedMap   *Map
	stepComputed bool
	// lastMap and ranTerm are the map and the term of the newest step computed.
	lastMap     *Map
	lastTerm int64
	ticksWithoutStep   int
}

// NewRank returns a rank that holds no map.
func NewRank(index int, e Engine) *Rank {
	return &Rank{rankIndex: index, engine: e}
}

// Held returns the maps whose weights are loaded. The caller must not change it.
func (r *Rank) Held() []Ref { return r.loadedRefs }

func (r *Rank) setLoaded(maps []*Map) {
	r.loaded = maps
	r.loadedRefs = make([]Ref, len(maps))
	for i, m := range maps {
		r.loadedRefs[i] = m.Ref
	}
}

// Ran returns the map of the newest step that the rank computed.
func (r *Rank) Ran() Ref {
	if r.lastMap == nil {
		return Ref{}
	}
	return r.lastMap.Ref
}

// Loaded takes in that the weights of m are loaded.
func (r *Rank) Loaded(m *Map) {
	if r.findLoaded(m.Ref) == nil {
		r.setLoaded(append(r.loaded, m))
	}
}

// Want loads a map that the rank lacks.
func (r *Rank) Want(m *Map) {
	if m.Has(r.rankIndex) && r.findLoaded(m.Ref) == nil {
		r.engine.Load(m)
	}
}

// Retire drops the maps below an epoch once the rank has computed a step at that
// epoch or above, and never the map of the step in hand.
func (r *Rank) Retire(below int64) {
	if r.lastMap == nil || r.lastMap.Epoch < below {
		return
	}
	r.setLoaded(slices.DeleteFunc(r.loaded, func(m *Map) bool {
		if m.Epoch >= below || m == r.joinedMap {
			return false
		}
		r.engine.Drop(m.Ref)
		return true
	}))
}

// Begin answers a request to join a step.
func (r *Rank) Begin(b Begin) Answer {
	if r.isStale(b.Step) {
		return r.response(Stale, b.Step)
	}
	r.ticksWithoutStep = 0
	if b.Step == r.latestStep && r.stepComputed {
		return r.response(Done, b.Step)
	}
	r.latestStep = b.Step
	r.stepComputed = false
	r.joinedMap = r.findLoaded(b.Ref)
	if r.joinedMap == nil {
		return r.response(Lack, b.Step)
	}
	return r.response(Join, b.Step)
}

// Go computes the step that the rank has joined, once.
func (r *Rank) Go(g Go) Answer {
	if g.Step != r.latestStep || r.joinedMap == nil {
		return r.response(Lack, g.Step)
	}
	r.ticksWithoutStep = 0
	if !r.stepComputed {
		r.stepComputed = true
		r.lastMap = r.joinedMap
		r.lastTerm = g.Step.Term
		r.engine.Compute(g.Step, r.joinedMap.Ref)
	}
	return r.response(Done, g.Step)
}

// reminderAfterTicks is the number of ticks without a step after which a rank reminds the
// leading rank of what the group ran.
const reminderAfterTicks = 4

// Tick returns a reminder for the leading rank when no step came for a while. A rank
// that has computed no step since its start reminds of nothing.
func (r *Rank) Tick() []Envelope {
	r.ticksWithoutStep++
	if r.ticksWithoutStep < reminderAfterTicks || r.lastMap == nil {
		return nil
	}
	r.ticksWithoutStep = 0
	return []Envelope{{To: r.lastMap.Leader(), Message: Remind{Term: r.lastTerm, Map: r.lastMap}}}
}

// isStale reports whether a step comes from a former leader, or is a former step.
func (r *Rank) isStale(s StepID) bool {
	if s.hasSameLeaderAs(r.latestStep) {
		return s.Number < r.latestStep.Number
	}
	return !r.latestStep.hasLowerBallotThan(s)
}

func (r *Rank) response(k AnswerKind, s StepID) Answer {
	return Answer{Rank: r.rankIndex, Kind: k, Step: s, Held: r.Held(), Seen: r.latestStep}
}

func (r *Rank) findLoaded(ref Ref) *Map {
	for _, m := range r.loaded {
		if m.Ref == ref {
			return m
		}
	}
	return nil
}
