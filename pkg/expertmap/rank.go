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
	index  int
	engine Engine

	held []*Map
	// refs names the maps held. It is replaced at each change, as answers share it.
	refs []Ref
	// seen is the newest step that the rank was asked to join.
	seen     StepID
	joined   *Map
	computed bool
	// ran and ranTerm are the map and the term of the newest step computed.
	ran     *Map
	ranTerm int64
	quiet   int
}

// NewRank returns a rank that holds no map.
func NewRank(index int, e Engine) *Rank {
	return &Rank{index: index, engine: e}
}

// Held returns the maps whose weights are loaded. The caller must not change it.
func (r *Rank) Held() []Ref { return r.refs }

func (r *Rank) setHeld(maps []*Map) {
	r.held = maps
	r.refs = make([]Ref, len(maps))
	for i, m := range maps {
		r.refs[i] = m.Ref
	}
}

// Ran returns the map of the newest step that the rank computed.
func (r *Rank) Ran() Ref {
	if r.ran == nil {
		return Ref{}
	}
	return r.ran.Ref
}

// Loaded takes in that the weights of m are loaded.
func (r *Rank) Loaded(m *Map) {
	if r.find(m.Ref) == nil {
		r.setHeld(append(r.held, m))
	}
}

// Want loads a map that the rank lacks.
func (r *Rank) Want(m *Map) {
	if m.Has(r.index) && r.find(m.Ref) == nil {
		r.engine.Load(m)
	}
}

// Retire drops the maps below an epoch once the rank has computed a step at that
// epoch or above, and never the map of the step in hand.
func (r *Rank) Retire(below int64) {
	if r.ran == nil || r.ran.Epoch < below {
		return
	}
	r.setHeld(slices.DeleteFunc(r.held, func(m *Map) bool {
		if m.Epoch >= below || m == r.joined {
			return false
		}
		r.engine.Drop(m.Ref)
		return true
	}))
}

// Begin answers a request to join a step.
func (r *Rank) Begin(b Begin) Answer {
	if r.outdates(b.Step) {
		return r.answer(Stale, b.Step)
	}
	r.quiet = 0
	if b.Step == r.seen && r.computed {
		return r.answer(Done, b.Step)
	}
	r.seen = b.Step
	r.computed = false
	r.joined = r.find(b.Ref)
	if r.joined == nil {
		return r.answer(Lack, b.Step)
	}
	return r.answer(Join, b.Step)
}

// Go computes the step that the rank has joined, once.
func (r *Rank) Go(g Go) Answer {
	if g.Step != r.seen || r.joined == nil {
		return r.answer(Lack, g.Step)
	}
	r.quiet = 0
	if !r.computed {
		r.computed = true
		r.ran = r.joined
		r.ranTerm = g.Step.Term
		r.engine.Compute(g.Step, r.joined.Ref)
	}
	return r.answer(Done, g.Step)
}

// quietTicks is the number of ticks without a step after which a rank reminds the
// leading rank of what the group ran.
const quietTicks = 4

// Tick returns a reminder for the leading rank when no step came for a while. A rank
// that has computed no step since its start reminds of nothing.
func (r *Rank) Tick() []Envelope {
	r.quiet++
	if r.quiet < quietTicks || r.ran == nil {
		return nil
	}
	r.quiet = 0
	return []Envelope{{To: r.ran.Leader(), Message: Remind{Term: r.ranTerm, Map: r.ran}}}
}

// outdates reports whether a step comes from a former leader, or is a former step.
func (r *Rank) outdates(s StepID) bool {
	if s.sameLeader(r.seen) {
		return s.Number < r.seen.Number
	}
	return !r.seen.ballotBefore(s)
}

func (r *Rank) answer(k AnswerKind, s StepID) Answer {
	return Answer{Rank: r.index, Kind: k, Step: s, Held: r.Held(), Seen: r.seen}
}

func (r *Rank) find(ref Ref) *Map {
	for _, m := range r.held {
		if m.Ref == ref {
			return m
		}
	}
	return nil
}
