package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/poison"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/resume"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/retry"
)

// session is the run of one request.
type session struct {
	d *Dispatcher
	// call identifies the request within the system.
	call    string
	req     Request
	sink    Sink
	attempt int
	tried   []string
	answer  answer
	// fingerprint identifies what the request asks for; permit says how it may run.
	fingerprint poison.Fingerprint
	permit      permit
	// unknown is the first code of an attempt that may have run.
	unknown code.Code
}

// do runs the request, under its idempotency key where it may run only once.
func (s *session) do(ctx context.Context) Result {
	if s.req.IdempotencyKey != "" && !s.req.Idempotent {
		return s.keyed(ctx)
	}
	return s.run(ctx)
}

// run makes attempts until one ends the request. The request is called "not run" only
// when that is true of every attempt.
func (s *session) run(ctx context.Context) Result {
	defer s.endTrial()
	res := s.attempts(ctx)
	if res.Code.Outcome() == code.NotRun && s.unknown != 0 {
		res.Code = s.unknown
	}
	return res
}

// attempts makes attempts until one ends the request.
func (s *session) attempts(ctx context.Context) Result {
	last := Result{Code: code.NoUpstream}
	for s.attempt < s.d.config.View().Document.Limits.MaxAttempts {
		p, end, ok := s.next(ctx, last)
		if !ok {
			return end
		}
		var on bool
		last, on = s.goOn(ctx, s.attemptAt(ctx, p))
		if !on {
			return last
		}
	}
	return last
}

// next chooses the upstream of the next attempt. It reports false, with the result of the
// request, when no further attempt may be made after one that ended with last.
func (s *session) next(ctx context.Context, last Result) (picked, Result, bool) {
	if res, refused := s.permitted(ctx); refused {
		return picked{}, res, false
	}
	if s.withheld(last.Code) {
		s.d.table.meters.withheld.Inc(1)
		return picked{}, last, false
	}
	p, ok := s.pickNext()
	if !ok {
		return picked{}, last, false
	}
	if c := retry.CheckWait(p.wait, timeLeft(ctx), p.service); c != code.OK && s.attempt == 0 {
		s.d.table.release(p)
		s.d.table.meters.hopeless.Inc(1)
		return picked{}, Result{Code: c}, false
	}
	return p, Result{}, true
}

// withheld reports whether the retry budget forbids an attempt after one that ended
// with c. The one trial of a suspect needs no budget.
func (s *session) withheld(c code.Code) bool {
	if s.attempt == 0 || s.permit.trial != nil {
		return false
	}
	return !s.d.budgets.allow(s.req.Organisation.Name, c, s.answer.transcript.Sent())
}

// attemptAt makes the next attempt at p and notes what it tells.
func (s *session) attemptAt(ctx context.Context, p picked) Result {
	s.attempt++
	if s.attempt > 1 {
		s.d.table.meters.retries.Inc(1)
	}
	s.tried = append(s.tried, p.id)
	s.d.table.learn(p, s.req.Prefix)
	res := s.try(ctx, p)
	s.d.table.release(p)
	if res.Code.Outcome() == code.Unknown && s.unknown == 0 {
		s.unknown = res.Code
	}
	s.learn(res.Code)
	return res
}

// goOn decides how the request goes on after an attempt, and reports whether another
// attempt may follow. It completes a stream of which only the end is missing.
func (s *session) goOn(ctx context.Context, last Result) (Result, bool) {
	if ctx.Err() != nil {
		return last, false
	}
	switch last.Code.Outcome() {
	case code.NotRun:
		return last, true
	case code.Unknown:
		return s.afterLoss(last)
	}
	return last, false
}

