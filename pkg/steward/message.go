package steward

import (
	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// RPC methods of a steward.
const (
	methodObserve      = "steward.observe"
	methodRelayObserve = "steward.relay_observe"
	methodOrder        = "steward.order"
	methodRelayOrders  = "steward.relay_orders"
)

// Member is the network location of a rank and its steward.
type Member struct {
	// Upstream and Steward are addresses of the form host:port.
	Upstream string `json:"upstream"`
	Steward  string `json:"steward"`
	// Zone is the availability zone of the rank.
	Zone string `json:"zone,omitempty"`
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
	// IncludeChoices requests how often experts were chosen, and IncludeExperts the experts that
	// the rank has loaded.
	IncludeChoices bool `json:"choices,omitempty"`
	IncludeExperts bool `json:"lists,omitempty"`
	// Members is the leader's packed list of members, for stewards that cannot read it from the store. It is sent when a
	// steward has another one than that with MembersDigest.
	Members       []string `json:"members,omitempty"`
	MembersDigest uint64   `json:"members_digest,omitempty"`
}

// Observation is the state of a rank as its steward read it.
type Observation struct {
	Report platform.RankReport `json:"report"`
	// Choices has how often each expert was chosen since the last observation with choices for the same
	// fencing token, layer by layer; it is empty for the first one. It is packed because
	// hundreds of values are sent many times a second.
	Choices packedInts `json:"choices,omitempty"`
	// MapVersion is the version of the map in use, and LoadedExperts has its experts on this
	// rank by layer.
	MapVersion    int64   `json:"held_version"`
	LoadedExperts [][]int `json:"held,omitempty"`
	// NewestFencingToken is the newest fencing token that the steward has seen.
	NewestFencingToken int64 `json:"fence"`
	// NeedsMembers is set if the steward has another list of members than the leader.
	NeedsMembers bool `json:"needs_members,omitempty"`
	// direct is set when the rank was read without its steward.
	direct bool
}

// OrderRequest requests that a steward forwards an order to its rank.
type OrderRequest struct {
	// FencingToken is the fencing token of the leader, or 0 when the caller only completes a
	// hold.
	FencingToken int64 `json:"fence"`
	// Order is the order without its map, and Map the packed map.
	Order mapswitch.Order `json:"order"`
	Map   packedInts      `json:"map,omitempty"`
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
