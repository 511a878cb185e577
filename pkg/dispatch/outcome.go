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

// resolveOutcome returns the code of an attempt that failed with err instead of a result. Unless
// the request was not sent, it cancels the attempt to determine whether it ran.
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
	case errors.Is(err, peer.ErrIncomplete):
		return code.AnswerNotWhole
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return code.DeadlineExceeded
	}
	return code.AgentLost
}

// cancelCallTimeout is the timeout of a cancel call.
const cancelCallTimeout = time.Second

// cancelAttempt requests the agent to end the attempt and reports whether the agent confirmed
// that the attempt did not run and will not run later.
func (x *execution) cancelAttempt(p selection, r peer.RunRequest) bool {
	ctx, stop := context.WithTimeout(context.Background(), cancelCallTimeout)
	defer stop()
	res, err := peer.Call[peer.CancelResult](ctx, p.client, peer.MethodCancel, peer.CancelRequest{
		SenderState: x.dispatcher.table.senderState(), CallID: r.CallID, RequestID: r.RequestID, Attempt: r.Attempt,
		Incarnation: r.Incarnation, IssuedAtMillis: r.IssuedAtMillis,
	})
	return err == nil && res.State == peer.CancelNotRun
}
