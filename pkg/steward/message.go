package steward

import (
	"encoding/binary"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// Methods of a steward.
const (
	methodObserve = "steward.observe"
	methodOrder   = "steward.order"
)

// Member is a rank's place in the network.
type Member struct {
	// Upstream and Steward are host:port.
	Upstream string `json:"upstream"`
	Steward  string `json:"steward"`
}

// ObserveRequest asks a steward for the state of its rank.
type ObserveRequest struct {
	// Fence is the fencing number of the leader; 0 for one who only completes a hold.
	Fence  int64  `json:"fence"`
	Leader string `json:"leader"`
	// Group is the leader's; the steward of a rank of another one says only that. Empty asks
	// everybody.
	Group string `json:"group,omitempty"`
	// Counts asks for the counts of chosen experts, and Lists for those that the rank holds.
	Counts bool `json:"counts,omitempty"`
	Lists  bool `json:"lists,omitempty"`
	// Members hands the leader's list on, for a steward that cannot read it in the store.
	Members []Member `json:"members,omitempty"`
}

// Observation is the state of a rank.
type Observation struct {
	Report platform.RankReport `json:"report"`
	// Counts are, one layer after the other, how often each expert was chosen. Hundreds of
	// them travel many times a second, so they are packed.
	Counts packedCounts `json:"counts,omitempty"`
	// HeldVersion is the version of the map whose experts Held lists by layer.
	HeldVersion int64   `json:"held_version"`
	Held        [][]int `json:"held,omitempty"`
	// Fence is the newest fencing number that the steward has seen.
	Fence int64 `json:"fence"`
	// direct is set where the rank was read without its steward.
	direct bool
}

// packedCounts are counts as varints.
type packedCounts []byte

func packCounts(counts []int64) packedCounts {
	var out packedCounts
	for _, n := range counts {
		out = binary.AppendUvarint(out, uint64(n))
	}
	return out
}

// unpack returns the counts, up to the first that cannot be read.
func (p packedCounts) unpack() []int64 {
	var out []int64
	for len(p) > 0 {
		v, n := binary.Uvarint(p)
		if n <= 0 {
			return out
		}
		out = append(out, int64(v))
		p = p[n:]
	}
	return out
}

// OrderRequest asks a steward to give its rank an order.
type OrderRequest struct {
	Fence int64           `json:"fence"`
	Order mapswitch.Order `json:"order"`
}

// OrderResult says what became of an order.
type OrderResult struct {
	// Accepted is set when the rank took it, Refused when it does not fit the rank's
	// state or the fence, and neither when nothing is known.
	Accepted bool   `json:"accepted,omitempty"`
	Refused  bool   `json:"refused,omitempty"`
	Detail   string `json:"detail,omitempty"`
	Fence    int64  `json:"fence"`
}
