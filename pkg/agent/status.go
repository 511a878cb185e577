package agent

import (
	"context"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/upstream"
)

// Status returns the state of the agent and its upstream for the entry from.
func (a *Agent) Status(from string) peer.Status {
	news := a.updates()
	view := a.config.View()
	a.mu.Lock()
	defer a.mu.Unlock()
	return peer.Status{
		News:          news,
		Upstream:      a.settings.Name,
		Zone:          a.settings.Zone,
		Incarnation:   a.fence.Incarnation(),
		ClockMillis:   a.uptime().Milliseconds(),
		WorkAddress:   a.settings.WorkAddress,
		Models:        a.health.Models,
		Services:      a.health.Services,
		Limit:         a.limiter.Limit(a.now()),
		Running:       a.limiter.Running(),
		Queued:        a.queue.Len(),
		Yours:         a.tasksOf(from),
		Cold:          a.limiter.Cold(),
		Leaving:       a.leaving || a.listing.Leaving,
		ZoneOut:       view != nil && view.ZoneOut(a.settings.Zone),
		Reachable:     a.reachable,
		ServiceMillis: a.meanServiceMillis,
		Verdicts:      a.verdicts.News(a.now()),
	}
}

// AnswerStatus serves peer.MethodStatus.
func (a *Agent) AnswerStatus(_ context.Context, _ *jsonrpc2.Conn, r peer.StatusRequest) (peer.Status, error) {
	a.events.Clock().Observe(r.Stamp)
	a.applyListing(r.Listed)
	s := a.Status(r.From)
	a.mu.Lock()
	s.Cache = a.cache.log.Since(r.CacheAfter)
	a.mu.Unlock()
	return s, nil
}

// Configure serves peer.MethodConfigure: it adopts the document when it is newer.
func (a *Agent) Configure(_ context.Context, _ *jsonrpc2.Conn, r peer.ConfigureRequest) (peer.ConfigureResult, error) {
	a.events.Clock().Observe(r.Stamp)
	// An update that builds on another document is answered with the version in force here.
	if took, _ := a.config.Take(r.Update); took {
		a.events.Record(event.Event{Kind: event.ConfigAdopted, ConfigVersion: r.Update.Version, Zone: a.settings.Zone})
		a.applyZoneState()
	}
	return peer.ConfigureResult{News: a.updates()}, nil
}

// pollHealth asks the upstream for its health until ctx ends.
func (a *Agent) pollHealth(ctx context.Context) {
	defer a.workers.Done()
	for ctx.Err() == nil {
		asked := a.lostRunCount()
		h, err := a.client.Health(ctx)
		a.recordHealth(h, err == nil, asked)
		if err == nil {
			a.relayCacheEvents(ctx)
		}
		sleep(ctx, time.Duration(a.settings.ProbeMillis)*time.Millisecond)
	}
}

// recordHealth takes in the answer to a health question that was asked after so many doubts.
// A new incarnation of the upstream starts cold.
func (a *Agent) recordHealth(h upstream.Health, up bool, asked int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.wakeWorkers.Broadcast()
	if asked != a.lostRuns {
		return
	}
	a.reachable = up
	if !up {
		return
	}
	if h.Incarnation != a.health.Incarnation {
		a.limiter.Reset()
		a.cache.reset()
		a.applyLimit("new incarnation")
	}
	a.health = h
}
