package expertmap

// Record is the platform's object of a rank group. It changes by conditional update
// only; each method returns a changed copy.
type Record struct {
	// Fence is the highest fencing number under which the record was changed.
	Fence int64 `json:"fence"`
	// Term rises with each change of the leading rank.
	Term int64 `json:"term"`
	// NextEpoch is the epoch of the next map to be staged.
	NextEpoch int64 `json:"next_epoch"`
	// Decided is the map that the group is to run; nil before the first.
	Decided *Map `json:"decided,omitempty"`
	// Staged is the map that ranks are loading; nil when there is none.
	Staged *Map `json:"staged,omitempty"`
}

// Claim puts the record under a new owner.
func (r Record) Claim(fence int64) Record {
	r.Fence = fence
	return r
}

// Stage binds the next epoch to m.
func (r Record) Stage(m Map) Record {
	r.NextEpoch++
	r.Staged = m.Seal(r.NextEpoch)
	return r
}

// Decide makes the staged map the one to run.
func (r Record) Decide() Record {
	if r.Decided == nil || r.Decided.Leader() != r.Staged.Leader() {
		r.Term++
	}
	r.Decided = r.Staged
	r.Staged = nil
	return r
}

// Abandon drops the staged map. Its epoch is never used again.
func (r Record) Abandon() Record {
	r.Staged = nil
	return r
}
