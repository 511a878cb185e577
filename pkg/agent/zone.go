package agent

import (
	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

// followZone acts on a newly adopted configuration. When the availability zone left,
// waiting work is refused at once, so that entries can send it elsewhere. When the zone
// returned, the upstream starts at the cold limit.
func (a *Agent) followZone() {
	out := a.config.View().ZoneOut(a.settings.Zone)
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.wake.Broadcast()
	if out == a.zoneOut {
		return
	}
	a.zoneOut = out
	kind := event.ZoneReturned
	if out {
		kind = event.ZoneLeft
		a.refuseWaiting(code.ZoneOut)
	} else {
		a.limiter.Reset()
	}
	a.events.Record(event.Event{Kind: kind, Upstream: a.settings.Name, Zone: a.settings.Zone})
}

// heed takes in what the instance list says of the instance of this agent. Older
// revisions than the one known are ignored.
func (a *Agent) heed(l peer.Listed) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l.Revision <= a.listed.Revision {
		return
	}
	left := l.Leaving && !a.listed.Leaving
	a.listed = l
	if !left {
		return
	}
	a.refuseWaiting(code.UpstreamLeaving)
	a.events.Record(event.Event{Kind: event.InstanceLeaving, Upstream: a.settings.Name, Zone: a.settings.Zone})
}

// tasksOf counts the tasks of an entry. Agent.mu is held.
func (a *Agent) tasksOf(from string) int {
	n := 0
	for _, t := range a.tasks {
		if t.req.From == from {
			n++
		}
	}
	return n
}
