package steward

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// directTimeout limits a call to the rank of another instance.
const directTimeout = 60 * time.Millisecond

// observeDirectly fills in the missing responses of stewards by reading their ranks over the
// network. Such a read lags by some hundred milliseconds and has a cost, so it is used only for
// a group that is stalled or about to stall.
func (s *Steward) observeDirectly(ctx context.Context, members []Member, responses []*Observation) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for i, o := range responses {
		if o != nil {
			continue
		}
		wg.Go(func() {
			report, err := platform.NewRank(members[i].Upstream, directTimeout).Report(ctx)
			if err != nil {
				s.log.Debug("rank-unreachable", "upstream", members[i].Upstream, "error", err.Error())
				return
			}
			responses[i] = &Observation{Report: report, direct: true}
		})
	}
	wg.Wait()
}

// sendOrderDirectly sends an order to the rank of another instance. The order needs no fencing
// token or its token was checked by the rank's steward.
func (s *Steward) sendOrderDirectly(ctx context.Context, m Member, r OrderRequest) OrderResult {
	// The call to the steward may have used up the deadline of ctx.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), directTimeout)
	defer cancel()
	err := platform.NewRank(m.Upstream, directTimeout).Order(ctx, r.Order, r.FencingToken)
	s.log.Info("order-sent-directly", "upstream", m.Upstream, "op", r.Order.Op.String(),
		"version", r.Order.Version, "pass", r.Order.Pass, "taken", err == nil)
	return OrderResult{Accepted: err == nil, Refused: errors.Is(err, platform.ErrOrderRejected)}
}
