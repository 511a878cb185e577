package dispatch

import (
	"context"
	"strconv"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/idempotency"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/retry"
)

// HeaderResultCode is the header field with the numeric result code of a response.
const HeaderResultCode = "X-Result-Code"

// claimTimeout is the timeout for claiming an idempotency key.
const claimTimeout = 5 * time.Second

// runKeyed runs a request that may run only once per idempotency key. A repeated request
// receives the recorded response.
func (x *execution) runKeyed(ctx context.Context) Result {
	claim := x.claimOperation(ctx)
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	decision, err := x.dispatcher.claims.commit(claimCtx, claim)
	cancel()
	if err != nil {
		// The claim may have been written. It is released, as the request will not run.
		x.endClaim(idempotency.Release, nil)
		decision = idempotency.Decision{Code: code.ClaimUnavailable}
	}
	switch decision.Code {
	case code.OK:
		return x.runClaimed(ctx)
	case code.Duplicate:
		x.dispatcher.metrics.claimsReplayed.Inc(1)
		x.recordClaimEvent(event.ClaimReplayed, decision.Code)
		return x.replay(decision.Response)
	}
	x.dispatcher.metrics.claimsRejected.Inc(1)
	x.recordClaimEvent(event.ClaimRefused, decision.Code)
	return Result{Code: decision.Code, RetryAfter: defaultRetryAfter}
}

// claimOperation returns the operation that claims the idempotency key for this request.
func (x *execution) claimOperation(ctx context.Context) idempotency.Op {
	left := remainingTime(ctx)
	return idempotency.Op{
		Kind:        idempotency.Acquire,
		Key:         x.idempotencyKey(),
		ID:          x.callID,
		Fingerprint: idempotency.Fingerprint([]byte(x.req.Target), []byte(x.req.Method), []byte(x.req.Path), x.req.Body),
		Timeout:     max(left, 0) + retry.StartBudget,
		TTL:         time.Duration(x.dispatcher.config.View().Document.Limits.IdempotencyKeyTTLSeconds) * time.Second,
	}
}

// idempotencyKey returns the idempotency key within its organisation.
func (x *execution) idempotencyKey() idempotency.Key {
	return idempotency.NewKey(x.req.Organisation.Name, x.req.IdempotencyKey)
}

// runClaimed runs the request under its claim and ends the claim. The run continues after
// the caller disconnects, so that a repeated request receives its response.
func (x *execution) runClaimed(ctx context.Context) Result {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if at, ok := ctx.Deadline(); ok {
		runCtx, cancel = context.WithDeadline(runCtx, at)
		defer cancel()
	}
	if ctx.Err() != nil {
		x.endClaim(idempotency.Release, nil)
		return Result{Code: code.DeadlineTooShort, RetryAfter: defaultRetryAfter}
	}
	rec := &responseRecorder{sink: x.sink}
	x.sink = rec
	res := x.run(runCtx)
	switch {
	case res.Code == code.OK:
		x.endClaim(idempotency.Finish, rec.response())
	case res.Code.Outcome() == code.NotRun:
		x.endClaim(idempotency.Release, nil)
	default:
		x.endClaim(idempotency.Abandon, nil)
	}
	return res
}

// endClaim ends the claim in the background. resp is the response to record, or nil.
func (x *execution) endClaim(kind idempotency.OpKind, resp *idempotency.Response) {
	x.dispatcher.claims.commitEnd(idempotency.Op{Kind: kind, Key: x.idempotencyKey(), ID: x.callID, Response: resp})
}

// replay sends a recorded response to the caller.
func (x *execution) replay(resp *idempotency.Response) Result {
	f := peer.Frame{Status: resp.Status, Data: resp.Body}
	f.Headers = []peer.Header{{Name: HeaderResultCode, Value: strconv.Itoa(int(code.Duplicate))}}
	for _, h := range resp.Headers {
		f.Headers = append(f.Headers, peer.Header(h))
	}
	if x.sink.WriteFrame(f) != nil {
		return Result{Code: code.CallerGone}
	}
	return Result{Code: code.Duplicate}
}

// recordClaimEvent records an event about the claim of the request.
func (x *execution) recordClaimEvent(k event.Kind, c code.Code) {
	x.dispatcher.events.Record(event.Event{
		Kind: k, Request: x.req.ID, Organisation: x.req.Organisation.Name, Code: int(c), Detail: c.String(),
	})
}

// responseRecorder forwards a response to a sink and records it unless it exceeds
// idempotency.MaxResponseBytes. It implements Sink.
type responseRecorder struct {
	sink     Sink
	recorded idempotency.Response
	// tooLarge is set once the response exceeds the size that is recorded.
	tooLarge bool
	// callerGone is set once the caller has disconnected.
	callerGone bool
}

// WriteFrame implements Sink. It never fails, because the run continues after the caller
// disconnects.
func (r *responseRecorder) WriteFrame(f peer.Frame) error {
	r.append(f)
	if !r.callerGone && r.sink.WriteFrame(f) != nil {
		r.callerGone = true
	}
	return nil
}

// append records a frame.
func (r *responseRecorder) append(f peer.Frame) {
	if f.Status != 0 {
		r.recorded.Status = f.Status
		for _, h := range f.Headers {
			r.recorded.Headers = append(r.recorded.Headers, idempotency.Header(h))
		}
	}
	if r.tooLarge || len(r.recorded.Body)+len(f.Data) > idempotency.MaxResponseBytes {
		r.tooLarge = true
		r.recorded.Body = nil
		return
	}
	r.recorded.Body = append(r.recorded.Body, f.Data...)
}

// response returns the recorded response, or nil when it was too large.
func (r *responseRecorder) response() *idempotency.Response {
	if r.tooLarge {
		return nil
	}
	return &r.recorded
}
