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

func newClaimStore(client *platform.Client, reg metrics.Registry) *claimstore.Store {
	return claimstore.New(claimstore.Options{Objects: client.WithPriority(platform.PrioritySafety), Registry: reg})
}

// registerClaimHandler handles claim operations on the keys that this entry coordinates. On stop,
// after the last request has ended, it waits until the claims of ended requests are completed.
func registerClaimHandler(lc fx.Lifecycle, p *entryProcess, claims *claimstore.Store, d *dispatch.Dispatcher) {
	peer.Handle(p.controlServer, peer.MethodClaim, func(ctx context.Context, _ *jsonrpc2.Conn, r peer.ClaimRequest) (peer.ClaimResult, error) {
		p.events.Clock().Observe(r.Stamp)
		decision, err := claims.Commit(ctx, r.Op)
		if err != nil && !errors.Is(err, claimstore.ErrUnavailable) {
			return peer.ClaimResult{}, err
		}
		return peer.ClaimResult{SenderState: p.senderState(), Confirmed: err == nil, Decision: decision}, nil
	})
	lc.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		d.Drain(ctx)
		return ctx.Err()
	}})
}
