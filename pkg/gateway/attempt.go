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

// ending is what an attempt leaves to do.
type ending int

const (
	// final attempts gave the caller the final answer.
	final ending = iota
	// notSent attempts never reached the upstream.
	notSent
	// notRun attempts were refused by the upstream before they ran.
	notRun
	// failed attempts may have run and gave nothing to the caller.
	failed
)

const (
	// sendTries bounds the upstreams that a call tries to reach, beside those it reached.
	sendTries = 4
	// leastLeft is the time that a further attempt must have left to be of use.
	leastLeft = 30 * time.Millisecond
	// overloadRetry is when a caller may come back after upstreams refused its request.
	overloadRetry = 400 * time.Millisecond
)

func (c *call) draw() float64 { return rand.Float64() }

// run makes attempts until one is final.
func (c *call) run(ctx context.Context) {
	reached := 0
	for try := 0; ; try++ {
		target, ok := c.g.fleet.Choose(c.service, c.tried, time.Now())
		if !ok {
			c.giveUp(ctx, "no-upstream")
			return
		}
		c.tried = append(c.tried, target.ID)
		last := !c.mayTryAgain(reached+1) || try >= sendTries
		end := c.attempt(ctx, target, last)
		c.mayHaveRun = c.mayHaveRun || end == failed
		switch {
		case end == final:
			return
		case ctx.Err() != nil:
			c.giveUp(ctx, "time")
			return
		case end == notSent:
			if try >= sendTries {
				c.giveUp(ctx, "unreachable")
				return
			}
			continue
		}
		reached++
		if !c.goOn(end, reached) {
			c.giveUp(ctx, "upstream-failed")
			return
		}
	}
}

// mayTryAgain reports whether the route allows an attempt after so many.
func (c *call) mayTryAgain(reached int) bool {
	return reached < c.route.MaxAttempts && c.left() > leastLeft
}

// goOn reports whether another attempt may follow one that ended so.
func (c *call) goOn(end ending, reached int) bool {
	if !c.mayTryAgain(reached) {
		return false
	}
	if end != notRun && !c.route.Repeatable() {
		return false
	}
	return c.g.withdrawRetry(c.service, time.Now())
}

// giveUp gives the caller the final answer when no attempt did.
func (c *call) giveUp(ctx context.Context, reason string) {
	if c.began {
		c.breakOff(reason)
	}
	status := http.StatusServiceUnavailable
	if c.mayHaveRun {
		status = http.StatusBadGateway
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			status = http.StatusGatewayTimeout
		}
	}
	c.refuse(status, c.comeBack(c.retryAfter()), reason)
}

// retryAfter returns when a caller may come back whose request was not served. Ranks that
// refuse it belong to a group that stands still, and it goes on when they are all back.
func (c *call) retryAfter() time.Duration {
	s := c.g.table.Load().Service(c.service)
	if s != nil && s.Engine != nil && c.sent > 0 && !c.mayHaveRun {
		return standstill.Return
	}
	return overloadRetry
}

// breakOff closes the caller's connection, so that an answer that is not whole does not
// look whole.
func (c *call) breakOff(reason string) {
	c.g.count("answers_broken_off")
	c.finished(0, reason)
	panic(http.ErrAbortHandler)
}

// attempt sends the request to an upstream and passes the answer on. Last says that no
// further attempt can follow, so that a failure of the upstream is passed on.
func (c *call) attempt(ctx context.Context, target Target, last bool) ending {
	begun := time.Now()
	report := Neutral
	defer func() { c.g.fleet.Release(target.ID, report, time.Since(begun), time.Now()) }()
	req := c.q.Encode(platform.Attempt{
		Upstream: target.ID, Address: target.Address, Organisation: c.organisation,
		Left: c.left(), LastEvent: c.lastEvent,
	})
	ctx, cancel := c.bound(ctx, last)
	defer cancel()
	answer, err := c.g.pool.Do(ctx, target.Address, req, target.MaxConnections, c.q.Answers)
	if err != nil {
		end := notSent
		if !errors.Is(err, exchange.ErrNotSent) {
			c.sent++
			end = failed
		}
		if ctx.Err() == nil {
			report = Unreachable
		}
		c.note(target, "attempt-failed", err.Error(), begun)
		return end
	}
	defer answer.Close()
	c.sent++
	var end ending
	end, report = c.take(answer, target, last, begun)
	return end
}

// bound limits an attempt that another one may follow, so that an upstream that hangs
// leaves time for it.
func (c *call) bound(ctx context.Context, last bool) (context.Context, context.CancelFunc) {
	if last || !c.route.Idempotent {
		return context.WithCancel(ctx)
	}
	const parts = 3
	return context.WithTimeout(ctx, max(c.route.Objective, c.left()/parts))
}

// note writes the log line of an attempt that did not give the final answer.
func (c *call) note(target Target, what, reason string, begun time.Time) {
	c.g.count("attempts_" + what)
	c.g.log.Info(what, "request", c.q.ID, "upstream", target.ID, "address", target.Address,
		"reason", reason, "took", time.Since(begun).Round(time.Millisecond))
}

// take reads the verdict of an answer and passes it on where it is final.
func (c *call) take(answer *exchange.Answer, target Target, last bool, begun time.Time) (ending, Report) {
	v := platform.ReadVerdict(answer.Response)
	switch {
	case v.NotRun:
		c.note(target, "attempt-refused", http.StatusText(v.Status), begun)
		drain(answer)
		if v.Misdirected {
			return notRun, Unreachable
		}
		return notRun, Failed
	case v.Status < http.StatusMultipleChoices && !v.Signed:
		c.note(target, "attempt-failed", "success without signature", begun)
		return failed, Failed
	case v.Status >= http.StatusInternalServerError && !last && c.route.Repeatable():
		c.note(target, "attempt-failed", http.StatusText(v.Status), begun)
		drain(answer)
		return failed, Failed
	case c.route.Streaming && v.Status == http.StatusOK:
		return c.passStream(answer, target, begun)
	}
	return c.passWhole(answer, v, target, begun)
}
