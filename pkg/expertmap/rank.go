package expertmap

import "slices"

// Engine is the model engine of a rank.
type Engine interface {
	// Load starts to load the weights of a map and does not block. Rank.HandleLoaded must be
	// called at the end. A second call while the map is being loaded has no effect.
	Load(m *Map)
	// Drop frees the weights that only this map needs.
	Drop(r Ref)
	// Compute runs the rank's part of a step on a map. It does not block.
	Compute(s StepID, r Ref)
}

// Rank takes part in steps and keeps track of the loaded maps. It is not safe for
// concurrent use.
type Rank struct {
	rankIndex int
	engine    Engine

	loaded []*Map
	// loadedRefs identifies the loaded maps. It is replaced at each change, because
	// responses share it.
	loadedRefs []Ref
	// latestStep is the newest step that the rank was requested to join.
	latestStep   StepID
	joinedMap    *Map
	stepComputed bool
	// lastMap and lastTerm are the map and the term of the newest step computed.
	lastMap          *Map
	lastTerm         int64
	ticksWithoutStep int
}

// NewRank returns a rank without loaded maps.
func NewRank(index int, e Engine) *Rank {
	return &Rank{rankIndex: index, engine: e}
}

// LoadedMaps returns the maps whose weights are loaded. The caller must not modify the slice.
func (r *Rank) LoadedMaps() []Ref { return r.loadedRefs }

func (r *Rank) setLoaded(maps []*Map) {
	r.loaded = maps
	r.loadedRefs = make([]Ref, len(maps))
	for i, m := range maps {
		r.loadedRefs[i] = m.Ref
	}
}

// LastComputed returns the map of the newest step that the rank computed; zero before the first.
func (r *Rank) LastComputed() Ref {
	if r.lastMap == nil {
		return Ref{}
	}
	return r.lastMap.Ref
}

// HandleLoaded records that the weights of m are loaded.
func (r *Rank) HandleLoaded(m *Map) {
	if r.findLoaded(m.Ref) == nil {
		r.setLoaded(append(r.loaded, m))
	}
}

// EnsureLoaded starts to load a map unless the rank has loaded it or is not part of it.
func (r *Rank) EnsureLoaded(m *Map) {
	if m.HasRank(r.rankIndex) && r.findLoaded(m.Ref) == nil {
		r.engine.Load(m)
	}
}

// Retire drops the maps with an epoch lower than below, except the map of the latest step.
// It has no effect until the rank has computed a step with that epoch or a higher one.
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

// HandleJoin handles a request to join a step.
func (r *Rank) HandleJoin(b JoinRequest) StepResponse {
	if r.isStale(b.Step) {
		return r.response(ResponseStale, b.Step)
	}
	r.ticksWithoutStep = 0
	if b.Step == r.latestStep && r.stepComputed {
		return r.response(ResponseComputed, b.Step)
	}
	r.latestStep = b.Step
	r.stepComputed = false
	r.joinedMap = r.findLoaded(b.Ref)
	if r.joinedMap == nil {
		return r.response(ResponseNotReady, b.Step)
	}
	return r.response(ResponseJoined, b.Step)
}

// HandleCompute handles a request to compute the step that the rank has joined. A repeated
// request does not compute it again.
func (r *Rank) HandleCompute(g ComputeRequest) StepResponse {
	if g.Step != r.latestStep || r.joinedMap == nil {
		return r.response(ResponseNotReady, g.Step)
	}
	r.ticksWithoutStep = 0
	if !r.stepComputed {
		r.stepComputed = true
		r.lastMap = r.joinedMap
		r.lastTerm = g.Step.Term
		r.engine.Compute(g.Step, r.joinedMap.Ref)
	}
	return r.response(ResponseComputed, g.Step)
}

// reminderAfterTicks is the number of ticks without a step after which a rank sends a
// LeaderReminder to the leading rank.
const reminderAfterTicks = 4

// Tick returns a LeaderReminder for the leading rank after reminderAfterTicks without a
// step. A rank that has computed no step since its start sends none.
func (r *Rank) Tick() []Envelope {
	r.ticksWithoutStep++
	if r.ticksWithoutStep < reminderAfterTicks || r.lastMap == nil {
		return nil
	}
	r.ticksWithoutStep = 0
	return []Envelope{{To: r.lastMap.Leader(), Message: LeaderReminder{Term: r.lastTerm, Map: r.lastMap}}}
}

// isStale reports whether a step is older than the latest one of the same leader, or comes
// from another leader without a higher ballot.
func (r *Rank) isStale(s StepID) bool {
	if s.hasSameLeaderAs(r.latestStep) {
		return s.Number < r.latestStep.Number
	}
	return !r.latestStep.hasLowerBallotThan(s)
}

func (r *Rank) response(k ResponseKind, s StepID) StepResponse {
	return StepResponse{Rank: r.rankIndex, Kind: k, Step: s, Loaded: r.LoadedMaps(), LatestStep: r.latestStep}
}

func (r *Rank) findLoaded(ref Ref) *Map {
	for _, m := range r.loaded {
		if m.Ref == ref {
			return m
		}
	}
	return nil
}
