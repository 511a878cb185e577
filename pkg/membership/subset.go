package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a process of the instance list.
type Member struct {
	ID     string
	Zone   string
	Region string
}

// Location is the zone and the region in which a process runs.
type Location struct {
	Zone   string
	Region string
}

// candidate is a member with the keys by which Subset orders it.
type candidate struct {
	member   Member
	distance int
	score    uint64
}

// Subset selects at most n of the members for a key. Members of the same zone come first, then
// those of the same region, then the others; each group is ordered by rendezvous hash.
func Subset(key string, location Location, members []Member, n int) []Member {
	best := make([]candidate, 0, n+1)
	for _, m := range members {
		r := candidate{m, distance(location, m), rendezvousScore(key, m.ID)}
		i, _ := slices.BinarySearchFunc(best, r, compareCandidates)
		if i == n {
			continue
		}
		best = slices.Insert(best, i, r)
		best = best[:min(n, len(best))]
	}
	out := make([]Member, len(best))
	for i, r := range best {
		out[i] = r.member
	}
	return out
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.score, a.score), cmp.Compare(a.member.ID, b.member.ID))
}

// distance is 0 in the same zone, 1 in the same region and 2 elsewhere.
func distance(location Location, m Member) int {
	switch {
	case m.Zone == location.Zone:
		return 0
	case m.Region == location.Region:
		return 1
	}
	return 2
}

func rendezvousScore(key, id string) uint64 { return xxhash.Sum64String(key + "\x00" + id) }

// WatchersPerAgent is the number of entries that watch an agent and send it updates.
const WatchersPerAgent = 3

// Watchers returns the entries that watch an agent.
func Watchers(agent Member, entries []Member) []Member {
	return Subset(agent.ID, Location{agent.Zone, agent.Region}, entries, WatchersPerAgent)
}

// WatchedAgents returns the agents that an entry watches. An agent is watched by entries of its own
// zone if there are at least WatchersPerAgent of them, and otherwise by entries of all zones.
func WatchedAgents(entry Member, entries, agents []Member) []Member {
	entriesByZone := map[string][]Member{}
	for _, e := range entries {
		entriesByZone[e.Zone] = append(entriesByZone[e.Zone], e)
	}
	var out []Member
	for _, a := range agents {
		candidates := entriesByZone[a.Zone]
		if len(candidates) >= WatchersPerAgent && a.Zone != entry.Zone {
			continue
		}
		if len(candidates) < WatchersPerAgent {
			candidates = entries
		}
		if slices.ContainsFunc(Watchers(a, candidates), func(w Member) bool { return w.ID == entry.ID }) {
			out = append(out, a)
		}
	}
	return out
}
