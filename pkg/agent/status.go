package agent

import (
	"context"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/upstream"
)

// Status returns the state of the agent and its upstream. FromRequester counts the tasks of the
// entry with the name from.
func (a *Agent) Status(from string) peer.Status {
	senderState := a.senderState()
	view := a.config.View()
	a.mu.Lock()
	defer a.mu.Unlock()
	return peer.Status{
		SenderState:       senderState,
		Upstream:          a.settings.Name,
		Zone:              a.settings.Zone,
		Incarnation:       a.fence.Incarnation(),
		ClockMillis:       a.uptime().Milliseconds(),
		WorkAddress:       a.settings.WorkAddress,
		Models:            a.health.Models,
		Services:          a.health.Services,
		Limit:             a.limiter.Limit(a.now()),
		Running:           a.limiter.Running(),
		Queued:            a.queue.Len(),
		FromRequester:     a.tasksOf(from),
		Cold:              a.limiter.IsCold(),
		Leaving:           a.leaving || a.listing.Leaving,
		ZoneOut:           view != nil && view.IsZoneOut(a.settings.Zone),
		Reachable:         a.reachable,
		MeanServiceMillis: a.meanServiceMillis,
		Verdicts:          a.verdicts.RecentVerdicts(a.now()),
	}
}

// ServeStatus serves peer.MethodStatus: it applies the instance listing of the request and
// returns the status with the cache events that the requester lacks.
func (a *Agent) ServeStatus(_ context.Context, _ *jsonrpc2.Conn, r peer.StatusRequest) (peer.Status, error) {
	a.events.Clock().Observe(r.Stamp)
	a.applyListing(r.Listing)
	s := a.Status(r.Requester)
	a.mu.Lock()
	s.CacheEvents = a.cache.log.Since(r.NextCacheEvent)
	a.mu.Unlock()
	return s, nil
}

// Configure serves peer.MethodConfigure: it adopts the document when it is newer.
func (a *Agent) Configure(_ context.Context, _ *jsonrpc2.Conn, r peer.ConfigureRequest) (peer.ConfigureResult, error) {
	a.events.Clock().Observe(r.Stamp)
	// An update that builds on another document needs no handling: the response carries the
	// version in force here.
	if took, _ := a.config.ApplyUpdate(r.Update); took {
		a.events.Record(event.Event{Kind: event.ConfigAdopted, ConfigVersion: r.Update.Version, Zone: a.settings.Zone})
		a.applyZoneState()
	}
	return peer.ConfigureResult{SenderState: a.senderState()}, nil
}

// pollHealth probes the health and reads the cache events of the upstream until ctx ends.
func (a *Agent) pollHealth(ctx context.Context) {
	defer a.workers.Done()
	for ctx.Err() == nil {
		lossesBefore := a.lostRunCount()
		h, err := a.client.Health(ctx)
		a.recordHealth(h, err == nil, lossesBefore)
		if err == nil {
			a.relayCacheEvents(ctx)
		}
		sleep(ctx, time.Duration(a.settings.ProbeMillis)*time.Millisecond)
	}
}

// recordHealth records the result of a health check. lossesBefore is the number of lost runs
// when the check was requested; the result is ignored if another run has been lost since. A
// new incarnation of the upstream starts cold.
func (a *Agent) recordHealth(h upstream.Health, reachable bool, lossesBefore int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.wakeWorkers.Broadcast()
	if lossesBefore != a.lostRuns {
		return
	}
	a.reachable = reachable
	if !reachable {
		return
	}
	if h.Incarnation != a.health.Incarnation {
		a.limiter.Reset()
		a.cache.reset()
		a.applyLimit("new incarnation")
	}
	a.health = h
}
