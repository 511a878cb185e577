package configuration

import "maps"

// Edit is one accepted edit in the history of the head.
type Edit struct {
	// Version is the version that the edit made.
	Version int64  `json:"version"`
	ID      string `json:"id"`
	Author  string `json:"author,omitempty"`
	// AtMillis is the Unix time of the edit in milliseconds, by the clock of the process that
	// wrote it.
	AtMillis int64 `json:"at_ms"`
	// Repair is set when a process wrote its document in force back to a platform that had been
	// rolled back.
	Repair bool `json:"repair,omitempty"`
	// Before holds the hashes of the changed sections before the edit; "" for a new section.
	Before Refs `json:"before"`
	// Update leads from the previous version to this one. It is kept only for recent and small
	// edits; see UpdateLength and MaxUpdateBytes.
	Update *Update `json:"update,omitempty"`
}

// Head is the stored root of the configuration. It refers to the content of the sections of the
// current version and lists the newest accepted edits.
type Head struct {
	Version int64 `json:"version"`
	// Refs holds the hashes of the current sections.
	Refs Refs `json:"refs"`
	// History holds the newest edits, oldest first, at most HistoryLength.
	History []Edit `json:"history"`
}

const (
	// HistoryLength is the number of edits that the head keeps.
	HistoryLength = 64
	// UpdateLength is the number of newest edits whose update is kept.
	UpdateLength = 8
	// MaxUpdateBytes limits the encoded size of an update that is kept.
	MaxUpdateBytes = 1024
)

// Find returns the version that the edit with the given ID made. It reports false when the edit is
// not in the history.
func (h Head) Find(id string) (int64, bool) {
	for _, e := range h.History {
		if e.ID == id {
			return e.Version, true
		}
	}
	return 0, false
}

// EditAt returns the ID of the edit that made a version, or "" when it is not in the history.
func (h Head) EditAt(version int64) string {
	for _, e := range h.History {
		if e.Version == version {
			return e.ID
		}
	}
	return ""
}

// Reaches reports whether the history contains every edit after a version.
func (h Head) Reaches(version int64) bool {
	if version == h.Version || h.EditAt(version) != "" {
		return true
	}
	return len(h.History) > 0 && h.History[0].Version == version+1
}

// RefsAt returns the hashes of the sections at the current or an earlier version. It reports false
// when that version is not in the history or a repair was made after it.
func (h Head) RefsAt(version int64) (Refs, bool) {
	if version != h.Version && h.EditAt(version) == "" {
		return nil, false
	}
	hashes := maps.Clone(h.Refs)
	for i := len(h.History) - 1; i >= 0 && h.History[i].Version > version; i-- {
		if h.History[i].Repair {
			return nil, false
		}
		maps.Copy(hashes, h.History[i].Before)
	}
	return hashes, true
}

// Append returns the head after an edit that sets the given sections. It fills in Version and
// Before of e, drops the oldest edits beyond HistoryLength and clears the updates of all but the
// newest UpdateLength edits.
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

// Content identifies the content of a section by its hash.
type Content struct {
	Section Section
	Hash    string
}

// Reachable returns the set of contents that the head or its history refers to.
func (h Head) Reachable() map[Content]bool {
	contents := map[Content]bool{}
	add := func(hashes Refs) {
		for s, hash := range hashes {
			if hash != "" {
				contents[Content{s, hash}] = true
			}
		}
	}
	add(h.Refs)
	for _, e := range h.History {
		add(e.Before)
	}
	return contents
}

// Dropped returns the contents that h refers to and next does not.
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

// Updates returns the updates that lead from a document to the head, in order. It reports false
// when one of them is not kept or the document was not made by an edit in the history.
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
