package steward

import (
	"context"
	"errors"
	"sync"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

// observeMembers looks at members at once; the answer of one that gave none is nil.
func (s *Steward) observeMembers(ctx context.Context, members []Member, r ObserveRequest) []*Observation {
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	out := make([]*Observation, len(members))
	var wait sync.WaitGroup
	for i, m := range members {
		wait.Go(func() {
			o, err := s.observeMember(ctx, m, r)
			if err != nil {
				s.log.Debug("rank-not-seen", "steward", m.Steward, "error", err.Error())
				return
			}
			out[i] = &o
		})
	}
	wait.Wait()
	return out
}

func (s *Steward) observeMember(ctx context.Context, m Member, r ObserveRequest) (Observation, error) {
	if m.Upstream == s.node.UpstreamAddress {
		return s.observe(ctx, r)
	}
	return callSteward[Observation](ctx, s, m, methodObserve, r)
}

// callSteward calls another steward. A connection on which an answer did not come in time
// may be silent for good, as after a loss of power at its other end: the next call opens
// another one.
func callSteward[R any](ctx context.Context, s *Steward, m Member, method string, params any) (R, error) {
	c := s.client(m.Steward)
	result, err := peer.Call[R](ctx, c, method, params)
	if errors.Is(err, context.DeadlineExceeded) {
		c.Close()
	}
	return result, err
}

// giveOrders passes orders on; the result of one whose steward gave none is nil.
func (s *Steward) giveOrders(ctx context.Context, orders []mapswitch.Order, places map[int]Member, fence int64) []*OrderResult {
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	out := make([]*OrderResult, len(orders))
	var wait sync.WaitGroup
	for i, o := range orders {
		wait.Go(func() {
			r, err := s.giveOrder(ctx, places[o.Rank], OrderRequest{Fence: fence, Order: o})
			if err != nil {
				s.log.Info("order-not-passed", "rank", o.Rank, "op", o.Op.String(), "error", err.Error())
				return
			}
			out[i] = &r
		})
	}
	wait.Wait()
	return out
}

func (s *Steward) giveOrder(ctx context.Context, m Member, r OrderRequest) (OrderResult, error) {
	if m.Upstream == s.node.UpstreamAddress {
		return s.order(ctx, r), nil
	}
	result, err := callSteward[OrderResult](ctx, s, m, methodOrder, r)
	if err != nil && (r.Order.Op == mapswitch.Arm || r.Order.Op == mapswitch.Release) {
		return s.orderDirectly(ctx, m, r), nil
	}
	return result, err
}
