package steward

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/fanout"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

// observeMembers reads all members concurrently. It returns the observation of each member, nil for those
// that did not respond within a time, and the sum of the choices of experts of all.
func (s *Steward) observeMembers(ctx context.Context, timeout time.Duration, members []Member, r ObserveRequest) ([]*Observation, []int64) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.observeParts(ctx, members, fanout.MaxDirect, r)
}

// observeParts is observeMembers until ctx ends, with up to maxDirect calls to members themselves.
func (s *Steward) observeParts(ctx context.Context, members []Member, maxDirect int, r ObserveRequest) ([]*Observation, []int64) {
	var mu sync.Mutex
	out := make([]*Observation, len(members))
	var choices []int64
	add := func(i int, o *Observation) {
		mu.Lock()
		defer mu.Unlock()
		choices = addInts(choices, o.Choices.unpack())
		out[i] = o
	}
	relay := func(ctx context.Context, part []int, at int) error {
		relayed, err := s.transport.relayObserve(ctx, members[at], RelayedObserveRequest{
			ObserveRequest: r, Part: fanout.At(members, part), TimeoutMillis: fanout.TimeoutMillis(ctx),
		})
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		choices = addInts(choices, relayed.Choices.unpack())
		for _, r := range relayed.Observations {
			if o, ok := r.observation(); ok && r.Position >= 0 && r.Position < len(part) {
				out[part[r.Position]] = o
			}
		}
		return nil
	}
	direct := func(ctx context.Context, i int) {
		o, err := s.observeMember(ctx, members[i], r)
		if err != nil {
			s.log.Debug("rank-unreachable", "steward", members[i].Steward, "error", err.Error())
			return
		}
		add(i, &o)
	}
	s.tree.Do(ctx, upstreams(members), maxDirect, fanout.Calls{Relay: relay, Direct: direct})
	return out, choices
}

func (s *Steward) observeMember(ctx context.Context, m Member, r ObserveRequest) (Observation, error) {
	if m.Upstream == s.settings.UpstreamAddress {
		return s.observe(ctx, r)
	}
	return s.transport.observe(ctx, m, r)
}

// transport calls other stewards.
type transport interface {
	observe(ctx context.Context, m Member, r ObserveRequest) (Observation, error)
	relayObserve(ctx context.Context, m Member, r RelayedObserveRequest) (RelayedObservations, error)
	order(ctx context.Context, m Member, r OrderRequest) (OrderResult, error)
	relayOrders(ctx context.Context, m Member, r RelayedOrderRequest) ([]*OrderResult, error)
}

// rpcTransport calls other stewards by RPC.
type rpcTransport struct{ steward *Steward }

func (t rpcTransport) observe(ctx context.Context, m Member, r ObserveRequest) (Observation, error) {
	return callSteward[Observation](ctx, t.steward, m, methodObserve, r)
}

func (t rpcTransport) relayObserve(ctx context.Context, m Member, r RelayedObserveRequest) (RelayedObservations, error) {
	return callSteward[RelayedObservations](ctx, t.steward, m, methodRelayObserve, r)
}

func (t rpcTransport) order(ctx context.Context, m Member, r OrderRequest) (OrderResult, error) {
	return callSteward[OrderResult](ctx, t.steward, m, methodOrder, r)
}

func (t rpcTransport) relayOrders(ctx context.Context, m Member, r RelayedOrderRequest) ([]*OrderResult, error) {
	return callSteward[[]*OrderResult](ctx, t.steward, m, methodRelayOrders, r)
}

// callSteward calls a method of another steward. After a timeout it closes the connection: one
// whose peer lost power may never respond again, and the next call opens a new one.
func callSteward[R any](ctx context.Context, s *Steward, m Member, method string, params any) (R, error) {
	c := s.client(m.Steward)
	result, err := peer.Call[R](ctx, c, method, params)
	if errors.Is(err, context.DeadlineExceeded) {
		c.Close()
	}
	return result, err
}

// sendOrders sends orders to the stewards of their ranks concurrently. All orders with a version have the same map. The
// result is nil for each order without a response.
func (s *Steward) sendOrders(ctx context.Context, orders []mapswitch.Order, memberByRank map[int]Member, fencingToken int64) []*OrderResult {
	out := make([]*OrderResult, len(orders))
	var wg sync.WaitGroup
	for _, p := range packOrders(orders, memberByRank, fencingToken) {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, p.timeout())
			defer cancel()
			for k, r := range s.sendParts(ctx, p.packedOrders, fanout.MaxDirect) {
				out[p.indexes[k]] = r
			}
		})
	}
	wg.Wait()
	return out
}

