package agent

import (
	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/fairness"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

// checkAdmission returns the code with which the agent rejects the attempt r now, or OK.
// Agent.mu must be held.
func (a *Agent) checkAdmission(r peer.RunRequest) code.Code {
	if c := a.checkAvailability(r); c != code.OK {
		return c
	}
	if c := a.checkVerdict(r); c != code.OK {
		return c
	}
	if !a.limiter.Fits(a.now(), r.Cost) {
		return code.Overloaded
	}
	return code.OK
}

// applyLimit records a change between cold and warm with its reason, and rejects the queued
// requests beyond queueLimit of the current limit. Agent.mu must be held.
func (a *Agent) applyLimit(reason string) {
	limit := a.limiter.Limit(a.now())
	a.meters.limit.Update(int64(limit))
	if cold := a.limiter.IsCold(); cold != a.recordedCold {
		a.recordedCold = cold
		kind := event.UpstreamWarm
		if cold {
			kind = event.UpstreamCold
			a.meters.coldResets.Inc(1)
		}
		a.events.Record(event.Event{Kind: kind, Upstream: a.settings.Name, Zone: a.settings.Zone, Detail: reason})
	}
	a.rejectSurplus(a.queue.SetMaxItems(a.queueLimit(limit)))
}

// queueLimit returns the largest number of queued requests. It is proportional to the
// admission limit and not below it.
func (a *Agent) queueLimit(limit int) int {
	return max(limit, a.settings.QueueLimit*limit/a.settings.Upstream.MaxLimit)
}

// rejectSurplus rejects items evicted from the queue, with the expected time until there is
// capacity again. Agent.mu must be held.
func (a *Agent) rejectSurplus(items []fairness.Item) {
	for n, i := range items {
		t := a.tasks[i.ID]
		a.dropTask(t)
		a.meters.surplus.Inc(1)
		t.rejectOverloaded(a.limiter.ExpectedWait(a.now(), a.queue.Len()+n))
		a.recordRejection(t, code.Overloaded)
	}
}

// dropTask removes a task that has not started and prevents its start. Agent.mu must be held.
func (a *Agent) dropTask(t *task) {
	a.fence.RejectAdmitted(t.fenceMessage.Key)
	delete(a.tasks, t.id)
}
