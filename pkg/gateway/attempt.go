package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/exchange"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standstill"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// attemptOutcome determines what a call may do after an attempt.
type attemptOutcome int

const (
	// final attempts delivered the final response to the caller, or the caller disconnected.
	final attemptOutcome = iota
	// notSent attempts never reached the upstream.
	notSent
	// notRun attempts were rejected by the upstream before they ran.
	notRun
	// failed attempts may have run and delivered no complete response.
	failed
	// groupRefused calls were rejected by a rank whose group is not known to run, and may wait for
	// the group.
	groupRefused
)

const (
	// maxSendRetries is the number of tries after the first before an unreachable upstream ends the
	// call.
	maxSendRetries = 4
	// minAttemptTime is the time that must be left for a further attempt to be of use.
	minAttemptTime = 30 * time.Millisecond
	// overloadRetryAfter is the Retry-After of a request that upstreams rejected.
	overloadRetryAfter = 400 * time.Millisecond
)

func (c *call) randomFloat() float64 { return rand.Float64() }

// runAttempts makes attempts until one is final, no further one is allowed or a group refuses the
// call. It returns final or groupRefused.
func (c *call) runAttempts(ctx context.Context) attemptOutcome {
	reached := c.attemptsSent
	for try := 0; ; try++ {
		if c.isConvicted() {
			c.respondFailure(ctx, reasonCrashes)
			return final
		}
		target, ok := c.chooseAdmitted(ctx)
		if !ok {
			reason := "no-upstream"
			if c.gateway.fleet.LimitWait(c.service, time.Now()) > 0 {
				reason = reasonLimited
			}
			c.respondFailure(ctx, reason)
			return final
		}
		c.triedUpstreams = append(c.triedUpstreams, target.ID)
		isLast := !c.canAttemptAgain(reached+1) || try >= maxSendRetries
		outcome := c.attempt(ctx, target, isLast)
		c.mayHaveRun = c.mayHaveRun || outcome == failed
		switch {
		case outcome == final:
			return final
		case ctx.Err() != nil:
			c.respondFailure(ctx, "time")
			return final
		case outcome == notSent:
			if try >= maxSendRetries {
				c.respondFailure(ctx, "unreachable")
				return final
			}
			continue
		}
		reached++
		if !c.allowRetry(outcome, reached) {
			c.respondFailure(ctx, "upstream-failed")
			return final
		}
		if outcome == notRun && !c.mayHaveRun && target.HasRoom && !c.gateway.isGroupKnownToRun(c.service) {
			c.triedUpstreams = nil
			return groupRefused
		}
	}
}

// chooseAdmitted reserves a slot at the best upstream whose limit allows the request. It returns false when
// there is none.
func (c *call) chooseAdmitted(ctx context.Context) (Target, bool) {
	for ctx.Err() == nil {
		target, ok := c.gateway.fleet.Choose(c.service, c.triedUpstreams, time.Now())
		if (!ok || target.Superseded) && c.waitForColdStart(ctx) {
			if ok {
				c.gateway.fleet.Unreserve(target.ID)
			}
			continue
		}
		if !ok {
			return Target{}, false
		}
		if c.gateway.fleet.limits.admit(ctx, target.Incarnation) {
			return target, true
		}
		c.gateway.count("limits_reached")
		c.gateway.log.Info("upstream-limit-reached", "request", c.request.ID, "upstream", target.ID, "address", target.Address)
		c.gateway.fleet.Unreserve(target.ID)
	}
	return Target{}, false
}

// waitForColdStart waits until this gateway may start a request at a cold upstream. It reports false at once if there is none, or
// none in time to be of use.
func (c *call) waitForColdStart(ctx context.Context) bool {
	now := time.Now()
	wait := c.gateway.fleet.ColdStartWait(c.service, c.triedUpstreams, now)
	if wait == 0 || now.Add(wait).Sub(c.startedAt) > c.maxWait() {
		return false
	}
	c.gateway.count("cold_start_waits")
	sleep(ctx, wait)
	return true
}

// canAttemptAgain reports whether the route and the time left allow a further attempt after this
// number of attempts that reached an upstream.
func (c *call) canAttemptAgain(reached int) bool {
	return reached < c.route.MaxAttempts && c.timeLeft() > minAttemptTime
}

// allowRetry reports whether another attempt may follow one with this outcome. It takes the retry
// from the budget.
func (c *call) allowRetry(outcome attemptOutcome, reached int) bool {
	if !c.canAttemptAgain(reached) {
		return false
	}
	if outcome != notRun && !c.route.IsRepeatable() {
		return false
	}
	return c.gateway.withdrawRetry(c.service, time.Now())
}

// respondFailure sends the final response when no attempt delivered one.
func (c *call) respondFailure(ctx context.Context, reason string) {
	if c.headSent {
		c.abort(reason)
	}
	status := http.StatusServiceUnavailable
	if c.mayHaveRun {
		status = http.StatusBadGateway
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			status = http.StatusGatewayTimeout
		}
	}
	var retryAfter time.Duration
	switch reason {
	case reasonCrashes:
		retryAfter = crashRetryAfter
	case reasonLimited:
		retryAfter = c.jitteredRetryAfter(max(overloadRetryAfter, c.gateway.fleet.LimitWait(c.service, time.Now())))
	default:
		retryAfter = c.jitteredRetryAfter(c.retryAfter())
	}
	c.reject(status, retryAfter, reason)
}

