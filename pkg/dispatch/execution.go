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

// execution is the state of one request while it runs.
type execution struct {
	dispatcher *Dispatcher
	// callID identifies the request among those of all entries.
	callID string
	req    Request
	sink   Sink
	// attempt is the number of the latest attempt, starting at 1; 0 before the first.
	attempt int
	// tried holds the IDs of the upstreams of all attempts.
	tried    []string
	response response
	// fingerprint identifies requests with the same content; admission is the decision of
	// the quarantine for the next attempt.
	fingerprint poison.Fingerprint
	admission   admission
	// unknownCode is the code of the first attempt whose outcome is unknown, or 0.
	unknownCode code.Code
}

// execute runs the request. A request that is not idempotent but has an idempotency key runs
// under a claim of the key.
func (x *execution) execute(ctx context.Context) Result {
	if x.req.IdempotencyKey != "" && !x.req.Idempotent {
		return x.runKeyed(ctx)
	}
	return x.run(ctx)
}

// run makes attempts until one ends the request. The result is "not run" only when no attempt
// ran.
func (x *execution) run(ctx context.Context) Result {
	defer x.endIsolatedRun()
	res := x.runAttempts(ctx)
	if res.Code.Outcome() == code.NotRun && x.unknownCode != 0 {
		res.Code = x.unknownCode
	}
	return res
}

// runAttempts makes attempts until one ends the request or MaxAttempts is reached.
func (x *execution) runAttempts(ctx context.Context) Result {
	last := Result{Code: code.NoUpstream}
	for x.attempt < x.dispatcher.config.View().Document.Limits.MaxAttempts {
		p, final, ok := x.nextUpstream(ctx, last)
		if !ok {
			return final
		}
		var more bool
		last, more = x.afterAttempt(ctx, x.runAttempt(ctx, p))
		if !more {
			return last
		}
	}
	return last
}

// nextUpstream chooses the upstream of the next attempt. It returns false, with the result of
// the request, when no attempt may follow the one that ended with last.
func (x *execution) nextUpstream(ctx context.Context, last Result) (selection, Result, bool) {
	if res, rejected := x.checkQuarantine(ctx); rejected {
		return selection{}, res, false
	}
	if x.isRetryWithheld(last.Code) {
		x.dispatcher.table.metrics.retriesWithheld.Inc(1)
		return selection{}, last, false
	}
	p, ok := x.pickUpstream()
	if !ok {
		return selection{}, last, false
	}
	if c := retry.CheckWait(p.expectedWait, remainingTime(ctx), p.meanServiceTime); c != code.OK && x.attempt == 0 {
		x.dispatcher.table.releaseAttempt(p)
		x.dispatcher.table.metrics.rejectedOverDeadline.Inc(1)
		return selection{}, Result{Code: c}, false
	}
	return p, Result{}, true
}

// isRetryWithheld reports whether the retry budget forbids an attempt after one that ended
// with c. The isolated run of a suspect does not use the budget.
func (x *execution) isRetryWithheld(c code.Code) bool {
	if x.attempt == 0 || x.admission.isolatedRun != nil {
		return false
	}
	return !x.dispatcher.budgets.allow(x.req.Organisation.Name, c, x.response.transcript.HasEvents())
}

// runAttempt makes the next attempt at p and records its outcome.
func (x *execution) runAttempt(ctx context.Context, p selection) Result {
	x.attempt++
	if x.attempt > 1 {
		x.dispatcher.table.metrics.retries.Inc(1)
	}
	x.tried = append(x.tried, p.id)
	x.dispatcher.table.addPrefix(p, x.req.Prefix)
	res := x.sendAttempt(ctx, p)
	x.dispatcher.table.releaseAttempt(p)
	if res.Code.Outcome() == code.Unknown && x.unknownCode == 0 {
		x.unknownCode = res.Code
	}
	x.applyOutcome(res.Code)
	return res
}

// afterAttempt returns the result so far and reports whether another attempt may follow.
func (x *execution) afterAttempt(ctx context.Context, last Result) (Result, bool) {
	if ctx.Err() != nil {
		return last, false
	}
	switch last.Code.Outcome() {
	case code.NotRun:
		return last, true
	case code.Unknown:
		return x.afterUnknownOutcome(last)
	}
	return last, false
}

// afterUnknownOutcome returns the result after an attempt that may have run, and reports
// whether another attempt may follow. It completes a stream that lacks only its closing events.
func (x *execution) afterUnknownOutcome(last Result) (Result, bool) {
	if !x.req.Idempotent {
		return last, false
	}
	p := x.response.planRecovery(x.req)
	switch p.Action {
	case resume.Repeat:
		return last, true
	case resume.Resume:
		x.dispatcher.metrics.streamsResumed.Inc(1)
		x.recordStreamEvent(event.StreamResumed, last)
		return last, true
	case resume.Complete:
		x.dispatcher.metrics.streamsCompleted.Inc(1)
		x.recordStreamEvent(event.StreamCompleted, last)
		if x.response.sendClosingEvents(p.Events, x.sink) != nil {
			return Result{Code: code.CallerGone}, false
		}
		return Result{Code: code.OK, Upstream: last.Upstream}, false
	}
	return last, false
}

