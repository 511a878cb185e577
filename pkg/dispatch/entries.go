package dispatch

import (
	"github.com/coltsfootpitch/coltsfootpitch/pkg/directory"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/instancelist"
)

// Entries returns the state of all entries as seen by this one. selfUsable reports whether
// this entry accepts requests.
func (t *InstanceTable) Entries(selfUsable bool) []directory.Entry {
	view := t.opts.Config.View()
	now := t.opts.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []directory.Entry
	for _, id := range t.orderedIDs {
		m := t.members[id]
		if m.instance.Role != instancelist.RoleEntry {
			continue
		}
		reachable := !m.lost && now.Sub(m.requestedAt) <= MaxStatusAge
		leaving := m.status.Leaving || m.instance.State != instancelist.StateLive
		if id == t.opts.Name {
			reachable = true
			leaving = leaving || !selfUsable
		}
		out = append(out, directory.Entry{
			Address:  m.instance.Address,
			InRegion: m.instance.Region == t.opts.Region,
			Leaving:  leaving,
			Usable:   reachable && !view.IsZoneOut(m.instance.Zone),
		})
	}
	return out
}
