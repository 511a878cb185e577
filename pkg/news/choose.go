package news

import (
	"slices"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/instancelist"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/membership"
)

// chosen is a process to watch.
type chosen struct {
	control string
	// far is set for a process of another zone.
	far bool
	// hand is set when changes are handed on to the process at once.
	hand bool
	// others are its other watchers.
	others []string
}

// choose returns the processes that an entry watches: its neighbours in the trees of its
// zone, for a relay the relays of the other zones, and its share of the agents.
func choose(o Options, list []instancelist.Instance) map[string]chosen {
	entries, agents, control := split(list)
	out := map[string]chosen{}
	tree := membership.NewTree(o.Zone, entries)
	children := tree.Children(o.Name)
	for _, id := range append(tree.Parents(o.Name), children...) {
		others := append(tree.Parents(id), tree.Children(id)...)
		out[id] = chosen{control: control[id], others: without(others, o.Name), hand: slices.Contains(children, id)}
	}
	if tree.Relay(o.Name) {
		for _, id := range relaysOf(entries, o.Zone) {
			out[id] = chosen{control: control[id], far: true, hand: true}
		}
	}
	self := membership.Member{ID: o.Name, Zone: o.Zone, Region: o.Region}
	for _, a := range membership.Watched(self, entries, agents) {
		var others []string
		for _, w := range membership.Watchers(a, entries) {
			others = append(others, w.ID)
		}
		out[a.ID] = chosen{control: control[a.ID], far: a.Zone != o.Zone, hand: true, others: without(others, o.Name)}
	}
	delete(out, o.Name)
	return out
}

// split separates entries and agents that can be reached.
func split(list []instancelist.Instance) (entries, agents []membership.Member, control map[string]string) {
	control = make(map[string]string, len(list))
	for _, i := range list {
		if i.Control == "" {
			continue
		}
		control[i.ID] = i.Control
		m := membership.Member{ID: i.ID, Zone: i.Zone, Region: i.Region}
		if i.Role == instancelist.Entry {
			entries = append(entries, m)
		} else {
			agents = append(agents, m)
		}
	}
	return entries, agents, control
}

// relaysOf returns the relays of all zones but one.
func relaysOf(entries []membership.Member, but string) []string {
	var out []string
	seen := map[string]bool{but: true}
	for _, e := range entries {
		if !seen[e.Zone] {
			seen[e.Zone] = true
			out = append(out, membership.NewTree(e.Zone, entries).Relays()...)
		}
	}
	return out
}

func without(list []string, id string) []string {
	var out []string
	for _, s := range list {
		if s != id {
			out = append(out, s)
		}
	}
	return out
}
