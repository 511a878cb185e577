package steward

import (
	"context"
	"errors"
	"sync"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

// observeMembers reads all members concurrently. The result is nil for each member that did not
// respond.
func (s *Steward) observeMembers(ctx context.Context, members []Member, r ObserveRequest) []*Observation {
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	out := make([]*Observation, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() {
			o, err := s.observeMember(ctx, m, r)
			if err != nil {
				s.log.Debug("rank-unreachable", "steward", m.Steward, "error", err.Error())
				return
			}
			out[i] = &o
		})
	}
	wg.Wait()
	return out
}

func (s *Steward) observeMember(ctx context.Context, m Member, r ObserveRequest) (Observation, error) {
	if m.Upstream == s.settings.UpstreamAddress {
		return s.observe(ctx, r)
	}
	return callSteward[Observation](ctx, s, m, methodObserve, r)
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

// sendOrders sends orders to the stewards of their ranks concurrently. The result is nil for
// each order without a response.
func (s *Steward) sendOrders(ctx context.Context, orders []mapswitch.Order, memberByRank map[int]Member, fencingToken int64) []*OrderResult {
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	out := make([]*OrderResult, len(orders))
	var wg sync.WaitGroup
	for i, o := range orders {
		wg.Go(func() {
			r, err := s.sendOrder(ctx, memberByRank[o.Rank], OrderRequest{FencingToken: fencingToken, Order: o})
			if err != nil {
				s.log.Info("order-not-delivered", "rank", o.Rank, "op", o.Op.String(), "error", err.Error())
				return
			}
			out[i] = &r
		})
	}
	wg.Wait()
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
	result, err := callSteward[OrderResult](ctx, s, m, methodOrder, r)
	if r.CheckOnly && err == nil && result.Accepted {
		return s.sendOrderDirectly(ctx, m, r), nil
	}
	if err != nil && (r.Order.Op == mapswitch.Arm || r.Order.Op == mapswitch.Release) {
		return s.sendOrderDirectly(ctx, m, r), nil
	}
	return result, err
}
