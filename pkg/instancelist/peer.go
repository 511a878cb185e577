package instancelist

import (
	"encoding/json"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
)

// SetRevision implements platform.RevisionFollower.
func (c *Cache) SetRevision(revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = revision
	c.isFollowing = true
}

// Position returns the platform revision up to which all changes are applied, and whether the list
// currently follows the platform.
func (c *Cache) Position() (revision int64, following bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision, c.isFollowing
}

// Snapshot returns the complete list for a peer that cannot reach the platform.
func (c *Cache) Snapshot() platform.List {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := platform.List{Revision: c.revision}
	for id, i := range c.byID {
		// Marshal cannot fail, as the instance was decoded from JSON.
		value, _ := json.Marshal(i)
		l.Items = append(l.Items, platform.Object{Kind: Kind, Name: id, Revision: c.revisions[id], Value: value})
	}
	return l
}

// AdoptPeerList adopts the list of a peer if the platform does not respond to this process and the
// list is newer than the current one, and reports whether it did. When the platform responds again,
// its changes are applied to the adopted list, starting at the revision up to which this process
// had followed the platform.
func (c *Cache) AdoptPeerList(l platform.List) bool {
	c.mu.Lock()
	if c.isFollowing || l.Revision <= c.revision {
		c.mu.Unlock()
		return false
	}
	c.revision = l.Revision
	c.replaceLocked(l.Items)
	c.mu.Unlock()
	c.notifyChange()
	return true
}
