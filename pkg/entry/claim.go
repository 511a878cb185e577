package entry

import (
	"context"
	"errors"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/fx"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/claimstore"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/dispatch"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
)

func newClaimStore(p *platform.Client, reg metrics.Registry) *claimstore.Store {
	return claimstore.New(claimstore.Options{Objects: p.WithPriority(platform.PrioritySafety), Registry: reg})
}

// registerClaims serves the claims of which this entry is the home. At a stop, after
// the last request has ended, it waits for the ends of the claims.
func registerClaims(lc fx.Lifecycle, n *node, s *claimstore.Store, d *dispatch.Dispatcher) {
	peer.Handle(n.control, peer.MethodClaim, func(ctx context.Context, _ *jsonrpc2.Conn, r peer.ClaimRequest) (peer.ClaimResult, error) {
		n.events.Clock().Observe(r.Stamp)
		dec, err := s.Commit(ctx, r.Op)
		if err != nil && !errors.Is(err, claimstore.ErrUnavailable) {
			return peer.ClaimResult{}, err
		}
		return peer.ClaimResult{SenderState: n.news(), Confirmed: err == nil, Decision: dec}, nil
	})
	lc.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		d.Drain(ctx)
		return ctx.Err()
	}})
}
