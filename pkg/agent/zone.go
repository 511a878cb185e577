package agent

import (
	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

// applyZoneState applies the state of the agent's availability zone after a configuration
// change. When the zone is taken out, queued work is rejected at once, so that entries can
// send it elsewhere. When the zone returns, the upstream starts at the cold limit.
func (a *Agent) applyZoneState() {
	out := a.config.View().IsZoneOut(a.settings.Zone)
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.wakeWorkers.Broadcast()
	if out == a.zoneOut {
		return
	}
	a.zoneOut = out
	kind := event.ZoneReturned
	if out {
		kind = event.ZoneLeft
		a.rejectQueued(code.ZoneOut)
	} else {
		a.limiter.Reset()
	}
	a.events.Record(event.Event{Kind: kind, Upstream: a.settings.Name, Zone: a.settings.Zone})
}

// applyListing applies the instance list's state of the instance of this agent. Revisions
// that are not newer than the known one are ignored.
func (a *Agent) applyListing(l peer.Listing) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l.Revision <= a.listing.Revision {
		return
	}
	startsLeaving := l.Leaving && !a.listing.Leaving
	a.listing = l
	if !startsLeaving {
		return
	}
	a.rejectQueued(code.UpstreamLeaving)
	a.events.Record(event.Event{Kind: event.InstanceLeaving, Upstream: a.settings.Name, Zone: a.settings.Zone})
}

// tasksOf returns the number of queued and running tasks of the entry with the name from.
// Agent.mu must be held.
func (a *Agent) tasksOf(from string) int {
	n := 0
	for _, t := range a.tasks {
		if t.req.Entry == from {
			n++
		}
	}
	return n
}
