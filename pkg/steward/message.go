package steward

import (
	"encoding/binary"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// RPC methods of a steward.
const (
	methodObserve = "steward.observe"
	methodOrder   = "steward.order"
)

// Member is the network location of a rank and its steward.
type Member struct {
	// Upstream and Steward are addresses of the form host:port.
	Upstream string `json:"upstream"`
	Steward  string `json:"steward"`
}

// ObserveRequest requests the state of a steward's rank.
type ObserveRequest struct {
	// FencingToken is the fencing token of the leader, or 0 when the caller only completes a
	// hold.
	FencingToken int64  `json:"fence"`
	Leader       string `json:"leader"`
	// Group is the group of the leader. The steward of a rank in another group returns only the
	// name of that group. Empty matches every group.
	Group string `json:"group,omitempty"`
	// IncludeCounts requests the counts of chosen experts, and IncludeExperts the experts that
	// the rank has loaded.
	IncludeCounts  bool `json:"counts,omitempty"`
	IncludeExperts bool `json:"lists,omitempty"`
	// Members is the leader's list of members, for stewards that cannot read it from the store.
	Members []Member `json:"members,omitempty"`
}

// Observation is the state of a rank as its steward read it.
type Observation struct {
	Report platform.RankReport `json:"report"`
	// Counts has how often each expert was chosen, layer by layer. It is packed because hundreds
	// of values are sent many times a second.
	Counts packedCounts `json:"counts,omitempty"`
	// MapVersion is the version of the map in use, and LoadedExperts has its experts on this
	// rank by layer.
	MapVersion    int64   `json:"held_version"`
	LoadedExperts [][]int `json:"held,omitempty"`
	// NewestFencingToken is the newest fencing token that the steward has seen.
	NewestFencingToken int64 `json:"fence"`
	// direct is set when the rank was read without its steward.
	direct bool
}

// packedCounts is a sequence of counts encoded as unsigned varints.
type packedCounts []byte

func packCounts(counts []int64) packedCounts {
	var out packedCounts
	for _, n := range counts {
		out = binary.AppendUvarint(out, uint64(n))
	}
	return out
}

// unpack decodes the counts up to the first that is malformed.
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

// OrderRequest requests that a steward forwards an order to its rank.
type OrderRequest struct {
	// FencingToken is the fencing token of the leader, or 0 when the caller only completes a
	// hold.
	FencingToken int64           `json:"fence"`
	Order        mapswitch.Order `json:"order"`
	// CheckOnly makes the steward check the fencing token and leaves it to the caller to send the
	// order to the rank.
	CheckOnly bool `json:"check_only,omitempty"`
}

// OrderResult is the outcome of an order.
type OrderResult struct {
	// Accepted is set when the rank accepted the order. Refused is set when the order does not
	// fit the state of the rank or its fencing token is too low. Neither is set when the outcome
	// is unknown.
	Accepted           bool   `json:"accepted,omitempty"`
	Refused            bool   `json:"refused,omitempty"`
	Detail             string `json:"detail,omitempty"`
	NewestFencingToken int64  `json:"fence"`
}
