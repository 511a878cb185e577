package entry

import (
	"context"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/fx"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/dispatch"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

// registerVerdictHandler merges the verdicts that other processes send and loads those stored on
// the platform.
func registerVerdictHandler(lc fx.Lifecycle, p *entryProcess, quarantine *dispatch.Quarantine) {
	p.quarantine = quarantine
	peer.Handle(p.controlServer, peer.MethodVerdict, func(_ context.Context, _ *jsonrpc2.Conn, r peer.VerdictRequest) (peer.VerdictResult, error) {
		p.events.Clock().Observe(r.Stamp)
		quarantine.Merge(r.Verdicts)
		return peer.VerdictResult{SenderState: p.senderState()}, nil
	})
	run, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go quarantine.Load(run)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}
