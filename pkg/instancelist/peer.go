package instancelist

import (
	"encoding/json"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
)

// At implements platform.Positioned.
func (t *Table) At(revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision = revision
	t.isFollowing = true
}

// Position returns the platform revision up to which all changes are applied, and whether the list
// currently follows the platform.
func (t *Table) Position() (revision int64, following bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision, t.isFollowing
}

// Snapshot returns the complete list for a peer that cannot reach the platform.
func (t *Table) Snapshot() platform.List {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := platform.List{Revision: t.revision}
	for id, i := range t.byID {
		// Marshal cannot fail, as the instance was decoded from JSON.
		value, _ := json.Marshal(i)
		l.Items = append(l.Items, platform.Object{Kind: Kind, Name: id, Revision: t.revisions[id], Value: value})
	}
	return l
}

// Take adopts the list of a peer if the platform does not respond to this process and the list is
// newer than the current one, and reports whether it did. When the platform responds again, its
// changes are applied to the adopted list, starting at the revision up to which this process had
// followed the platform.
func (t *Table) Take(l platform.List) bool {
	t.mu.Lock()
	if t.isFollowing || l.Revision <= t.revision {
		t.mu.Unlock()
		return false
	}
	t.revision = l.Revision
	t.replaceLocked(l.Items)
	t.mu.Unlock()
	t.notifyChange()
	return true
}