// retryAfter returns the base of Retry-After for a request that was not served. Ranks that reject
// it belong to a stalled group, which resumes when all of its ranks are back.
func (c *call) retryAfter() time.Duration {
	s := c.gateway.table.Load().Service(c.service)
	if s != nil && s.Engine != nil && c.attemptsSent > 0 && !c.mayHaveRun {
		return standstill.RankReturnTime
	}
	return overloadRetryAfter
}

// abort ends an incomplete response with breakOff and logs that.
func (c *call) abort(reason string) {
	c.gateway.count("answers_broken_off")
	c.logEnd(0, reason)
	c.breakOff()
}

// attempt sends the request to an upstream and forwards the response. isLast is set when no further
// attempt can follow, so that an error response of the upstream is forwarded.
func (c *call) attempt(ctx context.Context, target Target, isLast bool) attemptOutcome {
	startedAt := time.Now()
	c.framing, c.attemptEvents, c.isResumedAttempt = "", 0, c.lastEventID != ""
	report := ResultNeutral
	defer func() { c.gateway.fleet.Release(target.ID, report, time.Since(startedAt), time.Now()) }()
	req := c.request.ForUpstream(platform.Attempt{
		UpstreamID: target.ID, Address: target.Address, Organisation: c.organisation,
		Timeout: c.timeLeft(), LastEventID: c.lastEventID,
	})
	ctx, cancel := c.attemptContext(ctx, isLast)
	defer cancel()
	response, err := c.gateway.pool.Do(ctx, target.Address, req, target.MaxConnections, c.request.Matches)
	if err != nil {
		outcome := notSent
		if !errors.Is(err, exchange.ErrNotSent) {
			c.attemptsSent++
			outcome = failed
			c.recordBreak(target, err)
		}
		if ctx.Err() == nil {
			report = ResultUnreachable
		}
		c.logAttempt(target, "attempt-failed", err.Error(), startedAt)
		return outcome
	}
	defer response.Close()
	c.attemptsSent++
	var outcome attemptOutcome
	outcome, report = c.handleResponse(response, target, isLast, startedAt)
	return outcome
}

// attemptContext limits the time of an attempt that another one may follow, so that an upstream
// that hangs leaves time for a retry. The limit ends with liftAttemptLimit.
func (c *call) attemptContext(ctx context.Context, isLast bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	c.attemptTimer = nil
	if isLast || !c.route.Idempotent {
		return ctx, cancel
	}
	const parts = 3
	timer := time.AfterFunc(max(c.route.TargetLatency, c.timeLeft()/parts), cancel)
	c.attemptTimer = timer
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}

// liftAttemptLimit lets the attempt take the time of its call, once no other attempt can replace it.
func (c *call) liftAttemptLimit() {
	if c.attemptTimer != nil {
		c.attemptTimer.Stop()
	}
}

// logAttempt counts and logs an attempt that did not deliver the final response.
func (c *call) logAttempt(target Target, event, reason string, startedAt time.Time) {
	c.gateway.count("attempts_" + event)
	c.gateway.log.Info(event, "request", c.request.ID, "upstream", target.ID, "address", target.Address,
		"prompt_parts", c.request.PromptParts, "attempt_events", c.attemptEvents, "reason", reason, "took", time.Since(startedAt).Round(time.Millisecond))
}

// logPause counts and logs the pause that an upstream asks for.
func (c *call) logPause(target Target, outcome platform.Outcome) {
	if outcome.UnreadablePause != "" {
		c.gateway.count("pauses_unreadable")
		c.gateway.log.Warn("upstream-pause-unreadable", "request", c.request.ID, "upstream", target.ID, "text", outcome.UnreadablePause, "counted_as", outcome.Pause)
	}
	if outcome.Pause > 0 {
		c.gateway.count("pauses_requested")
		c.gateway.log.Info("upstream-requests-pause", "request", c.request.ID, "upstream", target.ID, "address", target.Address,
			"status", outcome.Status, "pause", outcome.Pause, "attempts", c.attemptsSent)
	}
}

// handleResponse classifies the response of an upstream and forwards it if it is final.
func (c *call) handleResponse(response *exchange.Response, target Target, isLast bool, startedAt time.Time) (attemptOutcome, AttemptResult) {
	outcome := platform.ReadOutcome(response.Response)
	c.gateway.fleet.limits.recordResponse(target.Incarnation, outcome, startedAt)
	c.framing = response.Framing()
	c.logPause(target, outcome)
	switch {
	case outcome.NotRun:
		c.logAttempt(target, "attempt-refused", http.StatusText(outcome.Status)+", at fault: "+outcome.DelayedBy, startedAt)
		// The connection is not kept: the upstream may send the refusal once more, and a later attempt of this
		// call would take it for its own response.
		response.Close()
		if outcome.Misdirected {
			return notRun, ResultUnreachable
		}
		return notRun, ResultFailed
	case outcome.Status < http.StatusMultipleChoices && !outcome.Signed:
		c.logAttempt(target, "attempt-failed", "success status without response signature", startedAt)
		c.discard(response, target)
		return failed, ResultFailed
	case outcome.Status >= http.StatusInternalServerError && !isLast && c.route.IsRepeatable():
		c.logAttempt(target, "attempt-failed", http.StatusText(outcome.Status), startedAt)
		c.discard(response, target)
		return failed, ResultFailed
	case c.route.Streaming && outcome.Status == http.StatusOK && (!c.headSent || isEventStream(response)):
		return c.forwardStream(response, target, startedAt)
	case c.headSent:
		c.logAttempt(target, "attempt-failed", "no stream in place of the one that broke off: "+http.StatusText(outcome.Status), startedAt)
		c.discard(response, target)
		return failed, ResultFailed
	}
	return c.forwardBuffered(response, outcome, target, startedAt)
}