// afterLoss goes on after an attempt that may have run.
func (s *session) afterLoss(last Result) (Result, bool) {
	if !s.req.Idempotent {
		return last, false
	}
	p := s.answer.plan(s.req)
	switch p.Way {
	case resume.Repeat:
		return last, true
	case resume.Resume:
		s.d.meters.resumed.Inc(1)
		s.streamEvent(event.StreamResumed, last)
		return last, true
	case resume.Complete:
		s.d.meters.completed.Inc(1)
		s.streamEvent(event.StreamCompleted, last)
		if s.answer.complete(p.Events, s.sink) != nil {
			return Result{Code: code.CallerGone}, false
		}
		return Result{Code: code.OK, Upstream: last.Upstream}, false
	}
	return last, false
}

func (s *session) streamEvent(k event.Kind, last Result) {
	s.d.events.Record(event.Event{
		Kind: k, Request: s.req.ID, Attempt: s.attempt, Organisation: s.req.Organisation.Name,
		Upstream: last.Upstream, Code: int(last.Code), Detail: last.Code.String(),
	})
}

// try makes one attempt at the picked upstream.
func (s *session) try(ctx context.Context, p picked) Result {
	r := s.message(ctx, p)
	s.record(event.AttemptSent, p, 0)
	s.answer.nextAttempt()
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	res, err := p.client.Run(runCtx, p.work, r, func(f peer.Frame) error { return s.answer.deliver(f, s.req.Stream, s.sink) })
	out := Result{Code: res.Code, Detail: res.Detail, Upstream: p.id}
	if err == nil && res.Code == code.OK {
		err = s.answer.finish(s.sink)
	}
	if err == nil {
		s.d.table.observe(p.id, res.Load, s.d.table.opts.Now())
		s.informLater(p, res.ConfigVersion)
	} else {
		if errors.Is(err, peer.ErrNotWhole) {
			s.d.meters.notWhole.Inc(1)
			s.record(event.FrameDropped, p, code.AnswerNotWhole)
		}
		out.Code, out.Detail = s.settle(ctx, p, r, err), err.Error()
		if out.Code == code.UpstreamUnreachable || out.Code == code.AgentLost {
			s.d.table.lose(p.member)
		}
	}
	if res.RetryAfterMillis > 0 {
		out.RetryAfter = time.Duration(res.RetryAfterMillis) * time.Millisecond
	}
	s.record(event.AttemptEnded, p, out.Code)
	return out
}

// defaultDeadline stands in for the deadline of a context without one.
const defaultDeadline = time.Minute

func (s *session) message(ctx context.Context, p picked) peer.RunRequest {
	left := timeLeft(ctx)
	r := peer.RunRequest{
		News:           s.d.table.news(),
		Call:           s.call,
		Request:        s.req.ID,
		Attempt:        s.attempt,
		From:           s.d.table.opts.Name,
		Incarnation:    p.incarnation,
		IssuedMillis:   p.issued.Milliseconds(),
		Organisation:   s.req.Organisation.Name,
		Priority:       s.req.Organisation.Priority,
		Weight:         s.req.Organisation.Weight,
		Kind:           s.req.Kind,
		Target:         s.req.Target,
		Method:         s.req.Method,
		Path:           s.req.Path,
		Headers:        s.req.Headers,
		Body:           s.answer.next(s.req),
		Stream:         s.req.Stream,
		Idempotent:     s.req.Idempotent,
		IdempotencyKey: s.req.IdempotencyKey,
		Fingerprint:    s.fingerprint,
		Alone:          s.permit.trial != nil,
		Cost:           s.req.Cost,
		StartByMillis:  s.startBudget(left, p.service).Milliseconds(),
		TimeoutMillis:  max(left.Milliseconds(), 1),
	}
	return r
}

func (s *session) informLater(p picked, version int64) {
	if version >= s.d.config.View().Version() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), statusCall)
		defer cancel()
		s.d.table.inform(ctx, p.client, version)
	}()
}

func (s *session) record(k event.Kind, p picked, c code.Code) {
	e := event.Event{Kind: k, Request: s.req.ID, Attempt: s.attempt, Organisation: s.req.Organisation.Name, Upstream: p.id, Code: int(c)}
	if c != 0 {
		e.Detail = c.String()
	}
	s.d.events.Record(e)
}
