package expertmap

// Record is the object of a rank group at the platform. It changes by conditional update
// only; each method returns a changed copy.
type Record struct {
	// FencingToken is the highest fencing token under which the record was changed.
	FencingToken int64 `json:"fence"`
	// Term is incremented with each change of the leading rank.
	Term int64 `json:"term"`
	// LastEpoch is the epoch of the map that was staged last; staging increments it.
	LastEpoch int64 `json:"next_epoch"`
	// Decided is the map that the group should run; nil before the first decision.
	Decided *Map `json:"decided,omitempty"`
	// Staged is the map that the ranks are loading; nil when there is none.
	Staged *Map `json:"staged,omitempty"`
}

// WithOwner makes the owner with the fencing token the owner of the record.
func (r Record) WithOwner(fencingToken int64) Record {
	r.FencingToken = fencingToken
	return r
}

// Stage makes m the staged map, with a new epoch.
func (r Record) Stage(m Map) Record {
	r.LastEpoch++
	r.Staged = m.WithEpoch(r.LastEpoch)
	return r
}

// Decide makes the staged map the decided one. The term rises when the leading rank changes.
func (r Record) Decide() Record {
	if r.Decided == nil || r.Decided.Leader() != r.Staged.Leader() {
		r.Term++
	}
	r.Decided = r.Staged
	r.Staged = nil
	return r
}

// Abandon removes the staged map. Its epoch is not used again.
func (r Record) Abandon() Record {
	r.Staged = nil
	return r
}
