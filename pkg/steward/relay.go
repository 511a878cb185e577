package steward

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
)

// A leader reaches the stewards of a large group along a tree, so that no process makes more than some ten calls
// and reads the counts of more than some ten ranks, whatever the size of the group. A steward that relays adds the
// choices of experts of its part.

const (
	// maxDirectMembers is the number of members up to which a leader calls each of them itself, and
	// maxRelayedMembers that up to which a relay does.
	maxDirectMembers  = 16
	maxRelayedMembers = 8
	// maxRelays is the maximum number of parts into which a steward divides more of them.
	maxRelays = 10
	// relayShare is the part of the time left that a relay may use. The rest is for calling its part directly
	// if it does not respond.
	relayShare = 0.7
	// relayMargin is how much earlier than its caller expects a relay ends its calls.
	relayMargin = 10 * time.Millisecond
	// avoidRelayTime is how long a steward that did not respond is not chosen as relay.
	avoidRelayTime = 2 * time.Second
)

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

// divide divides calls into parts of consecutive members. Parts with one member are called directly, as all are up
// to a number of maxDirect.
func divide(indexes []int, maxDirect int) [][]int {
	n := len(indexes)
	parts := n
	if n > maxDirect {
		parts = min(maxRelays, int(math.Ceil(math.Sqrt(float64(n)))))
	}
	out := make([][]int, 0, parts)
	for i := range parts {
		out = append(out, indexes[i*n/parts:(i+1)*n/parts])
	}
	return out
}

// eachPart calls relay concurrently for each part with several members, with the index of the member that is to
// relay, and direct for this steward, for each other member and for each member of a part whose relay failed.
func (s *Steward) eachPart(ctx context.Context, members []Member, maxDirect int, relay func(ctx context.Context, part []int, at int) error, direct func(ctx context.Context, i int)) {
	var wg sync.WaitGroup
	var others []int
	for i, m := range members {
		if m.Upstream == s.settings.UpstreamAddress {
			wg.Go(func() { direct(ctx, i) })
			continue
		}
		others = append(others, i)
	}
	for _, part := range divide(others, maxDirect) {
		wg.Go(func() {
			if at := s.chooseRelay(members, part); at >= 0 {
				if err := s.callRelay(ctx, members[at], func(ctx context.Context) error { return relay(ctx, part, at) }); err == nil {
					return
				}
			}
			for _, i := range part {
				wg.Go(func() { direct(ctx, i) })
			}
		})
	}
	wg.Wait()
}

// chooseRelay returns the index of the member that relays for a part, or -1 if the members are to be called
// directly.
func (s *Steward) chooseRelay(members []Member, part []int) int {
	if len(part) < 2 {
		return -1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, i := range part {
		if now.After(s.avoidedUntil[members[i].Steward]) {
			return i
		}
	}
	return -1
}

// pickAt returns the elements at some indexes.
func pickAt[T any](list []T, indexes []int) []T {
	out := make([]T, len(indexes))
	for k, i := range indexes {
		out[k] = list[i]
	}
	return out
}

// callRelay calls a relay with a part of the time left, and avoids it for some time if that fails.
func (s *Steward) callRelay(ctx context.Context, m Member, call func(context.Context) error) error {
	deadline, ok := ctx.Deadline()
	if ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(relayShare*float64(time.Until(deadline))))
		defer cancel()
	}
	err := call(ctx)
	if err != nil {
		s.log.Info("relay-failed", "steward", m.Steward, "error", err.Error())
		s.mu.Lock()
		s.avoidedUntil[m.Steward] = time.Now().Add(avoidRelayTime)
		s.mu.Unlock()
	}
	return err
}

// timeoutMillis returns the time that a relay may take of a call with this context.
func timeoutMillis(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return observeTimeout.Milliseconds()
	}
	return max(1, millisUntil(deadline.Add(-relayMargin)))
}

// relayObserve observes a part for another steward.
func (s *Steward) relayObserve(ctx context.Context, r RelayedObserveRequest) RelayedObservations {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.TimeoutMillis)*time.Millisecond)
	defer cancel()
	observations, choices := s.observeParts(ctx, r.Part, maxRelayedMembers, r.ObserveRequest)
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
	if len(r.Ranks) != len(r.Part) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.TimeoutMillis)*time.Millisecond)
	defer cancel()
	return s.sendParts(ctx, packedOrders{r.Order, r.Map, r.Ranks, r.Part, r.FencingToken}, maxRelayedMembers)
}