// packedOrders is one order for several ranks, without its map.
type packedOrders struct {
	order     mapswitch.Order
	packedMap packedInts
	// ranks are the ranks that get the order, and members has the member for each.
	ranks        []int
	members      []Member
	fencingToken int64
}

// at returns the order for the rank with index i.
func (p packedOrders) at(i int) mapswitch.Order {
	o := p.order
	o.Rank = p.ranks[i]
	return o
}

// timeout returns the limit for sending the orders.
func (p packedOrders) timeout() time.Duration {
	if p.packedMap != nil && len(p.ranks) > fanout.MaxDirect {
		return largePrepareTimeout
	}
	return observeTimeout
}

// indexedOrders are packed orders with the indexes that they had before.
type indexedOrders struct {
	packedOrders
	indexes []int
}

// packOrders packs orders that differ in their rank only.
func packOrders(orders []mapswitch.Order, memberByRank map[int]Member, fencingToken int64) []*indexedOrders {
	var out []*indexedOrders
	for i, o := range orders {
		same := func(p *indexedOrders) bool {
			return p.order.Op == o.Op && p.order.Epoch == o.Epoch && p.order.Version == o.Version && p.order.Pass == o.Pass
		}
		k := slices.IndexFunc(out, same)
		if k < 0 {
			k = len(out)
			p := &indexedOrders{packedOrders: packedOrders{order: o, packedMap: packMap(o.Map), fencingToken: fencingToken}}
			p.order.Map, p.order.Rank = nil, 0
			out = append(out, p)
		}
		p := out[k]
		p.ranks, p.members, p.indexes = append(p.ranks, o.Rank), append(p.members, memberByRank[o.Rank]), append(p.indexes, i)
	}
	return out
}

// errResultsMissing means that a relay returned another number of results than it got orders.
var errResultsMissing = errors.New("the relay returned another number of results")

// sendParts sends orders until ctx ends, with up to maxDirect calls to members themselves.
func (s *Steward) sendParts(ctx context.Context, p packedOrders, maxDirect int) []*OrderResult {
	out := make([]*OrderResult, len(p.ranks))
	relay := func(ctx context.Context, part []int, at int) error {
		results, err := s.transport.relayOrders(ctx, p.members[at], RelayedOrderRequest{
			FencingToken: p.fencingToken, Order: p.order, Map: p.packedMap, Ranks: fanout.At(p.ranks, part), Part: fanout.At(p.members, part), TimeoutMillis: fanout.TimeoutMillis(ctx),
		})
		if err == nil && len(results) != len(part) {
			err = oops.Wrap(errResultsMissing)
		}
		if err != nil {
			return err
		}
		for k, i := range part {
			out[i] = results[k]
		}
		return nil
	}
	direct := func(ctx context.Context, i int) {
		r, err := s.sendOrder(ctx, p.members[i], OrderRequest{FencingToken: p.fencingToken, Order: p.at(i), Map: p.packedMap})
		if err != nil {
			s.log.Info("order-not-delivered", "rank", p.ranks[i], "op", p.order.Op.String(), "error", err.Error())
			return
		}
		out[i] = &r
	}
	s.tree.Do(ctx, upstreams(p.members), maxDirect, fanout.Calls{Relay: relay, Direct: direct})
	return out
}

// sendOrder sends one order. Arm and Release need no fencing token, so they go directly to a
// rank whose steward does not respond. A hold is sent to the rank by the leader itself, after the
// rank's steward has checked the fencing token: an instance must not freeze with both the order and
// the rank that has the hold.
func (s *Steward) sendOrder(ctx context.Context, m Member, r OrderRequest) (OrderResult, error) {
	if m.Upstream == s.settings.UpstreamAddress {
		return s.applyOrder(ctx, r), nil
	}
	r.CheckOnly = r.Order.Op == mapswitch.Hold
	result, err := s.transport.order(ctx, m, r)
	if r.CheckOnly && err == nil && result.Accepted {
		return s.sendOrderDirectly(ctx, m, r), nil
	}
	if err != nil && (r.Order.Op == mapswitch.Arm || r.Order.Op == mapswitch.Release) {
		return s.sendOrderDirectly(ctx, m, r), nil
	}
	return result, err
}