// recordStreamEvent records an event about the stream that the last attempt left incomplete.
func (x *execution) recordStreamEvent(k event.Kind, last Result) {
	x.dispatcher.events.Record(event.Event{
		Kind: k, Request: x.req.ID, Attempt: x.attempt, Organisation: x.req.Organisation.Name,
		Upstream: last.Upstream, Code: int(last.Code), Detail: last.Code.String(),
	})
}

// sendAttempt sends the request to the agent of p and delivers the response to the sink.
func (x *execution) sendAttempt(ctx context.Context, p selection) Result {
	r := x.newRunRequest(ctx, p)
	x.recordAttemptEvent(event.AttemptSent, p, 0)
	x.response.nextAttempt()
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	res, err := p.client.Run(runCtx, p.workAddress, r, func(f peer.Frame) error { return x.response.deliver(f, x.req.Stream, x.sink) })
	out := Result{Code: res.Code, Detail: res.Detail, Upstream: p.id}
	if err == nil && res.Code == code.OK {
		err = x.response.finish(x.sink)
	}
	if err == nil {
		x.dispatcher.table.observe(p.id, res.AgentStatus, x.dispatcher.table.opts.Now())
		x.sendConfigurationAsync(p, res.ConfigVersion)
	} else {
		if errors.Is(err, peer.ErrIncomplete) {
			x.dispatcher.metrics.incompleteResponses.Inc(1)
			x.recordAttemptEvent(event.FrameDropped, p, code.AnswerNotWhole)
		}
		out.Code, out.Detail = x.resolveOutcome(ctx, p, r, err), err.Error()
		if out.Code == code.UpstreamUnreachable || out.Code == code.AgentLost {
			x.dispatcher.table.markLost(p.member)
		}
	}
	if res.RetryAfterMillis > 0 {
		out.RetryAfter = time.Duration(res.RetryAfterMillis) * time.Millisecond
	}
	x.recordAttemptEvent(event.AttemptEnded, p, out.Code)
	return out
}

// defaultDeadline is the time left that is assumed for a context without a deadline.
const defaultDeadline = time.Minute

// newRunRequest returns the message that sends the current attempt to the agent of p.
func (x *execution) newRunRequest(ctx context.Context, p selection) peer.RunRequest {
	left := remainingTime(ctx)
	r := peer.RunRequest{
		SenderState:       x.dispatcher.table.senderState(),
		CallID:            x.callID,
		RequestID:         x.req.ID,
		Attempt:           x.attempt,
		Entry:             x.dispatcher.table.opts.Name,
		Incarnation:       p.incarnation,
		IssuedAtMillis:    p.issuedAt.Milliseconds(),
		Organisation:      x.req.Organisation.Name,
		Priority:          x.req.Organisation.Priority,
		Weight:            x.req.Organisation.Weight,
		Kind:              x.req.Kind,
		Target:            x.req.Target,
		Method:            x.req.Method,
		Path:              x.req.Path,
		Headers:           x.req.Headers,
		Body:              x.response.nextBody(x.req),
		Stream:            x.req.Stream,
		Idempotent:        x.req.Idempotent,
		IdempotencyKey:    x.req.IdempotencyKey,
		Fingerprint:       x.fingerprint,
		Isolated:          x.admission.isolatedRun != nil,
		Cost:              x.req.Cost,
		StartWithinMillis: x.startBudget(left, p.meanServiceTime).Milliseconds(),
		TimeoutMillis:     max(left.Milliseconds(), 1),
	}
	return r
}

// sendConfigurationAsync sends the configuration to the agent of p in the background when the
// agent has an older version.
func (x *execution) sendConfigurationAsync(p selection, version int64) {
	if version >= x.dispatcher.config.View().Version() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), statusCallTimeout)
		defer cancel()
		x.dispatcher.table.sendConfiguration(ctx, p.client, version)
	}()
}

// recordAttemptEvent records an event about the current attempt; c is 0 when it has no code.
func (x *execution) recordAttemptEvent(k event.Kind, p selection, c code.Code) {
	e := event.Event{Kind: k, Request: x.req.ID, Attempt: x.attempt, Organisation: x.req.Organisation.Name, Upstream: p.id, Code: int(c)}
	if c != 0 {
		e.Detail = c.String()
	}
	x.dispatcher.events.Record(e)
}
