package agent

import (
	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/fairness"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

// takes returns the reason why the agent takes no attempt like r now, or OK. Agent.mu is held.
func (a *Agent) takes(r peer.RunRequest) code.Code {
	if c := a.closedTo(r); c != code.OK {
		return c
	}
	if c := a.quarantined(r); c != code.OK {
		return c
	}
	if !a.limiter.Fits(a.now(), r.Cost) {
		return code.Overloaded
	}
	return code.OK
}

// limitChanged records a change between cold and warm, and gives back the work that
// waits beyond what the new limit can serve. Agent.mu is held.
func (a *Agent) limitChanged(reason string) {
	limit := a.limiter.Limit(a.now())
	a.meters.limit.Update(int64(limit))
	if cold := a.limiter.Cold(); cold != a.cold {
		a.cold = cold
		kind := event.UpstreamWarm
		if cold {
			kind = event.UpstreamCold
			a.meters.cold.Inc(1)
		}
		a.events.Record(event.Event{Kind: kind, Upstream: a.settings.Name, Zone: a.settings.Zone, Detail: reason})
	}
	a.giveBack(a.queue.SetMaxItems(a.queueBound(limit)))
}

// queueBound is the number of requests that wait at most, in proportion to the limit.
func (a *Agent) queueBound(limit int) int {
	return max(limit, a.settings.QueueLimit*limit/a.settings.Upstream.MaxLimit)
}

// giveBack refuses waiting work for which there is no room, with the time after which
// there may be. Agent.mu is held.
func (a *Agent) giveBack(items []fairness.Item) {
	for n, i := range items {
		t := a.tasks[i.ID]
		a.drop(t)
		a.meters.surplus.Inc(1)
		t.giveBack(a.limiter.Wait(a.now(), a.queue.Len()+n))
		a.refused(t, code.Overloaded)
	}
}

// drop forgets a task that has not started and never will. Agent.mu is held.
func (a *Agent) drop(t *task) {
	a.fence.RejectAdmitted(t.fenced.Key)
	delete(a.tasks, t.id)
}
