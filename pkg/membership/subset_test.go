package membership_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/membership"
)

const zoneCount = 9

// newMembers returns n members spread evenly over the zones, which lie in four regions.
func newMembers(prefix string, n int) []membership.Member {
	out := make([]membership.Member, n)
	for i := range out {
		zone := i % zoneCount
		out[i] = membership.Member{
			ID: fmt.Sprintf("%s-%d", prefix, i), Zone: fmt.Sprintf("zone-%d", zone), Region: fmt.Sprintf("region-%d", zone%4),
		}
	}
	return out
}

// At the designed system size, all watchers of an agent are in its zone, and the number of agents
// per entry stays balanced.
func TestWatchersAtFullSize(t *testing.T) {
	is := is.New(t)
	entries, agents := newMembers("entry", 1600), newMembers("agent", 12_000)
	load := map[string]int{}
	sum := 0
	for _, e := range entries[:9] {
		sum += len(membership.WatchedAgents(e, entries, agents))
	}
	near := map[string][]membership.Member{}
	for _, e := range entries {
		near[e.Zone] = append(near[e.Zone], e)
	}
	for _, a := range agents {
		w := membership.Watchers(a, near[a.Zone])
		is.Equal(len(w), membership.WatchersPerAgent)
		for _, e := range w {
			is.Equal(e.Zone, a.Zone)
			load[e.ID]++
		}
	}
	most := 0
	for _, n := range load {
		most = max(most, n)
	}
	t.Logf("12000 agents, 1600 entries: an entry watches %.1f agents on average, %d at most", 12_000.0*3/1600, most)
	is.True(most < 60)
	watched := 0
	for _, e := range entries[:9] {
		watched += load[e.ID]
	}
	is.Equal(sum, watched) // WatchedAgents and Watchers agree.
	moved := 0
	for _, a := range agents[:300] {
		before, after := membership.Watchers(a, entries), membership.Watchers(a, entries[1:])
		if !slices.Equal(before, after) {
			moved++
		}
	}
	is.True(moved < 5) // Removing one of 1,600 entries affects only the agents that it watched.
}

// If one of the two relays is lost, updates must still reach all entries of the zone.
func TestTreeReachesAllThroughEitherTree(t *testing.T) {
	is := is.New(t)
	entries := newMembers("entry", 1600)
	tree := membership.NewDistributionTrees("zone-3", entries)
	is.True(len(tree.Relays()) <= membership.TreesPerZone)
	reached := map[string]bool{}
	var spread func(string)
	spread = func(id string) {
		if reached[id] {
			return
		}
		reached[id] = true
		for _, c := range tree.Children(id) {
			spread(c)
		}
	}
	// Start at one relay only, as if the other were lost.
	spread(tree.Relays()[len(tree.Relays())-1])
	want, most := 0, 0
	for _, e := range entries {
		if e.Zone != "zone-3" {
			continue
		}
		want++
		most = max(most, len(tree.Children(e.ID)))
		for _, p := range tree.Parents(e.ID) {
			is.True(p != e.ID)
		}
	}
	is.Equal(len(reached), want)
	t.Logf("%d entries in a zone: %d hops, at most %d children", want, tree.Depth(), most)
	is.True(tree.Depth() <= 3)
}
