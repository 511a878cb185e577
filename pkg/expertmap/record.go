package expertmap

// Record is the object of a rank group at the platform. It changes by conditional update
// only; each method returns a changed copy.
type Record struct {
	// Fence is the highest fencing token under which the record was changed.
	Fence int64 `json:"fence"`
	// Term is incremented with each change of the leading rank.
	Term int64 `json:"term"`
	// NextEpoch is the epoch of the map that was staged last; staging increments it.
	NextEpoch int64 `json:"next_epoch"`
	// Decided is the map that the group should run; nil before the first decision.
	Decided *Map `json:"decided,omitempty"`
	// Staged is the map that the ranks are loading; nil when there is none.
	Staged *Map `json:"staged,omitempty"`
}

// Claim makes the owner with the fencing token the owner of the record.
func (r Record) Claim(token int64) Record {
	r.Fence = token
	return r
}

// Stage makes m the staged map, with a new epoch.
func (r Record) Stage(m Map) Record {
	r.NextEpoch++
	r.Staged = m.Seal(r.NextEpoch)
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
