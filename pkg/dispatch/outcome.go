package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

var errCallerGone = oops.Errorf("dispatch: the caller is gone")

// resolveOutcome finds out what became of an attempt without a result.
func (x *execution) resolveOutcome(ctx context.Context, p selection, r peer.RunRequest, err error) code.Code {
	if errors.Is(err, peer.ErrNotSent) {
		return code.UpstreamUnreachable
	}
	notRun := x.cancelAttempt(p, r)
	switch {
	case errors.Is(err, errCallerGone) || errors.Is(ctx.Err(), context.Canceled):
		return code.CallerGone
	case notRun && ctx.Err() != nil:
		return code.StartBudgetExpired
	case notRun:
		return code.Tombstoned
	case errors.Is(err, peer.ErrNotWhole):
		return code.AnswerNotWhole
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return code.DeadlineExceeded
	}
	return code.AgentLost
}

// cancelCallTimeout bounds a cancel call.
const cancelCallTimeout = time.Second

// cancelAttempt asks the agent to end the attempt and reports whether it confirmed that
// the attempt did not run and never will.
func (x *execution) cancelAttempt(p selection, r peer.RunRequest) bool {
	ctx, stop := context.WithTimeout(context.Background(), cancelCallTimeout)
	defer stop()
	res, err := peer.Call[peer.CancelResult](ctx, p.client, peer.MethodCancel, peer.CancelRequest{
		News: x.dispatcher.table.updates(), Call: r.Call, Request: r.Request, Attempt: r.Attempt,
		Incarnation: r.Incarnation, IssuedMillis: r.IssuedMillis,
	})
	return err == nil && res.State == peer.CancelNotRun
}
