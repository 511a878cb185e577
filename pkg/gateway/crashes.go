package gateway

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/crashcause"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/poison"
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

func (w *crashWatch) merge(evidence []crashcause.Crash, now time.Time) {
	w.change(func(l *crashcause.Ledger) bool { return l.Merge(evidence, now) })
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

// recordAnswer records that an upstream answered the request: with the first event of a stream, or with a
// whole response of another kind.
func (c *call) recordAnswer() {
	r := c.crashTraits()
	c.gateway.crashes.change(func(l *crashcause.Ledger) bool { return l.RecordAnswer(r, time.Now()) })
}

// checkCrash records the end of the upstream if it ended while it ran the request, which it had not
// answered as recordAnswer has it. It returns at once.
func (c *call) checkCrash(target Target, err error) {
	if errors.Is(err, net.ErrClosed) {
		return // the gateway itself gave the attempt up
	}
	r := crashcause.Request{Fingerprint: c.fingerprint(), Parts: c.request.PromptParts}
	brokeAt := time.Now()
	id := c.request.ID
	go func() {
		if !c.gateway.hasCrashed(target) {
			return
		}
		changed := c.gateway.crashes.change(func(l *crashcause.Ledger) bool {
			return l.RecordCrash(target.ID, r, brokeAt)
		})
		c.gateway.log.Info("upstream-crashed", "request", id, "upstream", target.ID, "address", target.Address, "prompt_parts", r.Parts)
		if changed {
			c.gateway.crashes.onCrash()
		}
	}()
}

// hasCrashed reports whether no process accepts connections at an upstream that was not about to
// leave.
func (g *Gateway) hasCrashed(target Target) bool {
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
