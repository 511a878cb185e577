package configuration

// maxRecentEdits is the number of edits that a document names.
const maxRecentEdits = 16

// Trail returns the newest edits since the last repair, oldest first.
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

// Follows reports whether d may take the place of old: its version is higher, and its
// trail does not name another edit for the version of old.
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

// Displaces reports whether h stands in the place of the document in force although
// it does not follow it: its version is lower, or it names another edit for the
// version in force. The platform was then set back, and the head needs a repair.
func (h Head) Displaces(inForce *Document) bool {
	if inForce == nil || inForce.Version == 0 || h.Version == inForce.Version && h.EditAt(h.Version) == inForce.Edit {
		return false
	}
	asDocument := Document{Version: h.Version, Trail: h.Trail()}
	return !asDocument.Follows(inForce)
}

// Repaired returns the head that puts the sections in force back in place of h, under
// a version higher than both. The edits that it displaces leave the history and are
// returned, so that an editor that still waits for one of them makes it again.
func (h Head) Repaired(inForce *Document, refs Refs, e Edit) (Head, []Edit) {
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
	return h.Append(e, refs), displaced
}
