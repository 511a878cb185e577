package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a process as the instance list names it.
type Member struct {
	ID     string
	Zone   string
	Region string
}

// Place is where a process runs.
type Place struct {
	Zone   string
	Region string
}

// ranked is a member with its place in the order of a subset.
type ranked struct {
	member   Member
	distance int
	score    uint64
}

// Subset returns at most n of the members for a key: those of the same zone first, then
// those of the same region, then the others, each ordered by rendezvous hash.
func Subset(key string, at Place, members []Member, n int) []Member {
	best := make([]ranked, 0, n+1)
	for _, m := range members {
		r := ranked{m, distance(at, m), score(key, m.ID)}
		i, _ := slices.BinarySearchFunc(best, r, compareRanked)
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

func compareRanked(a, b ranked) int {
	return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.score, a.score), cmp.Compare(a.member.ID, b.member.ID))
}

// distance is 0 in the same zone, 1 in the same region and 2 elsewhere.
func distance(at Place, m Member) int {
	switch {
	case m.Zone == at.Zone:
		return 0
	case m.Region == at.Region:
		return 1
	}
	return 2
}

func score(key, id string) uint64 { return xxhash.Sum64String(key + "\x00" + id) }

// WatchersPerAgent is the number of entries that watch an agent and hand it news.
const WatchersPerAgent = 3

// Watchers returns the entries that watch an agent.
func Watchers(agent Member, entries []Member) []Member {
	return Subset(agent.ID, Place{agent.Zone, agent.Region}, entries, WatchersPerAgent)
}

// Watched returns the agents that an entry watches.
func Watched(entry Member, entries, agents []Member) []Member {
	zones := map[string][]Member{}
	for _, e := range entries {
		zones[e.Zone] = append(zones[e.Zone], e)
	}
	var out []Member
	for _, a := range agents {
		near := zones[a.Zone]
		if len(near) >= WatchersPerAgent && a.Zone != entry.Zone {
			continue
		}
		if len(near) < WatchersPerAgent {
			near = entries
		}
		if slices.ContainsFunc(Watchers(a, near), func(w Member) bool { return w.ID == entry.ID }) {
			out = append(out, a)
		}
	}
	return out
}
