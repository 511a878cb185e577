package pick

import "github.com/cespare/xxhash/v2"

const (
	// coldStarterShare is the part of the excess that is allowed which the tokens of all entries may use. The rest is
	// for moments at which entries differ in which of them there are.
	coldStarterShare = 0.75
	// minColdStarters is the least number of entries that start at a cold upstream: one may be down.
	minColdStarters = 2
)

// ColdStarters returns how many entries may start at one cold upstream. Each has a TokenBucket that may be full, so
// that in one second there are as many starts more than rate as there are entries. Allowed are overage times rate, plus
// allowance.
func ColdStarters(rate, overage, allowance float64) int {
	return max(minColdStarters, int(coldStarterShare*((overage-1)*rate+allowance)))
}

// IsAmongFirst reports whether an entry is among the first n for a key, in the order of rendezvous hashing. An entry that
// is not in the list counts as if it were.
func IsAmongFirst(self string, entries []string, key string, n int) bool {
	score := func(name string) uint64 { return xxhash.Sum64String(key + "\x00cold\x00" + name) }
	own, before := score(self), 0
	for _, e := range entries {
		if e != self && score(e) > own {
			before++
		}
	}
	return before < n
}
