package agent

import (
	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

// applyZoneState acts on a newly adopted configuration. When the availability zone left,
// waiting work is refused at once, so that entries can send it elsewhere. When the zone
// returned, the upstream starts at the cold limit.
func (a *Agent) applyZoneState() {
	out := a.config.View().ZoneOut(a.settings.Zone)
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

// applyListing takes in what the instance list says of the instance of this agent. Older
// revisions than the one known are ignored.
func (a *Agent) applyListing(l peer.Listed) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l.Revision <= a.listing.Revision {
		return
	}
	left := l.Leaving && !a.listing.Leaving
	a.listing = l
	if !left {
		return
	}
	a.rejectQueued(code.UpstreamLeaving)
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
