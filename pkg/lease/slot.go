package lease

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// ShardsPerSlot is the number of shards for each lease slot.
	ShardsPerSlot = 64
	// MinSlots is the minimum number of slots, so that one paused holder does not stop all
	// decisions.
	MinSlots = 2
	// CandidatesPerSlot is the number of controllers that compete for each slot.
	CandidatesPerSlot = 3
)

// SlotCount returns the number of slots for a number of shards.
func SlotCount(shards int) int {
	return max(MinSlots, (shards+ShardsPerSlot-1)/ShardsPerSlot)
}

// SlotName returns the name of the lease of a slot.
func SlotName(slot int) string { return "seat-" + strconv.Itoa(slot) }

// Candidates returns the controllers that compete for a slot, the first ones in rendezvous
// order. All other controllers neither read nor write its lease.
func Candidates(slot int, controllers []string) []string {
	ordered := rendezvousOrder(SlotName(slot), controllers)
	return ordered[:min(len(ordered), CandidatesPerSlot)]
}

// SlotsOf returns the slots that a controller competes for, in ascending order.
func SlotsOf(controller string, slots int, controllers []string) []int {
	var out []int
	for slot := range slots {
		if slices.Contains(Candidates(slot, controllers), controller) {
			out = append(out, slot)
		}
	}
	return out
}

// Owner returns the holder that a shard is assigned to, or "" when there are no holders.
func Owner(shard string, holders []string) string {
	ordered := rendezvousOrder(shard, holders)
	if len(ordered) == 0 {
		return ""
	}
	return ordered[0]
}

// rendezvousOrder returns names ordered by their hash with key, highest first.
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
