package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/requestlimit"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

const (
	// admitTimeout limits the call to the coordinator of a limited upstream. The request can go to another
	// upstream only after it.
	admitTimeout = 100 * time.Millisecond
	// coordinatorRetryDelay is when a coordinator that did not answer is asked again.
	coordinatorRetryDelay = 250 * time.Millisecond
	// viewTTL is how long the view of the other gateways is used before it is built again.
	viewTTL = 100 * time.Millisecond
	// maxDenialTime limits how long a denial is believed: the limit may rise or end meanwhile.
	maxDenialTime = time.Second
	// reasonLimited is the reason for rejecting requests that all limits together do not allow.
	reasonLimited = "limited"
)

// AdmitRequest asks the coordinator of a limited upstream whether one request may be sent there.
type AdmitRequest struct {
	// Statement is the newest one of the upstream that the sender knows.
	Statement requestlimit.Statement `json:"statement"`
}

// AdmitResponse is the response to an AdmitRequest.
type AdmitResponse struct {
	Granted bool `json:"granted"`
	// WaitMillis is when the next request may be granted, in milliseconds.
	WaitMillis float64 `json:"wait_ms,omitempty"`
	// Statement is the newest one of the upstream that the coordinator knows.
	Statement requestlimit.Statement `json:"statement"`
}

// limitPeers gives access to the other gateways.
type limitPeers interface {
	// limitView returns which gateways there are, with sorted live ones.
	limitView(now time.Time) requestlimit.View
	// admit asks the gateway with a name.
	admit(ctx context.Context, name string, r AdmitRequest) (AdmitResponse, error)
	// tell passes the state of this gateway on to the others.
	tell()
}

// requestLimits keeps the limits that upstreams name, together with the other gateways. It is safe for
// concurrent use.
type requestLimits struct {
	log  hclog.Logger
	self string
	// peers is set before the first request; without it this gateway is the only one.
	peers limitPeers

	mu      sync.Mutex
	book    *requestlimit.Book
	granter *requestlimit.Granter
	viewAt  time.Time
	// deniedUntil is when a request to an upstream may be granted again, as far as known here.
	deniedUntil map[requestlimit.Upstream]time.Time
	// silentUntil is when a coordinator that did not answer is asked again, by name.
	silentUntil map[string]time.Time
}

func newRequestLimits(self string, log hclog.Logger) *requestLimits {
	return &requestLimits{
		log: log, self: self, book: requestlimit.NewBook(), granter: requestlimit.NewGranter(self, time.Now()),
		deniedUntil: map[requestlimit.Upstream]time.Time{}, silentUntil: map[string]time.Time{},
	}
}

// recordResponse records what the response of an upstream says about its limit. sentAt is when its request was
// sent.
func (l *requestLimits) recordResponse(u requestlimit.Upstream, outcome platform.Outcome, sentAt time.Time) {
	if outcome.Misdirected {
		return // another upstream sent it
	}
	now := time.Now()
	l.mu.Lock()
	changed := false
	switch {
	case outcome.HasRequestLimit:
		changed = l.book.RecordLimit(u, outcome.RequestLimit, now)
	case !outcome.NotRun:
		changed = l.book.RecordNoLimit(u, sentAt, now)
	}
	if changed {
		delete(l.deniedUntil, u)
	}
	l.mu.Unlock()
	if !changed {
		return
	}
	l.logChange(u, outcome.HasRequestLimit, outcome.RequestLimit, "response")
	if l.peers != nil {
		l.peers.tell()
	}
}

// logChange logs the begin or the end of a limit; source tells who reported it.
func (l *requestLimits) logChange(u requestlimit.Upstream, limited bool, perSecond float64, source string) {
	l.log.Info("upstream-limit-changed", "upstream", u.ID, "limited", limited, "per_second", perSecond, "source", source)
}

// admit reports whether a request may be sent to an upstream now. It asks the coordinator of a limited one.
func (l *requestLimits) admit(ctx context.Context, u requestlimit.Upstream) bool {
	l.mu.Lock()
	_, limited := l.book.Limit(u)
	l.mu.Unlock()
	if !limited {
		return true
	}
	l.updateView(time.Now())
	now := time.Now()
	l.mu.Lock()
	coordinator := l.granter.Coordinator(u)
	if coordinator == l.self {
		defer l.mu.Unlock()
		return l.applyDecision(u, l.grant(u, now), now)
	}
	if until := l.silentUntil[coordinator]; now.Before(until) {
		defer l.mu.Unlock()
		return l.applyDecision(u, requestlimit.Decision{Wait: until.Sub(now)}, now)
	}
	statement, _ := l.book.Statement(u, now)
	l.mu.Unlock()
	return l.ask(ctx, coordinator, u, statement)
}

