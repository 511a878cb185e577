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

// crashCheckTimeout bounds the question whether the upstream has crashed.
const crashCheckTimeout = time.Second

// checkVerdict returns the reason why a request that may crash the upstream must not
// start, or OK. Agent.mu is held.
func (a *Agent) checkVerdict(r peer.RunRequest) code.Code {
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

// hasCrashed reports whether a run that ended with err was cut off by a crash of the
// upstream, which then does not answer or answers as another incarnation.
func (a *Agent) hasCrashed(t *task, err error) bool {
	if err == nil || errors.Is(err, upstream.ErrNotSent) || t.ctx.Err() != nil {
		return false
	}
	asked := a.beginLossCheck()
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	h, err := a.client.Health(ctx)
	a.recordHealth(h, err == nil, asked)
	a.endLossCheck()
	return err != nil || h.Incarnation != t.upstreamIncarnation
}

// beginLossCheck lets work wait after the upstream has lost a run, until settle. A run on an
// upstream that is already down would be blamed for the crash.
func (a *Agent) beginLossCheck() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lostRuns++
	a.lossChecks++
	return a.lostRuns
}

// endLossCheck ends a doubt.
func (a *Agent) endLossCheck() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lossChecks--
	a.wakeWorkers.Broadcast()
}

// lostRunCount returns the number of doubts before a health question.
func (a *Agent) lostRunCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lostRuns
}

// recordRunVerdict takes in what the end of a run says about its request.
func (a *Agent) recordRunVerdict(t *task, c code.Code, crashed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.runVerdict(t, c, crashed)
	if state == poison.Unknown || t.req.Fingerprint == "" {
		return
	}
	a.addVerdict(poison.Verdict{Fingerprint: t.req.Fingerprint, State: state, Stamp: a.events.Clock().Now()})
}

// runVerdict is what the end of a run says about its request. An upstream that is leaving
// may end by itself and convicts nobody. Agent.mu is held.
func (a *Agent) runVerdict(t *task, c code.Code, crashed bool) poison.State {
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

// addVerdict takes in a verdict. Agent.mu is held.
func (a *Agent) addVerdict(v poison.Verdict) {
	if !a.verdicts.Take(v, a.now()) {
		return
	}
	a.meters.countVerdict(v.State)
	a.events.Record(event.Event{Kind: event.Verdict, Upstream: a.settings.Name, Detail: string(v.State) + " " + string(v.Fingerprint)})
}

// TakeVerdicts serves peer.MethodVerdict.
func (a *Agent) TakeVerdicts(_ context.Context, _ *jsonrpc2.Conn, r peer.VerdictRequest) (peer.VerdictResult, error) {
	a.events.Clock().Observe(r.Stamp)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, v := range r.Verdicts {
		a.addVerdict(v)
	}
	return peer.VerdictResult{News: a.updates()}, nil
}
