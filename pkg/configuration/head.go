package configuration

import "maps"

// Edit is one accepted edit in the history of the head.
type Edit struct {
	Version int64  `json:"version"`
	ID      string `json:"id"`
	Author  string `json:"author,omitempty"`
	// AtMillis is when the edit was made on the clock of its author, in milliseconds since 1970.
	AtMillis int64 `json:"at_ms"`
	// Repair is set when a process put the document in force back in place of an older one.
	Repair bool `json:"repair,omitempty"`
	// Before holds the hashes that the changed sections had before, empty for a new section.
	Before Refs `json:"before"`
	// Update leads here from the version before. It is kept for small and recent edits only.
	Update *Update `json:"update,omitempty"`
}

// Head names the content of the document and the newest accepted edits.
type Head struct {
	Version int64 `json:"version"`
	Refs    Refs  `json:"refs"`
	// History holds the newest edits, oldest first.
	History []Edit `json:"history"`
}

const (
	// HistoryLength is the number of edits that the head keeps.
	HistoryLength = 64
	// UpdateLength is the number of newest edits whose update is kept.
	UpdateLength = 8
	// MaxUpdateBytes bounds the encoded size of a kept update.
	MaxUpdateBytes = 1024
)

// Find returns the version that the edit with the id was accepted as.
func (h Head) Find(id string) (int64, bool) {
	for _, e := range h.History {
		if e.ID == id {
			return e.Version, true
		}
	}
	return 0, false
}

// EditAt returns the id of the edit that made a version, or "" when it is no longer known.
func (h Head) EditAt(version int64) string {
	for _, e := range h.History {
		if e.Version == version {
			return e.ID
		}
	}
	return ""
}

// Reaches reports whether the history names every edit after a version.
func (h Head) Reaches(version int64) bool {
	if version == h.Version || h.EditAt(version) != "" {
		return true
	}
	return len(h.History) > 0 && h.History[0].Version == version+1
}

// RefsAt returns the hashes of the sections at an earlier version. It reports false
// when the history does not reach back to it or a repair lies between.
func (h Head) RefsAt(version int64) (Refs, bool) {
	if version != h.Version && h.EditAt(version) == "" {
		return nil, false
	}
	refs := maps.Clone(h.Refs)
	for i := len(h.History) - 1; i >= 0 && h.History[i].Version > version; i-- {
		if h.History[i].Repair {
			return nil, false
		}
		maps.Copy(refs, h.History[i].Before)
	}
	return refs, true
}

// Append returns the head after an edit that sets the given sections. The version of e and
// its Before are set here. Updates that are too old are dropped from the history.
func (h Head) Append(e Edit, set Refs) Head {
	next := Head{Version: h.Version + 1, Refs: maps.Clone(h.Refs)}
	if next.Refs == nil {
		next.Refs = Refs{}
	}
	e.Version = next.Version
	e.Before = Refs{}
	for s, hash := range set {
		e.Before[s] = h.Refs[s]
		next.Refs[s] = hash
	}
	next.History = append(append([]Edit(nil), h.History...), e)
	if extra := len(next.History) - HistoryLength; extra > 0 {
		next.History = next.History[extra:]
	}
	for i := range next.History[:max(0, len(next.History)-UpdateLength)] {
		next.History[i].Update = nil
	}
	return next
}

// Content is one section with one hash.
type Content struct {
	Section Section
	Hash    string
}

// Reachable returns all contents that the head or its history names.
func (h Head) Reachable() map[Content]bool {
	out := map[Content]bool{}
	add := func(refs Refs) {
		for s, hash := range refs {
			if hash != "" {
				out[Content{s, hash}] = true
			}
		}
	}
	add(h.Refs)
	for _, e := range h.History {
		add(e.Before)
	}
	return out
}

// Dropped returns the contents that next no longer names and h did.
func (h Head) Dropped(next Head) []Content {
	keep := next.Reachable()
	var out []Content
	for c := range h.Reachable() {
		if !keep[c] {
			out = append(out, c)
		}
	}
	return out
}

// Updates returns the kept updates that lead from a document to the head, in order.
// It reports false when one is missing or the document is not in the history.
func (h Head) Updates(from *Document) ([]Update, bool) {
	if from == nil || from.Version > h.Version || h.EditAt(from.Version) != from.Edit {
		return nil, false
	}
	var out []Update
	for _, e := range h.History {
		if e.Version <= from.Version {
			continue
		}
		if e.Update == nil {
			return nil, false
		}
		out = append(out, *e.Update)
	}
	return out, true
}
