package configuration

// maxRecentEdits is the largest number of recent edits that a document lists.
const maxRecentEdits = 16

// RecentEdits returns the newest edits in the history from the last repair on, oldest first.
func (h Head) RecentEdits() []EditRef {
	var out []EditRef
	for _, e := range h.History {
		if e.Repair {
			out = nil
		}
		out = append(out, EditRef{Version: e.Version, ID: e.ID})
	}
	return out[max(0, len(out)-maxRecentEdits):]
}

// CanReplace reports whether d may replace old: its version is higher, and its recent edits do not
// name another edit for the version of old.
func (d *Document) CanReplace(old *Document) bool {
	if old == nil {
		return true
	}
	if d.Version <= old.Version {
		return false
	}
	for _, e := range d.RecentEdits {
		if e.Version == old.Version {
			return e.ID == old.EditID
		}
	}
	return true
}

// NeedsRepair reports whether h contradicts the document in force and must be repaired: the version
// of h is lower, or its history names another edit for the version in force. Either means that the
// platform was rolled back.
func (h Head) NeedsRepair(inForce *Document) bool {
	if inForce == nil || inForce.Version == 0 || h.Version == inForce.Version && h.EditIDAt(h.Version) == inForce.EditID {
		return false
	}
	asDocument := Document{Version: h.Version, RecentEdits: h.RecentEdits()}
	return !asDocument.CanReplace(inForce)
}

// Repaired returns a head that replaces h and refers to the sections of the document in force, under
// a version higher than both. e supplies the ID, author and time of the repair. Edits of h that are
// not part of the document in force are removed from the history and returned. An editor that
// still waits for the outcome of such an edit does not find it and makes the edit again.
func (h Head) Repaired(inForce *Document, hashes SectionHashes, e Edit) (Head, []Edit) {
	known := map[EditRef]bool{}
	first := inForce.Version
	for _, r := range inForce.RecentEdits {
		known[r] = true
		first = min(first, r.Version-1)
	}
	var kept, displaced []Edit
	for _, old := range h.History {
		if old.Version > first && !known[EditRef{old.Version, old.ID}] {
			displaced = append(displaced, old)
		} else {
			kept = append(kept, old)
		}
	}
	e.Repair = true
	h.History = kept
	h.Version = max(h.Version, inForce.Version)
	return h.Append(e, hashes), displaced
}
