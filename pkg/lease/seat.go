package lease

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// ShardsPerSeat is the number of shards that one holder looks after.
	ShardsPerSeat = 64
	// MinSeats is the least number of seats, so that one pause does not stop all decisions.
	MinSeats = 2
	// CandidatesPerSeat is the number of controllers that wait for each seat.
	CandidatesPerSeat = 3
)

// Seats returns the number of seats for a number of shards.
func Seats(shards int) int {
	return max(MinSeats, (shards+ShardsPerSeat-1)/ShardsPerSeat)
}

// SeatName returns the name of the lease of a seat.
func SeatName(seat int) string { return "seat-" + strconv.Itoa(seat) }

// Candidates returns the controllers that wait for a seat, the first ones by rendezvous
// hash. All others neither read nor write its lease.
func Candidates(seat int, controllers []string) []string {
	ordered := rendezvous(SeatName(seat), controllers)
	return ordered[:min(len(ordered), CandidatesPerSeat)]
}

// SeatsOf returns the seats that a controller waits for, in order.
func SeatsOf(controller string, seats int, controllers []string) []int {
	var out []int
	for s := range seats {
		if slices.Contains(Candidates(s, controllers), controller) {
			out = append(out, s)
		}
	}
	return out
}

// Owner returns the holder that a shard is assigned to, or "" when there is no holder.
func Owner(shard string, holders []string) string {
	ordered := rendezvous(shard, holders)
	if len(ordered) == 0 {
		return ""
	}
	return ordered[0]
}

// rendezvous returns names ordered by their hash with a key, the highest first.
func rendezvous(key string, names []string) []string {
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b string) int {
		x, y := score(key, a), score(key, b)
		if x != y {
			return cmp.Compare(y, x)
		}
		return cmp.Compare(a, b)
	})
	return out
}

func score(key, name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }
