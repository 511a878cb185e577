package agent

import (
	"context"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

// ServeProbe serves peer.MethodProbe: it returns the configuration version and incarnation
// of the agent.
func (a *Agent) ServeProbe(context.Context, *jsonrpc2.Conn, peer.ProbeRequest) (peer.ProbeResult, error) {
	return peer.ProbeResult{ConfigVersion: a.config.View().Version(), Incarnation: a.fence.Incarnation()}, nil
}
