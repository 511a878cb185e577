package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/availability"
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
	// turnedAway attempts were rejected before they ran by an upstream that asks for a pause. Other upstreams
	// may still serve the call.
	turnedAway
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
	// maxReturnWait is the longest wait for an upstream that returns from a pause. A request that waits longer is better
	// told when to come back.
	maxReturnWait = 100 * time.Millisecond
	// reasonPaused is the reason for rejecting requests while all upstreams pause or return.
	reasonPaused = "paused"
	// overloadRetryAfter is the Retry-After of a request that upstreams rejected.
	overloadRetryAfter = 400 * time.Millisecond
)

func (c *call) randomFloat() float64 { return rand.Float64() }

// runAttempts makes attempts until one is final, no further one is allowed or a group refuses the
// call. It returns final or groupRefused.
func (c *call) runAttempts(ctx context.Context) attemptOutcome {
	reached := c.attemptsSent - c.timesTurnedAway
	if c.attemptsSent > 0 && !c.gateway.withdrawRetry(c.service, time.Now()) {
		c.respondFailure(ctx, "upstream-failed")
		return final
	}
	for try := 0; ; try++ {
		if c.isConvicted() {
			c.respondFailure(ctx, reasonCrashes)
			return final
		}
		if c.attemptsSent == 0 && !c.gateway.mayTake(c.deadline, time.Now()) { // it has waited
			c.respondFailure(ctx, reasonStopping)
			return final
		}
		target, ok := c.chooseAdmitted(ctx)
		if !ok {
			c.respondFailure(ctx, c.noUpstreamReason())
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
			c.respondFailure(ctx, c.endReason())
			return final
		case outcome == notSent:
			if try >= maxSendRetries {
				c.respondFailure(ctx, "unreachable")
				return final
			}
			continue
		}
		if outcome == turnedAway {
			c.timesTurnedAway++
		} else {
			reached++
		}
		if outcome == notRun && !c.mayHaveRun && target.HasRoom && c.canAttemptAgain(reached) && !c.gateway.isGroupKnownToRun(c.service) {
			c.triedUpstreams = nil
			return groupRefused
		}
		if try >= maxSendRetries || !c.allowRetry(outcome, reached) {
			c.respondFailure(ctx, "upstream-failed")
			return final
		}
	}
}

