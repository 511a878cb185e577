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

// crashCheckTimeout limits the health check that detects a crash of the upstream.
const crashCheckTimeout = time.Second

// checkVerdict returns the code with which a request that may crash the upstream is
// rejected, or OK when it may start. Agent.mu must be held.
func (a *Agent) checkVerdict(r peer.RunRequest) code.Code {
	switch a.verdicts.State(r.Fingerprint, a.now()) {
	case poison.Convicted:
		return code.CrashingRequest
	case poison.Suspect:
		if !r.Isolated {
			return code.SuspectNotAlone
		}
	}
	return code.OK
}

// hasCrashed reports whether a run that ended with err was ended by a crash of the upstream:
// the upstream then does not respond to a health check or responds as another incarnation.
func (a *Agent) hasCrashed(t *task, err error) bool {
	if err == nil || errors.Is(err, upstream.ErrNotSent) || t.ctx.Err() != nil {
		return false
	}
	lossesBefore := a.beginLossCheck()
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	h, err := a.client.Health(ctx)
	a.recordHealth(h, err == nil, lossesBefore)
	a.endLossCheck()
	return err != nil || h.Incarnation != t.upstreamIncarnation
}

// beginLossCheck counts a lost run and prevents new starts until endLossCheck. Otherwise a
// request that starts on an upstream that is already down would be blamed for the crash. It
// returns the number of lost runs for recordHealth.
func (a *Agent) beginLossCheck() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lostRuns++
	a.lossChecks++
	return a.lostRuns
}

// endLossCheck allows new starts again when no other loss check is in progress.
func (a *Agent) endLossCheck() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lossChecks--
	a.wakeWorkers.Broadcast()
}

// lostRunCount returns the number of lost runs, to be read before a health check and passed
// to recordHealth.
func (a *Agent) lostRunCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lostRuns
}

// recordRunVerdict records the verdict on a request that follows from the end of its run.
func (a *Agent) recordRunVerdict(t *task, c code.Code, crashed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.runVerdict(t, c, crashed)
	if state == poison.Unknown || t.req.Fingerprint == "" {
		return
	}
	a.addVerdict(poison.Verdict{Fingerprint: t.req.Fingerprint, State: state, Stamp: a.events.Clock().Now()})
}

// runVerdict returns the state of a request that follows from the end of its run, Unknown if
// none does. An upstream that is leaving may exit by itself, so a request that ran alone on it
// becomes suspect rather than convicted. Agent.mu must be held.
func (a *Agent) runVerdict(t *task, c code.Code, crashed bool) poison.State {
	switch {
	case crashed && t.req.Isolated && !a.leaving:
		return poison.Convicted
	case crashed:
		return poison.Suspect
	case c == code.OK && t.req.Isolated:
		return poison.Cleared
	}
	return poison.Unknown
}

// addVerdict adds a verdict to the table and records it if it changed the table. Agent.mu
// must be held.
func (a *Agent) addVerdict(v poison.Verdict) {
	if !a.verdicts.Merge(v, a.now()) {
		return
	}
	a.meters.countVerdict(v.State)
	a.events.Record(event.Event{Kind: event.Verdict, Upstream: a.settings.Name, Detail: string(v.State) + " " + string(v.Fingerprint)})
}

// ServeVerdicts serves peer.MethodVerdict: it adds the verdicts of other processes.
func (a *Agent) ServeVerdicts(_ context.Context, _ *jsonrpc2.Conn, r peer.VerdictRequest) (peer.VerdictResult, error) {
	a.events.Clock().Observe(r.Stamp)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, v := range r.Verdicts {
		a.addVerdict(v)
	}
	return peer.VerdictResult{SenderState: a.senderState()}, nil
}
