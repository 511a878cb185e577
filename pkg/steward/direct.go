package steward

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// directTimeout bounds a call of another instance's rank.
const directTimeout = 60 * time.Millisecond

// observeDirectly fills in the answers of members whose stewards gave none. What a rank
// tells another instance lags by some hundred milliseconds and has a price, so this is
// only for a group that stands still or is about to.
func (s *Steward) observeDirectly(ctx context.Context, members []Member, answers []*Observation) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for i, o := range answers {
		if o != nil {
			continue
		}
		wait.Go(func() {
			report, err := platform.NewRank(members[i].Upstream, directTimeout).Report(ctx)
			if err != nil {
				s.log.Debug("rank-not-seen", "upstream", members[i].Upstream, "error", err.Error())
				return
			}
			answers[i] = &Observation{Report: report, direct: true}
		})
	}
	wait.Wait()
}

// orderDirectly gives a rank whose steward does not answer an order that needs no fence.
func (s *Steward) orderDirectly(ctx context.Context, m Member, r OrderRequest) OrderResult {
	// The steward may have used up the time of ctx.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), directTimeout)
	defer cancel()
	err := platform.NewRank(m.Upstream, directTimeout).Order(ctx, r.Order, r.Fence)
	s.log.Info("order-given-directly", "upstream", m.Upstream, "op", r.Order.Op.String(),
		"version", r.Order.Version, "pass", r.Order.Pass, "taken", err == nil)
	return OrderResult{Accepted: err == nil, Refused: errors.Is(err, platform.ErrOrderRejected)}
}
