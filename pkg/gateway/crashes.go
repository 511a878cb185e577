package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/singleflight"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/crashcause"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/exchange"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/poison"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/requestlimit"
)

const (
	// crashRetryAfter is the Retry-After of requests that crash upstreams: they are not served until the
	// upstreams change.
	crashRetryAfter = time.Hour
	// reasonCrashes is the reason for rejecting them.
	reasonCrashes = "crashes-upstreams"
	// crashCheckTimeout limits the connection that shows whether an upstream has ended.
	crashCheckTimeout = 300 * time.Millisecond
	// crashRecheckDelay is when an upstream that still accepted connections is asked once more: a process
	// that ends may close its connections before its listener.
	crashRecheckDelay = 100 * time.Millisecond
)

// crashWatch has this gateway's evidence on the requests that crash upstreams. It is safe for
// concurrent use.
type crashWatch struct {
	log hclog.Logger
	// onCrash is called after a crash was observed here, and onVerdict after the convictions changed.
	// Both are set before the first request.
	onCrash   func()
	onVerdict func()

	// checks are the checks of upstreams in progress, by incarnationKey.
	checks singleflight.Group

	mu        sync.Mutex
	ledger    *crashcause.Ledger
	convicted []crashcause.Conviction
}

func newCrashWatch(log hclog.Logger) *crashWatch {
	return &crashWatch{log: log, onCrash: func() {}, onVerdict: func() {}, ledger: crashcause.New()}
}

// change calls f with the ledger and reports a change of the convictions.
func (w *crashWatch) change(f func(*crashcause.Ledger) bool) bool {
	w.mu.Lock()
	changed := f(w.ledger)
	before := w.convicted
	if changed {
		w.convicted = w.ledger.Convictions()
	}
	now := w.convicted
	w.mu.Unlock()
	if slices.Equal(before, now) {
		return changed
	}
	w.log.Warn("crashing-requests", "convicted", now, "before", before)
	w.onVerdict()
	return changed
}

// isEmpty reports whether there is nothing to compare a request with.
func (w *crashWatch) isEmpty() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ledger.IsEmpty()
}

func (w *crashWatch) findConviction(r crashcause.Request, now time.Time) (crashcause.Conviction, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ledger.FindConviction(r, now)
}

func (w *crashWatch) recordAnswer(r crashcause.Request, progress crashcause.Progress) {
	w.change(func(l *crashcause.Ledger) bool { return l.RecordAnswer(r, progress, time.Now()) })
}

func (w *crashWatch) digest() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ledger.Digest()
}

func (w *crashWatch) evidence(now time.Time) []crashcause.Crash {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ledger.Evidence(now)
}

// merge adds the evidence of a peer and reports whether it was news.
func (w *crashWatch) merge(evidence []crashcause.Crash, now time.Time) bool {
	return w.change(func(l *crashcause.Ledger) bool { return l.Merge(evidence, now) })
}

func (w *crashWatch) restore(convictions []crashcause.Conviction, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ledger.Restore(convictions, now)
}

// convictions returns the convictions that follow from the evidence.
func (w *crashWatch) convictions() []crashcause.Conviction {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.convicted
}

// crashTraits returns what the request may have in common with others that crash upstreams. The fingerprint
// is left out while there is nothing to compare it with.
func (c *call) crashTraits() crashcause.Request {
	r := crashcause.Request{Parts: c.request.PromptParts}
	if !c.gateway.crashes.isEmpty() {
		r.Fingerprint = c.fingerprint()
	}
	return r
}

func (c *call) fingerprint() string {
	method, target, body := c.request.Content()
	return string(poison.NewFingerprint(c.organisation, c.request.Host, method, target, body))
}

// isConvicted reports whether the request is known to crash upstreams.
func (c *call) isConvicted() bool {
	conviction, convicted := c.gateway.crashes.findConviction(c.crashTraits(), time.Now())
	if convicted {
		c.gateway.log.Info("crashing-request-stopped", "request", c.request.ID, "conviction", conviction)
	}
	return convicted
}

// recordAnswer records that the upstream's answer to the request has come to a progress.
func (c *call) recordAnswer(progress crashcause.Progress) {
	c.gateway.crashes.recordAnswer(c.crashTraits(), progress)
}

// recordEnd records a response that ended as a whole one does. One that ended with its connection ends in the same
// way when its upstream crashes.
func (c *call) recordEnd(response *exchange.Response, target Target) {
	record := func() {}
	if isSuccess(response.StatusCode) && !c.isResumedAttempt { // else the upstream may not have come to what crashes others
		r := c.crashTraits()
		gateway := c.gateway
		record = func() { gateway.crashes.recordAnswer(r, crashcause.Whole) }
	}
	if response.Framing() == exchange.FramedByClose {
		c.checkCrash(target, record)
		return
	}
	record()
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// recordBreak records the end of the upstream if it ended while it ran the request. It returns at once.
func (c *call) recordBreak(target Target, err error) {
	if errors.Is(err, net.ErrClosed) {
		return // the gateway itself gave the attempt up
	}
	c.checkCrash(target, func() {})
}

// checkCrash records the end of the upstream if it has ended now, while it ran the request, and otherwise calls
// ifRunning. It returns at once.
func (c *call) checkCrash(target Target, ifRunning func()) {
	r := crashcause.Request{Fingerprint: c.fingerprint(), Parts: c.request.PromptParts}
	brokeAt, id, progress := time.Now(), c.request.ID, c.attemptProgress()
	gateway := c.gateway // the call, with its body, may end before the check
	go func() {
		if !gateway.hasCrashed(target) {
			ifRunning()
			return
		}
		changed := gateway.crashes.change(func(l *crashcause.Ledger) bool {
			return l.RecordCrash(incarnationKey(target.Incarnation), r, progress, brokeAt)
		})
		gateway.log.Info("upstream-crashed", "request", id, "upstream", target.ID, "address", target.Address,
			"prompt_parts", r.Parts, "had_begun", progress == crashcause.Begun, "new_evidence", changed)
		if changed {
			gateway.crashes.onCrash()
		}
	}()
}

// incarnationKey identifies an incarnation of an upstream, which can end once.
func incarnationKey(u requestlimit.Upstream) string {
	return u.ID + "@" + strconv.FormatInt(u.StartedAtMillis, 10)
}

// attemptProgress returns how far the answer to the newest attempt has come before its end.
func (c *call) attemptProgress() crashcause.Progress {
	if c.attemptEvents > 0 {
		return crashcause.Begun
	}
	return crashcause.NotBegun
}

// hasCrashed reports whether no process accepts connections at an upstream that was not about to
// leave. Requests that break off together share one check.
func (g *Gateway) hasCrashed(target Target) bool {
	crashed, _, _ := g.crashes.checks.Do(incarnationKey(target.Incarnation), func() (any, error) { return g.checkUpstream(target), nil })
	return crashed == true
}

func (g *Gateway) checkUpstream(target Target) bool {
	if !g.fleet.IsInService(target.ID) {
		return false
	}
	if g.refusesConnections(target.Address) {
		return true
	}
	time.Sleep(crashRecheckDelay)
	return g.fleet.IsInService(target.ID) && g.refusesConnections(target.Address)
}

func (g *Gateway) refusesConnections(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	return g.pool.IsRefused(ctx, address)
}
