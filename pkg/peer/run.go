package peer

import (
	"context"
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

// ErrNotSent says that an attempt was never handed to the agent.
var ErrNotSent = errors.New("peer: the attempt was not sent")

// ErrNotWhole says that the frames received do not add up to the announced answer.
var ErrNotWhole = errors.New("peer: the answer is not whole")

// Run runs one attempt and hands its frames to onFrame in order. It returns
// ErrNotSent when nothing was sent, ErrNotWhole when the frames do not match the
// length and checksum of the result, the error of onFrame, and any other error when
// the result was lost; the outcome is then unknown.
func (c *Client) Run(ctx context.Context, r RunRequest, onFrame func(Frame) error) (RunResult, error) {
	var result RunResult
	conn, err := c.Connect(ctx)
	if err != nil {
		return result, errors.Join(ErrNotSent, err)
	}
	k := attemptKey{r.Call, r.Attempt, r.Incarnation}
	frames := c.sinks.open(k)
	defer c.sinks.close(k)
	wait, err := conn.DispatchCall(ctx, MethodRun, r)
	if err != nil {
		return result, oops.Wrapf(err, "send attempt")
	}
	done := make(chan error, 1)
	go func() {
		done <- wait.Wait(ctx, &result)
		c.sinks.close(k)
	}()
	check := newReceiver(onFrame)
	for f := range frames {
		if err := check.take(f); err != nil {
			return result, err
		}
	}
	if err := <-done; err != nil {
		return result, lostResult(err)
	}
	return result, check.finish(result)
}

func lostResult(err error) error {
	var e *jsonrpc2.Error
	if errors.As(err, &e) && e.Code == int64(code.UpstreamLeaving) {
		// The server refuses calls with this code before it reads them.
		return errors.Join(ErrNotSent, err)
	}
	return oops.Wrapf(err, "result lost")
}

// receiver checks that frames join without gap or repeat.
type receiver struct {
	onFrame func(Frame) error
	offset  int64
	sum     *xxhash.Digest
}

func newReceiver(onFrame func(Frame) error) *receiver {
	return &receiver{onFrame: onFrame, sum: xxhash.New()}
}

func (r *receiver) take(f Frame) error {
	if f.Offset != r.offset {
		return ErrNotWhole
	}
	r.offset += int64(len(f.Data))
	// A hash never returns an error from Write.
	_, _ = r.sum.Write(f.Data)
	return r.onFrame(f)
}

func (r *receiver) finish(result RunResult) error {
	if result.Length != r.offset {
		return ErrNotWhole
	}
	if r.offset > 0 && result.Checksum != r.sum.Sum64() {
		return ErrNotWhole
	}
	return nil
}
