package steward

import (
	"context"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/fanout"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
)

// A leader reaches the stewards of a large group along a tree, so that no process reads the choices of more than some
// ten ranks. A steward that relays adds the choices of experts of its part.

// RelayedObserveRequest requests that a steward observes members for another one.
type RelayedObserveRequest struct {
	ObserveRequest
	// Part are the members to observe.
	Part []Member `json:"part"`
	// TimeoutMillis is the time that the steward may take, in milliseconds.
	TimeoutMillis int64 `json:"timeout_ms"`
}

// RelayedObservation is the observation of a member of a part.
type RelayedObservation struct {
	// Position is the index of the member in the part.
	Position int `json:"position"`
	// Group is the group of the rank, and Report its packed report.
	Group  string     `json:"group,omitempty"`
	Report packedInts `json:"report"`
	// MapVersion, LoadedExperts, NewestFencingToken and NeedsMembers are those of Observation.
	MapVersion         int64   `json:"held_version,omitempty"`
	LoadedExperts      [][]int `json:"held,omitempty"`
	NewestFencingToken int64   `json:"fence"`
	NeedsMembers       bool    `json:"needs_members,omitempty"`
}

// RelayedObservations are the observations of a part: those of the members that responded, and the sum of
// their choices.
type RelayedObservations struct {
	Observations []RelayedObservation `json:"observations"`
	Choices      packedInts           `json:"choices,omitempty"`
}

// RelayedOrderRequest requests that a steward sends orders to members for another one.
type RelayedOrderRequest struct {
	FencingToken int64 `json:"fence"`
	// Order is the order for each of the ranks, without its map; Map is the packed map.
	Order mapswitch.Order `json:"order"`
	Map   packedInts      `json:"map,omitempty"`
	// Ranks are the ranks that get the order, and Part has the member for each.
	Ranks         []int    `json:"ranks"`
	Part          []Member `json:"part"`
	TimeoutMillis int64    `json:"timeout_ms"`
}

// upstreams returns the addresses of the ranks of members, by which fanout knows them.
func upstreams(members []Member) []string {
	out := make([]string, len(members))
	for i, m := range members {
		out[i] = m.Upstream
	}
	return out
}

// maxRelayed is the largest part that a steward relays for: more than a group has ranks. Each member costs a call.
const maxRelayed = 1024

// relayObserve observes a part for another steward.
func (s *Steward) relayObserve(ctx context.Context, r RelayedObserveRequest) RelayedObservations {
	if len(r.Part) > maxRelayed {
		s.log.Warn("relay-refused", "members", len(r.Part), "most", maxRelayed)
		return RelayedObservations{}
	}
	ctx, cancel := fanout.WithTimeout(ctx, r.TimeoutMillis)
	defer cancel()
	observations, choices := s.observeParts(ctx, r.Part, fanout.MaxRelayed, r.ObserveRequest)
	out := RelayedObservations{Choices: packInts(choices...)}
	for i, o := range observations {
		if o == nil {
			continue
		}
		out.Observations = append(out.Observations, RelayedObservation{
			Position: i, Group: o.Report.Group, Report: packReport(o.Report), MapVersion: o.MapVersion,
			LoadedExperts: o.LoadedExperts, NewestFencingToken: o.NewestFencingToken, NeedsMembers: o.NeedsMembers,
		})
	}
	return out
}

// observation returns the observation that was relayed. It returns false if it is malformed.
func (r RelayedObservation) observation() (*Observation, bool) {
	report, ok := unpackReport(r.Report, r.Group)
	return &Observation{
		Report: report, MapVersion: r.MapVersion, LoadedExperts: r.LoadedExperts, NewestFencingToken: r.NewestFencingToken,
		NeedsMembers: r.NeedsMembers,
	}, ok
}

// relayOrders sends orders for another steward. The result has the outcome of each order in turn, nil for none.
func (s *Steward) relayOrders(ctx context.Context, r RelayedOrderRequest) []*OrderResult {
	if len(r.Ranks) != len(r.Part) || len(r.Part) > maxRelayed {
		s.log.Warn("relay-refused", "members", len(r.Part), "ranks", len(r.Ranks), "most", maxRelayed)
		return nil
	}
	ctx, cancel := fanout.WithTimeout(ctx, r.TimeoutMillis)
	defer cancel()
	return s.sendParts(ctx, packedOrders{r.Order, r.Map, r.Ranks, r.Part, r.FencingToken}, fanout.MaxRelayed)
}
