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

// claimWait bounds the wait for the claim of a key.
const claimWait = 5 * time.Second

// keyed runs a request that may run only once for its idempotency key.
func (s *session) keyed(ctx context.Context) Result {
	ask := s.ask(ctx)
	askCtx, cancel := context.WithTimeout(ctx, claimWait)
	dec, err := s.d.claims.do(askCtx, ask)
	cancel()
	if err != nil {
		// The claim may have been written; nothing ran and nothing will.
		s.endClaim(idempotency.Release, nil)
		dec = idempotency.Decision{Code: code.ClaimUnavailable}
	}
	switch dec.Code {
	case code.OK:
		return s.claimed(ctx)
	case code.Duplicate:
		s.d.meters.replayed.Inc(1)
		s.claimEvent(event.ClaimReplayed, dec.Code)
		return s.replay(dec.Answer)
	}
	s.d.meters.refused.Inc(1)
	s.claimEvent(event.ClaimRefused, dec.Code)
	return Result{Code: dec.Code, RetryAfter: defaultRetryAfter}
}

func (s *session) ask(ctx context.Context) idempotency.Op {
	left := timeLeft(ctx)
	return idempotency.Op{
		Kind:        idempotency.Ask,
		Key:         s.key(),
		ID:          s.call,
		Fingerprint: idempotency.Fingerprint([]byte(s.req.Target), []byte(s.req.Method), []byte(s.req.Path), s.req.Body),
		Timeout:     max(left, 0) + retry.StartBudget,
		TTL:         time.Duration(s.d.config.View().Document.Limits.IdempotencyKeyTTLSeconds) * time.Second,
	}
}

func (s *session) key() idempotency.Key {
	return idempotency.NewKey(s.req.Organisation.Name, s.req.IdempotencyKey)
}

// claimed runs the request under its claim and ends the claim. The run goes on when
// the caller goes away, so that a repeat finds its answer.
func (s *session) claimed(ctx context.Context) Result {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if at, ok := ctx.Deadline(); ok {
		runCtx, cancel = context.WithDeadline(runCtx, at)
		defer cancel()
	}
	if ctx.Err() != nil {
		s.endClaim(idempotency.Release, nil)
		return Result{Code: code.DeadlineTooShort, RetryAfter: defaultRetryAfter}
	}
	rec := &recorder{sink: s.sink}
	s.sink = rec
	res := s.run(runCtx)
	switch {
	case res.Code == code.OK:
		s.endClaim(idempotency.Finish, rec.answer())
	case res.Code.Outcome() == code.NotRun:
		s.endClaim(idempotency.Release, nil)
	default:
		s.endClaim(idempotency.Abandon, nil)
	}
	return res
}

func (s *session) endClaim(kind idempotency.OpKind, a *idempotency.Answer) {
	s.d.claims.end(idempotency.Op{Kind: kind, Key: s.key(), ID: s.call, Answer: a})
}

// replay hands a kept answer to the caller.
func (s *session) replay(a *idempotency.Answer) Result {
	f := peer.Frame{Status: a.Status, Data: a.Body}
	f.Headers = []peer.Header{{Name: HeaderCode, Value: strconv.Itoa(int(code.Duplicate))}}
	for _, h := range a.Headers {
		f.Headers = append(f.Headers, peer.Header(h))
	}
	if s.sink.Frame(f) != nil {
		return Result{Code: code.CallerGone}
	}
	return Result{Code: code.Duplicate}
}

func (s *session) claimEvent(k event.Kind, c code.Code) {
	s.d.events.Record(event.Event{
		Kind: k, Request: s.req.ID, Organisation: s.req.Organisation.Name, Code: int(c), Detail: c.String(),
	})
}

// recorder passes an answer on and keeps it while it is small. It implements Sink.
type recorder struct {
	sink Sink
	kept idempotency.Answer
	// large is set once the answer exceeds what is kept, gone once the caller left.
	large bool
	gone  bool
}

// Frame implements Sink. It never fails: the run outlives its caller.
func (r *recorder) Frame(f peer.Frame) error {
	r.keep(f)
	if !r.gone && r.sink.Frame(f) != nil {
		r.gone = true
	}
	return nil
}

func (r *recorder) keep(f peer.Frame) {
	if f.Status != 0 {
		r.kept.Status = f.Status
		for _, h := range f.Headers {
			r.kept.Headers = append(r.kept.Headers, idempotency.Header(h))
		}
	}
	if r.large || len(r.kept.Body)+len(f.Data) > idempotency.MaxAnswerBytes {
		r.large = true
		r.kept.Body = nil
		return
	}
	r.kept.Body = append(r.kept.Body, f.Data...)
}

// answer returns the answer, or nil when it was too large to keep.
func (r *recorder) answer() *idempotency.Answer {
	if r.large {
		return nil
	}
	return &r.kept
}
