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

// attemptOutcome is what an attempt leaves to do.
type attemptOutcome int

const (
	// final attempts gave the caller the final answer.
	final attemptOutcome = iota
	// notSent attempts never reached the upstream.
	notSent
	// notRun attempts were refused by the upstream before they ran.
	notRun
	// failed attempts may have run and gave nothing to the caller.
	failed
)

const (
	// maxSendRetries bounds the upstreams that a call tries to reach, beside those it reached.
	maxSendRetries = 4
	// minAttemptTime is the time that a further attempt must have left to be of use.
	minAttemptTime = 30 * time.Millisecond
	// overloadRetryAfter is when a caller may come back after upstreams refused its request.
	overloadRetryAfter = 400 * time.Millisecond
)

func (c *call) randomFloat() float64 { return rand.Float64() }

// runAttempts makes attempts until one is final.
func (c *call) runAttempts(ctx context.Context) {
	reached := 0
	for try := 0; ; try++ {
		target, ok := c.gateway.fleet.Choose(c.service, c.triedUpstreams, time.Now())
		if !ok {
			c.respondFailure(ctx, "no-upstream")
			return
		}
		c.triedUpstreams = append(c.triedUpstreams, target.ID)
		isLast := !c.canAttemptAgain(reached+1) || try >= maxSendRetries
		outcome := c.attempt(ctx, target, isLast)
		c.mayHaveRun = c.mayHaveRun || outcome == failed
		switch {
		case outcome == final:
			return
		case ctx.Err() != nil:
			c.respondFailure(ctx, "time")
			return
		case outcome == notSent:
			if try >= maxSendRetries {
				c.respondFailure(ctx, "unreachable")
				return
			}
			continue
		}
		reached++
		if !c.allowRetry(outcome, reached) {
			c.respondFailure(ctx, "upstream-failed")
			return
		}
	}
}

// canAttemptAgain reports whether the route allows an attempt after so many.
func (c *call) canAttemptAgain(reached int) bool {
	return reached < c.route.MaxAttempts && c.timeLeft() > minAttemptTime
}

// allowRetry reports whether another attempt may follow one that ended so.
func (c *call) allowRetry(outcome attemptOutcome, reached int) bool {
	if !c.canAttemptAgain(reached) {
		return false
	}
	if outcome != notRun && !c.route.Repeatable() {
		return false
	}
	return c.gateway.withdrawRetry(c.service, time.Now())
}

// respondFailure gives the caller the final answer when no attempt did.
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
	c.refuse(status, c.jitteredRetryAfter(c.retryAfter()), reason)
}

// retryAfter returns when a caller may come back whose request was not served. Ranks that
// refuse it belong to a group that stands still, and it goes on when they are all back.
func (c *call) retryAfter() time.Duration {
	s := c.gateway.table.Load().Service(c.service)
	if s != nil && s.Engine != nil && c.attemptsSent > 0 && !c.mayHaveRun {
		return standstill.Return
	}
	return overloadRetryAfter
}

// abort closes the caller's connection, so that an answer that is not whole does not
// look whole.
func (c *call) abort(reason string) {
	c.gateway.count("answers_broken_off")
	c.logEnd(0, reason)
	panic(http.ErrAbortHandler)
}

// attempt sends the request to an upstream and passes the answer on. Last says that no
// further attempt can follow, so that a failure of the upstream is passed on.
func (c *call) attempt(ctx context.Context, target Target, isLast bool) attemptOutcome {
	startedAt := time.Now()
	report := Neutral
	defer func() { c.gateway.fleet.Release(target.ID, report, time.Since(startedAt), time.Now()) }()
	req := c.request.Encode(platform.Attempt{
		Upstream: target.ID, Address: target.Address, Organisation: c.organisation,
		Left: c.timeLeft(), LastEvent: c.lastEventID,
	})
	ctx, cancel := c.attemptContext(ctx, isLast)
	defer cancel()
	response, err := c.gateway.pool.Do(ctx, target.Address, req, target.MaxConnections, c.request.Answers)
	if err != nil {
		outcome := notSent
		if !errors.Is(err, exchange.ErrNotSent) {
			c.attemptsSent++
			outcome = failed
		}
		if ctx.Err() == nil {
			report = Unreachable
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

// attemptContext limits an attempt that another one may follow, so that an upstream that hangs
// leaves time for it.
func (c *call) attemptContext(ctx context.Context, isLast bool) (context.Context, context.CancelFunc) {
	if isLast || !c.route.Idempotent {
		return context.WithCancel(ctx)
	}
	const parts = 3
	return context.WithTimeout(ctx, max(c.route.Objective, c.timeLeft()/parts))
}

// logAttempt writes the log line of an attempt that did not give the final answer.
func (c *call) logAttempt(target Target, event, reason string, startedAt time.Time) {
	c.gateway.count("attempts_" + event)
	c.gateway.log.Info(event, "request", c.request.ID, "upstream", target.ID, "address", target.Address,
		"reason", reason, "took", time.Since(startedAt).Round(time.Millisecond))
}

// handleResponse reads the verdict of an answer and passes it on where it is final.
func (c *call) handleResponse(response *exchange.Answer, target Target, isLast bool, startedAt time.Time) (attemptOutcome, Report) {
	verdict := platform.ReadVerdict(response.Response)
	switch {
	case verdict.NotRun:
		c.logAttempt(target, "attempt-refused", http.StatusText(verdict.Status), startedAt)
		drain(response)
		if verdict.Misdirected {
			return notRun, Unreachable
		}
		return notRun, Failed
	case verdict.Status < http.StatusMultipleChoices && !verdict.Signed:
		c.logAttempt(target, "attempt-failed", "success without signature", startedAt)
		return failed, Failed
	case verdict.Status >= http.StatusInternalServerError && !isLast && c.route.Repeatable():
		c.logAttempt(target, "attempt-failed", http.StatusText(verdict.Status), startedAt)
		drain(response)
		return failed, Failed
	case c.route.Streaming && verdict.Status == http.StatusOK:
		return c.forwardStream(response, target, startedAt)
	}
	return c.forwardBuffered(response, verdict, target, startedAt)
}
