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
func SeatName(slot int) string { return "seat-" + strconv.Itoa(slot) }

// Candidates returns the controllers that wait for a seat, the first ones by rendezvous
// hash. All others neither read nor write its lease.
func Candidates(slot int, controllers []string) []string {
	ordered := rendezvousOrder(SeatName(slot), controllers)
	return ordered[:min(len(ordered), CandidatesPerSeat)]
}

// SeatsOf returns the seats that a controller waits for, in order.
func SeatsOf(controller string, slots int, controllers []string) []int {
	var out []int
	for s := range slots {
		if slices.Contains(Candidates(s, controllers), controller) {
			out = append(out, s)
		}
	}
	return out
}

// Owner returns the holder that a shard is assigned to, or "" when there is no holder.
func Owner(shard string, holders []string) string {
	ordered := rendezvousOrder(shard, holders)
	if len(ordered) == 0 {
		return ""
	}
	return ordered[0]
}

// rendezvousOrder returns names ordered by their hash with a key, the highest first.
func rendezvousOrder(key string, names []string) []string {
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
