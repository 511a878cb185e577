package entry

import (
	"context"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/fx"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/dispatch"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

// registerVerdicts serves the verdicts of other processes and loads those that the
// platform keeps.
func registerVerdicts(lc fx.Lifecycle, n *node, q *dispatch.Quarantine) {
	n.quarantine = q
	peer.Handle(n.control, peer.MethodVerdict, func(_ context.Context, _ *jsonrpc2.Conn, r peer.VerdictRequest) (peer.VerdictResult, error) {
		n.events.Clock().Observe(r.Stamp)
		q.Merge(r.Verdicts)
		return peer.VerdictResult{SenderState: n.news()}, nil
	})
	run, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go q.Load(run)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}
