package mapswitch

import "slices"

// Under each fencing token, versions below firstAbandonable belong to maps of releases that could
// not abandon a switch. From there on even versions belong to maps, and each odd one stands for the
// abandoned switch to the version before it.
const (
	versionsPerFencingToken = 1_000_000
	firstAbandonable        = 500_000
)

// VersionOf returns the version of the n-th map that the leader with a fencing token plans.
func VersionOf(fencingToken, n int64) int64 {
	return fencingToken*versionsPerFencingToken + firstAbandonable + 2*n
}

// canAbandon reports whether the switch to a version can be abandoned.
func canAbandon(version int64) bool {
	return version != None && version%versionsPerFencingToken >= firstAbandonable && version%2 == 0
}

// abandonedVersion returns the version with which a rank gives up the switch to a version.
func abandonedVersion(version int64) int64 { return version + 1 }

func isAbandoned(version int64) bool { return version > 0 && canAbandon(version-1) }

// IsAbandon reports whether an order gives up a switch. Such an order is safe from any sender.
func (o Order) IsAbandon() bool { return o.Op == Prepare && isAbandoned(o.Version) }

// AbandonTarget returns the target with which the steward of a rank abandons the switch to t: the same
// version, and a map in which the rank keeps the experts that it has loaded, so that it copies nothing.
// loaded lists them by layer. Experts that no rank would have then replace others that several ranks
// have.
func AbandonTarget(t Target, rank int, loaded [][]int) Target {
	if len(loaded) != len(t.Map) {
		return t
	}
	m := make(Map, len(t.Map))
	for layer := range t.Map {
		m[layer] = slices.Clone(t.Map[layer])
		m[layer][rank] = loaded[layer]
		addMissing(m[layer], t.Map[layer][rank], rank)
	}
	t.Map = m
	return t
}

// addMissing puts each of the experts that no rank has on a rank other than keep, in place of one that
// another rank has too.
func addMissing(expertsOn [][]int, experts []int, keep int) {
	replicas := map[int]int{}
	for _, on := range expertsOn {
		for _, e := range on {
			replicas[e]++
		}
	}
	for _, missing := range experts {
		if replicas[missing] > 0 {
			continue
		}
		for r, on := range expertsOn {
			i := slices.IndexFunc(on, func(e int) bool { return replicas[e] > 1 })
			if r == keep || i < 0 {
				continue
			}
			replicas[on[i]]--
			replicas[missing]++
			expertsOn[r] = slices.Clone(on)
			expertsOn[r][i] = missing
			break
		}
	}
}
