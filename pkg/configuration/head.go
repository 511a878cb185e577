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
	// PreviousHashes holds the hashes of the changed sections before the edit; "" for a new section.
	PreviousHashes SectionHashes `json:"before"`
	// Update leads from the previous version to this one. It is kept only for recent and small
	// edits; see HistoryUpdates and MaxUpdateBytes.
	Update *Update `json:"update,omitempty"`
}

// Head is the stored root of the configuration. It refers to the content of the sections of the
// current version and lists the newest accepted edits.
type Head struct {
	Version int64 `json:"version"`
	// Hashes holds the hashes of the current sections.
	Hashes SectionHashes `json:"refs"`
	// History holds the newest edits, oldest first, at most HistoryLength.
	History []Edit `json:"history"`
}

const (
	// HistoryLength is the number of edits that the head keeps.
	HistoryLength = 64
	// HistoryUpdates is the number of newest edits whose update is kept.
	HistoryUpdates = 8
	// MaxUpdateBytes limits the encoded size of an update that is kept.
	MaxUpdateBytes = 1024
)

// FindEdit returns the version that the edit with the given ID made. It reports false when the edit
// is not in the history.
func (h Head) FindEdit(id string) (int64, bool) {
	for _, e := range h.History {
		if e.ID == id {
			return e.Version, true
		}
	}
	return 0, false
}

// EditIDAt returns the ID of the edit that made a version, or "" when it is not in the history.
func (h Head) EditIDAt(version int64) string {
	for _, e := range h.History {
		if e.Version == version {
			return e.ID
		}
	}
	return ""
}

// HistoryReaches reports whether the history contains every edit after a version.
func (h Head) HistoryReaches(version int64) bool {
	if version == h.Version || h.EditIDAt(version) != "" {
		return true
	}
	return len(h.History) > 0 && h.History[0].Version == version+1
}

// HashesAt returns the hashes of the sections at the current or an earlier version. It reports false
// when that version is not in the history or a repair was made after it.
func (h Head) HashesAt(version int64) (SectionHashes, bool) {
	if version != h.Version && h.EditIDAt(version) == "" {
		return nil, false
	}
	hashes := maps.Clone(h.Hashes)
	for i := len(h.History) - 1; i >= 0 && h.History[i].Version > version; i-- {
		if h.History[i].Repair {
			return nil, false
		}
		maps.Copy(hashes, h.History[i].PreviousHashes)
	}
	return hashes, true
}

// Append returns the head after an edit that sets the given sections. It fills in Version and
// PreviousHashes of e, drops the oldest edits beyond HistoryLength and clears the updates of all but the
// newest HistoryUpdates edits.
func (h Head) Append(e Edit, set SectionHashes) Head {
	next := Head{Version: h.Version + 1, Hashes: maps.Clone(h.Hashes)}
	if next.Hashes == nil {
		next.Hashes = SectionHashes{}
	}
	e.Version = next.Version
	e.PreviousHashes = SectionHashes{}
	for s, hash := range set {
		e.PreviousHashes[s] = h.Hashes[s]
		next.Hashes[s] = hash
	}
	next.History = append(append([]Edit(nil), h.History...), e)
	if extra := len(next.History) - HistoryLength; extra > 0 {
		next.History = next.History[extra:]
	}
	for i := range next.History[:max(0, len(next.History)-HistoryUpdates)] {
		next.History[i].Update = nil
	}
	return next
}

// ContentRef identifies the content of a section by its hash.
type ContentRef struct {
	Section Section
	Hash    string
}

// Reachable returns the set of contents that the head or its history refers to.
func (h Head) Reachable() map[ContentRef]bool {
	contents := map[ContentRef]bool{}
	add := func(hashes SectionHashes) {
		for s, hash := range hashes {
			if hash != "" {
				contents[ContentRef{s, hash}] = true
			}
		}
	}
	add(h.Hashes)
	for _, e := range h.History {
		add(e.PreviousHashes)
	}
	return contents
}

// Dropped returns the contents that h refers to and next does not.
func (h Head) Dropped(next Head) []ContentRef {
	keep := next.Reachable()
	var out []ContentRef
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
	if from == nil || from.Version > h.Version || h.EditIDAt(from.Version) != from.EditID {
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
