package news

import (
	"slices"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/instancelist"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/membership"
)

// watchTarget is a process to watch.
type watchTarget struct {
	controlAddress string
	// otherZone is set for a process of another zone.
	otherZone bool
	// push is set if changes are sent to the process at once, without waiting for a probe.
	push bool
	// otherWatchers holds the IDs of the other processes that watch it.
	otherWatchers []string
}

// selectTargets returns the processes that an entry watches, by ID: its neighbours in the trees of
// its zone, the relays of the other zones if it is a relay itself, and its share of the agents.
func selectTargets(o Options, list []instancelist.Instance) map[string]watchTarget {
	entries, agents, control := splitByRole(list)
	out := map[string]watchTarget{}
	tree := membership.NewDistributionTrees(o.Zone, entries)
	children := tree.Children(o.Name)
	for _, id := range append(tree.Parents(o.Name), children...) {
		others := append(tree.Parents(id), tree.Children(id)...)
		out[id] = watchTarget{controlAddress: control[id], otherWatchers: without(others, o.Name), push: slices.Contains(children, id)}
	}
	if tree.IsRelay(o.Name) {
		for _, id := range relaysOfOtherZones(entries, o.Zone) {
			out[id] = watchTarget{controlAddress: control[id], otherZone: true, push: true}
		}
	}
	self := membership.Member{ID: o.Name, Zone: o.Zone, Region: o.Region}
	for _, a := range membership.WatchedAgents(self, entries, agents) {
		var others []string
		for _, w := range membership.Watchers(a, entries) {
			others = append(others, w.ID)
		}
		out[a.ID] = watchTarget{controlAddress: control[a.ID], otherZone: a.Zone != o.Zone, push: true, otherWatchers: without(others, o.Name)}
	}
	delete(out, o.Name)
	return out
}

// splitByRole separates entries and agents and returns their control addresses by ID. It skips
// instances without a control address, as these cannot be probed.
func splitByRole(list []instancelist.Instance) (entries, agents []membership.Member, control map[string]string) {
	control = make(map[string]string, len(list))
	for _, i := range list {
		if i.ControlAddress == "" {
			continue
		}
		control[i.ID] = i.ControlAddress
		m := membership.Member{ID: i.ID, Zone: i.Zone, Region: i.Region}
		if i.Role == instancelist.RoleEntry {
			entries = append(entries, m)
		} else {
			agents = append(agents, m)
		}
	}
	return entries, agents, control
}

// relaysOfOtherZones returns the relays of all zones except excludedZone.
func relaysOfOtherZones(entries []membership.Member, excludedZone string) []string {
	var out []string
	seen := map[string]bool{excludedZone: true}
	for _, e := range entries {
		if !seen[e.Zone] {
			seen[e.Zone] = true
			out = append(out, membership.NewDistributionTrees(e.Zone, entries).Relays()...)
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
