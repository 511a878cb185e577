package agent

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/poison"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/upstream"
)

// crashCall bounds the question whether the upstream has crashed.
const crashCall = time.Second

// quarantined returns the reason why a request that may crash the upstream must not
// start, or OK. Agent.mu is held.
func (a *Agent) quarantined(r peer.RunRequest) code.Code {
	switch a.verdicts.Check(r.Fingerprint, a.now()) {
	case poison.Convicted:
		return code.CrashingRequest
	case poison.Suspect:
		if !r.Alone {
			return code.SuspectNotAlone
		}
	}
	return code.OK
}

// crashed reports whether a run that ended with err was cut off by a crash of the
// upstream, which then does not answer or answers as another incarnation.
func (a *Agent) crashed(t *task, err error) bool {
	if err == nil || errors.Is(err, upstream.ErrNotSent) || t.ctx.Err() != nil {
		return false
	}
	asked := a.doubt()
	ctx, cancel := context.WithTimeout(context.Background(), crashCall)
	defer cancel()
	h, err := a.client.Health(ctx)
	a.observe(h, err == nil, asked)
	a.settle()
	return err != nil || h.Incarnation != t.life
}

// doubt lets work wait after the upstream has lost a run, until settle. A run on an
// upstream that is already down would be blamed for the crash.
func (a *Agent) doubt() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.doubts++
	a.checking++
	return a.doubts
}

// settle ends a doubt.
func (a *Agent) settle() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checking--
	a.wake.Broadcast()
}

// asks returns the number of doubts before a health question.
func (a *Agent) asks() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.doubts
}

// judge takes in what the end of a run says about its request.
func (a *Agent) judge(t *task, c code.Code, crashed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.finding(t, c, crashed)
	if state == poison.Unknown || t.req.Fingerprint == "" {
		return
	}
	a.takeVerdict(poison.Verdict{Fingerprint: t.req.Fingerprint, State: state, Stamp: a.events.Clock().Now()})
}

// finding is what the end of a run says about its request. An upstream that is leaving
// may end by itself and convicts nobody. Agent.mu is held.
func (a *Agent) finding(t *task, c code.Code, crashed bool) poison.State {
	switch {
	case crashed && t.req.Alone && !a.leaving:
		return poison.Convicted
	case crashed:
		return poison.Suspect
	case c == code.OK && t.req.Alone:
		return poison.Cleared
	}
	return poison.Unknown
}

// takeVerdict takes in a verdict. Agent.mu is held.
func (a *Agent) takeVerdict(v poison.Verdict) {
	if !a.verdicts.Take(v, a.now()) {
		return
	}
	a.meters.verdict(v.State)
	a.events.Record(event.Event{Kind: event.Verdict, Upstream: a.settings.Name, Detail: string(v.State) + " " + string(v.Fingerprint)})
}

// TakeVerdicts serves peer.MethodVerdict.
func (a *Agent) TakeVerdicts(_ context.Context, _ *jsonrpc2.Conn, r peer.VerdictRequest) (peer.VerdictResult, error) {
	a.events.Clock().Observe(r.Stamp)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, v := range r.Verdicts {
		a.takeVerdict(v)
	}
	return peer.VerdictResult{News: a.news()}, nil
}