// ask asks another gateway, the coordinator of an upstream, and records its decision.
func (l *requestLimits) ask(callCtx context.Context, coordinator string, u requestlimit.Upstream, s requestlimit.Statement) bool {
	ctx, cancel := context.WithTimeout(callCtx, admitTimeout)
	defer cancel()
	response, err := l.peers.admit(ctx, coordinator, AdmitRequest{Statement: s})
	if callCtx.Err() != nil {
		return false // the caller has left, which says nothing about the coordinator
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.log.Info("coordinator-silent", "peer", coordinator, "upstream", u.ID, "error", err.Error())
		l.silentUntil[coordinator] = now.Add(coordinatorRetryDelay)
		return l.applyDecision(u, requestlimit.Decision{Wait: coordinatorRetryDelay}, now)
	}
	l.mergeLocked([]requestlimit.Statement{response.Statement}, now)
	wait := time.Duration(response.WaitMillis * float64(time.Millisecond))
	return l.applyDecision(u, requestlimit.Decision{Granted: response.Granted, Wait: wait}, now)
}

// applyDecision remembers a denial and reports whether the request was granted. The caller holds l.mu.
func (l *requestLimits) applyDecision(u requestlimit.Upstream, d requestlimit.Decision, now time.Time) bool {
	if d.Granted {
		return true
	}
	l.deniedUntil[u] = now.Add(min(max(d.Wait, time.Millisecond), maxDenialTime))
	return false
}

// grant decides as coordinator. The caller holds l.mu.
func (l *requestLimits) grant(u requestlimit.Upstream, now time.Time) requestlimit.Decision {
	perSecond, limited := l.book.Limit(u)
	if !limited {
		return requestlimit.Decision{Granted: true}
	}
	return l.granter.Grant(u, perSecond, now)
}

// handleAdmit answers another gateway.
func (l *requestLimits) handleAdmit(r AdmitRequest) AdmitResponse {
	l.updateView(time.Now())
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	u := r.Statement.Upstream
	l.mergeLocked([]requestlimit.Statement{r.Statement}, now)
	d := l.grant(u, now)
	s, _ := l.book.Statement(u, now)
	return AdmitResponse{Granted: d.Granted, WaitMillis: float64(d.Wait) / float64(time.Millisecond), Statement: s}
}

// updateView builds the view of the other gateways anew if it is old. It must not be called with l.mu held,
// as peers have a lock of their own.
func (l *requestLimits) updateView(now time.Time) {
	l.mu.Lock()
	isFresh := l.peers == nil || now.Sub(l.viewAt) < viewTTL
	l.mu.Unlock()
	if isFresh {
		return
	}
	v := l.peers.limitView(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.granter.SetView(v, now)
	l.viewAt = now
}

// isDenied reports whether a request to an upstream would be denied, as far as known here.
func (l *requestLimits) isDenied(u requestlimit.Upstream, now time.Time) bool {
	return l.denialTime(u, now) > 0
}

// denialTime returns how long requests to an upstream are denied, 0 if they may be granted.
func (l *requestLimits) denialTime(u requestlimit.Upstream, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, limited := l.book.Limit(u); !limited {
		return 0
	}
	return max(0, l.deniedUntil[u].Sub(now))
}

// statements returns what this gateway knows, for the others.
func (l *requestLimits) statements(now time.Time) []requestlimit.Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.Statements(now)
}

// merge adds what another gateway knows and reports whether that was news.
func (l *requestLimits) merge(statements []requestlimit.Statement, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mergeLocked(statements, now)
}

// mergeLocked is merge for a caller that holds l.mu.
func (l *requestLimits) mergeLocked(statements []requestlimit.Statement, now time.Time) bool {
	changed := l.book.Merge(statements, now)
	for _, s := range changed {
		l.logChange(s.Upstream, !s.Lifted, s.PerSecond, "peer")
	}
	return len(changed) > 0
}

// prune forgets what is no longer needed.
func (l *requestLimits) prune(isListed func(requestlimit.Upstream) bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.Prune(isListed, now)
	isLimited := func(u requestlimit.Upstream) bool { _, limited := l.book.Limit(u); return limited }
	l.granter.Prune(isLimited)
	for u, until := range l.deniedUntil {
		if !now.Before(until) {
			delete(l.deniedUntil, u)
		}
	}
	for name, until := range l.silentUntil {
		if !now.Before(until) {
			delete(l.silentUntil, name)
		}
	}
}