// chooseAdmitted reserves a slot at the best upstream whose limit allows the request. It returns false when
// there is none.
func (c *call) chooseAdmitted(ctx context.Context) (Target, bool) {
	for ctx.Err() == nil {
		target, ok := c.gateway.fleet.Choose(c.service, c.triedUpstreams, time.Now())
		if (!ok || target.Superseded) && c.waitForUpstream(ctx) {
			if ok {
				c.gateway.fleet.Unreserve(target, time.Now())
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
		c.gateway.fleet.Unreserve(target, time.Now())
	}
	return Target{}, false
}

// waitForUpstream waits until this gateway may start a request at a cold upstream or at one that returns from a pause. It
// reports false at once if there is none, or none in time to be of use.
func (c *call) waitForUpstream(ctx context.Context) bool {
	now := time.Now()
	outlook := c.gateway.fleet.Outlook(c.service, c.triedUpstreams, now)
	waited := now.Sub(c.startedAt)
	if wait := outlook.Wait(availability.Cold); wait > 0 && waited+wait <= c.maxWait() {
		c.gateway.count("cold_start_waits")
		sleep(ctx, wait)
		return true
	}
	if wait := outlook.Wait(availability.Returning); wait > 0 && waited+wait <= min(c.maxWait(), maxReturnWait) {
		c.gateway.count("return_waits")
		sleep(ctx, wait)
		return true
	}
	return false
}

// noUpstreamReason returns the reason for rejecting a request for which there is no upstream.
func (c *call) noUpstreamReason() string {
	switch reason, _ := c.gateway.fleet.Outlook(c.service, c.triedUpstreams, time.Now()).First(); reason {
	case availability.Limited:
		return reasonLimited
	case availability.Paused, availability.Returning:
		return reasonPaused
	}
	return "no-upstream"
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
	if outcome == failed && !c.route.IsRepeatable() {
		return false
	}
	return c.gateway.withdrawRetry(c.service, time.Now())
}

// endReason returns why the context of the call has ended.
func (c *call) endReason() string {
	if c.gateway.calls.Err() != nil {
		return reasonStopping
	}
	return "time"
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
	case reasonStopping:
		retryAfter = stoppingRetryAfter
	default:
		retryAfter = c.retryAfter()
	}
	c.reject(status, retryAfter, reason)
}

// retryAfter returns the Retry-After of a request that was not served. While no upstream of the service may get a
// request, it is at least the time until the first one may.
func (c *call) retryAfter() time.Duration {
	shortest := c.minRetryAfter()
	if outlook := c.gateway.fleet.Outlook(c.service, nil, time.Now()); !outlook.IsServed {
		_, wait := outlook.First()
		shortest = max(shortest, wait)
	}
	return c.jitteredRetryAfter(shortest)
}

// minRetryAfter returns the shortest Retry-After of a request that was not served. Ranks that reject
// it belong to a stalled group, which resumes when all of its ranks are back.
func (c *call) minRetryAfter() time.Duration {
	s := c.gateway.table.Load().Service(c.service)
	if s != nil && s.Engine != nil && c.attemptsSent > c.timesTurnedAway && !c.mayHaveRun {
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
	c.trial = trial{fleet: c.gateway.fleet, target: target}
	defer c.trial.end(false)
	maySend := func() bool { return c.gateway.fleet.MaySend(target) }
	response, err := c.gateway.pool.Do(ctx, target.Address, req, target.MaxConnections, maySend, c.request.Matches)
	if errors.Is(err, exchange.ErrNotAllowed) {
		c.logAttempt(target, "attempt-withdrawn", err.Error(), startedAt)
		return notSent
	}
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
	c.trial.end(report == ResultSucceeded)
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

// recordPause records, counts and logs the pause that an upstream asks for.
func (c *call) recordPause(target Target, outcome platform.Outcome) {
	if outcome.UnreadablePause != "" {
		c.gateway.count("pauses_unreadable")
		c.gateway.log.Warn("upstream-pause-unreadable", "request", c.request.ID, "upstream", target.ID, "text", outcome.UnreadablePause, "counted_as", outcome.Pause)
	}
	if outcome.Pause == 0 {
		return
	}
	c.gateway.count("pauses_requested")
	if c.gateway.fleet.RecordPause(target, outcome.Pause, time.Now()) {
		c.gateway.log.Info("upstream-requests-pause", "request", c.request.ID, "upstream", target.ID, "address", target.Address,
			"status", outcome.Status, "pause", outcome.Pause, "attempts", c.attemptsSent)
	}
}

// handleResponse classifies the response of an upstream and forwards it if it is final.
func (c *call) handleResponse(response *exchange.Response, target Target, isLast bool, startedAt time.Time) (attemptOutcome, AttemptResult) {
	outcome := platform.ReadOutcome(response.Response)
	c.gateway.fleet.limits.recordResponse(target.Incarnation, outcome, startedAt)
	c.framing = response.Framing()
	c.recordPause(target, outcome)
	switch {
	case outcome.NotRun:
		c.logAttempt(target, "attempt-refused", http.StatusText(outcome.Status)+", at fault: "+outcome.DelayedBy, startedAt)
		// The connection is not kept: the upstream may send the refusal once more, and a later attempt of this
		// call would take it for its own response.
		response.Close()
		switch {
		case outcome.Misdirected:
			return notRun, ResultUnreachable
		case outcome.Pause > 0:
			return turnedAway, ResultNeutral
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
