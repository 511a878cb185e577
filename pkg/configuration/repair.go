package configuration

// maxRecentEdits is the largest number of edits in the trail of a document.
const maxRecentEdits = 16

// Trail returns the newest edits in the history from the last repair on, oldest first.
func (h Head) Trail() []EditRef {
	var out []EditRef
	for _, e := range h.History {
		if e.Repair {
			out = nil
		}
		out = append(out, EditRef{Version: e.Version, ID: e.ID})
	}
	return out[max(0, len(out)-maxRecentEdits):]
}

// Follows reports whether d may replace old: its version is higher, and its trail does not name
// another edit for the version of old.
func (d *Document) Follows(old *Document) bool {
	if old == nil {
		return true
	}
	if d.Version <= old.Version {
		return false
	}
	for _, e := range d.Trail {
		if e.Version == old.Version {
			return e.ID == old.Edit
		}
	}
	return true
}

// Displaces reports whether h contradicts the document in force and must be repaired: the version of
// h is lower, or its history names another edit for the version in force. Either means that the
// platform was rolled back.
func (h Head) Displaces(inForce *Document) bool {
	if inForce == nil || inForce.Version == 0 || h.Version == inForce.Version && h.EditAt(h.Version) == inForce.Edit {
		return false
	}
	asDocument := Document{Version: h.Version, Trail: h.Trail()}
	return !asDocument.Follows(inForce)
}

// Repaired returns a head that replaces h and refers to the sections of the document in force, under
// a version higher than both. e supplies the ID, author and time of the repair. Edits of h that are
// not part of the document in force are removed from the history and returned. An editor that
// still waits for the outcome of such an edit does not find it and makes the edit again.
func (h Head) Repaired(inForce *Document, hashes Refs, e Edit) (Head, []Edit) {
	known := map[EditRef]bool{}
	first := inForce.Version
	for _, r := range inForce.Trail {
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
