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

// HeaderCode is the header field with the numbered result code of an answer.
const HeaderCode = "X-Result-Code"

// claimTimeout bounds the wait for the claim of a key.
const claimTimeout = 5 * time.Second

// runKeyed runs a request that may run only once for its idempotency key.
func (x *execution) runKeyed(ctx context.Context) Result {
	ask := x.claimOperation(ctx)
	askCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	dec, err := x.dispatcher.claims.commit(askCtx, ask)
	cancel()
	if err != nil {
		// The claim may have been written; nothing ran and nothing will.
		x.endClaim(idempotency.Release, nil)
		dec = idempotency.Decision{Code: code.ClaimUnavailable}
	}
	switch dec.Code {
	case code.OK:
		return x.runClaimed(ctx)
	case code.Duplicate:
		x.dispatcher.metrics.claimsReplayed.Inc(1)
		x.recordClaimEvent(event.ClaimReplayed, dec.Code)
		return x.replay(dec.Answer)
	}
	x.dispatcher.metrics.claimsRefused.Inc(1)
	x.recordClaimEvent(event.ClaimRefused, dec.Code)
	return Result{Code: dec.Code, RetryAfter: defaultRetryAfter}
}

func (x *execution) claimOperation(ctx context.Context) idempotency.Op {
	left := remainingTime(ctx)
	return idempotency.Op{
		Kind:        idempotency.Ask,
		Key:         x.idempotencyKey(),
		ID:          x.callID,
		Fingerprint: idempotency.Fingerprint([]byte(x.req.Target), []byte(x.req.Method), []byte(x.req.Path), x.req.Body),
		Timeout:     max(left, 0) + retry.StartBudget,
		TTL:         time.Duration(x.dispatcher.config.View().Document.Limits.IdempotencyKeyTTLSeconds) * time.Second,
	}
}

func (x *execution) idempotencyKey() idempotency.Key {
	return idempotency.NewKey(x.req.Organisation.Name, x.req.IdempotencyKey)
}

// runClaimed runs the request under its claim and ends the claim. The run goes on when
// the caller goes away, so that a repeat finds its answer.
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

func (x *execution) endClaim(kind idempotency.OpKind, a *idempotency.Answer) {
	x.dispatcher.claims.commitEnd(idempotency.Op{Kind: kind, Key: x.idempotencyKey(), ID: x.callID, Answer: a})
}

// replay hands a kept answer to the caller.
func (x *execution) replay(a *idempotency.Answer) Result {
	f := peer.Frame{Status: a.Status, Data: a.Body}
	f.Headers = []peer.Header{{Name: HeaderCode, Value: strconv.Itoa(int(code.Duplicate))}}
	for _, h := range a.Headers {
		f.Headers = append(f.Headers, peer.Header(h))
	}
	if x.sink.Frame(f) != nil {
		return Result{Code: code.CallerGone}
	}
	return Result{Code: code.Duplicate}
}

func (x *execution) recordClaimEvent(k event.Kind, c code.Code) {
	x.dispatcher.events.Record(event.Event{
		Kind: k, Request: x.req.ID, Organisation: x.req.Organisation.Name, Code: int(c), Detail: c.String(),
	})
}

// responseRecorder passes an answer on and keeps it while it is small. It implements Sink.
type responseRecorder struct {
	sink     Sink
	recorded idempotency.Answer
	// tooLarge is set once the answer exceeds what is kept, gone once the caller left.
	tooLarge   bool
	callerGone bool
}

// Frame implements Sink. It never fails: the run outlives its caller.
func (r *responseRecorder) Frame(f peer.Frame) error {
	r.append(f)
	if !r.callerGone && r.sink.Frame(f) != nil {
		r.callerGone = true
	}
	return nil
}

func (r *responseRecorder) append(f peer.Frame) {
	if f.Status != 0 {
		r.recorded.Status = f.Status
		for _, h := range f.Headers {
			r.recorded.Headers = append(r.recorded.Headers, idempotency.Header(h))
		}
	}
	if r.tooLarge || len(r.recorded.Body)+len(f.Data) > idempotency.MaxAnswerBytes {
		r.tooLarge = true
		r.recorded.Body = nil
		return
	}
	r.recorded.Body = append(r.recorded.Body, f.Data...)
}

// response returns the response, or nil when it was too large to keep.
func (r *responseRecorder) response() *idempotency.Answer {
	if r.tooLarge {
		return nil
	}
	return &r.recorded
}
