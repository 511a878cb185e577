package agent

import (
	"context"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

// Run queues an attempt and returns its result when it has ended or was rejected. It
// implements peer.Runner.
func (a *Agent) Run(ctx context.Context, s peer.FrameSender, r peer.RunRequest) peer.RunResult {
	a.events.Clock().Observe(r.Stamp)
	t := a.newTask(s, r)
	defer t.cancel()
	if c := a.admit(t); c != code.OK {
		a.recordRejection(t, c)
		return a.withCommonFields(t, peer.RunResult{Code: c, Checksum: t.checksum.Sum64()})
	}
	return a.withCommonFields(t, a.awaitResult(ctx, t))
}

// admit adds the task to the queue and returns OK, or returns the code of its rejection.
func (a *Agent) admit(t *task) code.Code {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := a.checkAdmission(t.req); c != code.OK {
		return a.fence.Reject(t.fenceMessage, a.uptime(), c)
	}
	budget := time.Duration(t.req.StartWithinMillis) * time.Millisecond
	if c := a.fence.Admit(t.fenceMessage, a.uptime(), budget); c != code.OK {
		return c
	}
	t.startBudget = a.fence.StartBy(t.fenceMessage.Key) - a.uptime()
	a.tasks[t.id] = t
	a.rejectSurplus(a.queue.Push(t.item()))
	a.wakeWorkers.Signal()
	return code.OK
}

// checkAvailability returns the code with which the agent rejects work of this kind and
// target, or OK. Agent.mu must be held.
func (a *Agent) checkAvailability(r peer.RunRequest) code.Code {
	if a.leaving || a.listing.Leaving || a.stopped {
		return code.UpstreamLeaving
	}
	view := a.config.View()
	if view == nil {
		return code.NotConfigured
	}
	if view.IsZoneOut(a.settings.Zone) {
		return code.ZoneOut
	}
	if !a.reachable {
		return code.UpstreamUnreachable
	}
	if !a.serves(r) {
		return code.NoUpstream
	}
	return code.OK
}

// serves reports whether the upstream offers the model or service of r. Agent.mu must be
// held.
func (a *Agent) serves(r peer.RunRequest) bool {
	names := a.health.Models
	if r.Kind == peer.ServiceWork {
		names = a.health.Services
	}
	for _, n := range names {
		if n == r.Target {
			return true
		}
	}
	return false
}

// awaitResult waits for the end of a task. It rejects the task when its start budget expires
// in the queue. When the connection to the entry is lost, it calls handleEntryLoss.
func (a *Agent) awaitResult(ctx context.Context, t *task) peer.RunResult {
	budget := time.NewTimer(t.startBudget)
	defer budget.Stop()
	for {
		select {
		case r := <-t.result:
			return r
		case <-budget.C:
			a.rejectIfQueued(t, code.StartBudgetExpired)
		case <-ctx.Done():
			a.handleEntryLoss(t)
			return <-t.result
		}
	}
}

// handleEntryLoss ends a task whose entry has disconnected. A call that has started and is
// not idempotent runs to its end, because it cannot be repeated.
func (a *Agent) handleEntryLoss(t *task) {
	if a.rejectIfQueued(t, code.CallerGone) || t.req.Idempotent {
		t.cancel()
	}
}

// rejectIfQueued rejects a task that is still queued and reports whether it was.
func (a *Agent) rejectIfQueued(t *task, c code.Code) bool {
	a.mu.Lock()
	queued := a.queue.Remove(t.id)
	if queued {
		a.dropTask(t)
	}
	a.mu.Unlock()
	if queued {
		a.recordRejection(t, c)
		t.finish(c, "", 0)
	}
	return queued
}

// rejectQueued rejects all queued tasks with the code. Agent.mu must be held.
func (a *Agent) rejectQueued(c code.Code) {
	for {
		i, ok := a.queue.Pop()
		if !ok {
			return
		}
		t := a.tasks[i.ID]
		a.dropTask(t)
		a.recordRejection(t, c)
		t.finish(c, "", 0)
	}
}

// Cancel serves peer.MethodCancel: it ends an attempt that is queued or running, and
// otherwise prevents its start.
func (a *Agent) Cancel(_ context.Context, _ *jsonrpc2.Conn, r peer.CancelRequest) (peer.CancelResult, error) {
	a.events.Clock().Observe(r.Stamp)
	id := taskID(r.CallID, r.Attempt)
	a.mu.Lock()
	t := a.tasks[id]
	a.mu.Unlock()
	if t != nil && a.rejectIfQueued(t, code.Tombstoned) {
		return peer.CancelResult{SenderState: a.senderState(), State: peer.CancelNotRun}, nil
	}
	a.mu.Lock()
	started := a.fence.Cancel(cancelFenceMessage(r), a.uptime())
	a.mu.Unlock()
	a.events.Record(event.Event{Kind: event.WorkCancelled, Request: r.RequestID, Attempt: r.Attempt, Upstream: a.settings.Name})
	if !started {
		return peer.CancelResult{SenderState: a.senderState(), State: peer.CancelNotRun}, nil
	}
	if t != nil {
		t.cancel()
	}
	return peer.CancelResult{SenderState: a.senderState(), State: peer.CancelStarted}, nil
}

// withCommonFields returns r with the identity of the attempt and the status of the agent.
func (a *Agent) withCommonFields(t *task, r peer.RunResult) peer.RunResult {
	r.SenderState = a.senderState()
	r.CallID = t.req.CallID
	r.RequestID = t.req.RequestID
	r.Attempt = t.req.Attempt
	r.AgentStatus = a.Status(t.req.Entry)
	r.Incarnation = r.AgentStatus.Incarnation
	return r
}

// recordRejection counts a rejected task and records the event.
func (a *Agent) recordRejection(t *task, c code.Code) {
	a.meters.rejected.Inc(1)
	a.events.Record(event.Event{
		Kind: event.WorkRefused, Request: t.req.RequestID, Attempt: t.req.Attempt,
		Organisation: t.req.Organisation, Upstream: a.settings.Name, Code: int(c), Detail: c.String(),
	})
}
