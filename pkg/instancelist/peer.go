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
	t.following = true
}

// Position returns the revision of the platform up to which the list is known, and whether the
// list follows the platform now.
func (t *Table) Position() (revision int64, following bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision, t.following
}

// Snapshot returns the whole list for a peer that cannot reach the platform.
func (t *Table) Snapshot() platform.List {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := platform.List{Revision: t.revision}
	for id, i := range t.byID {
		// An instance was decoded from JSON and encodes without error.
		value, _ := json.Marshal(i)
		l.Items = append(l.Items, platform.Object{Kind: Kind, Name: id, Revision: t.revisions[id], Value: value})
	}
	return l
}

// Take adopts the list of a peer when the platform does not answer here and the list is
// newer than the own one. It reports whether it did. When the platform answers again its
// changes are put on top, from the revision up to which they were followed.
func (t *Table) Take(l platform.List) bool {
	t.mu.Lock()
	if t.following || l.Revision <= t.revision {
		t.mu.Unlock()
		return false
	}
	t.revision = l.Revision
	t.replace(l.Items)
	t.mu.Unlock()
	t.changed()
	return true
}
