package agent

import (
	"context"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/prefix"
)

// cacheEventSource is an upstream that publishes the events of its prefix cache.
type cacheEventSource interface {
	CacheEvents(ctx context.Context, after int64) (prefix.Events, error)
}

// cacheEventRelay hands the cache events of the upstream on to the entries. Agent.mu guards it.
type cacheEventRelay struct {
	log prefix.Log
	// nextEvent is the number to ask the upstream for next.
	nextEvent int64
}

// relayCacheEvents takes in new cache events. An upstream without such events is left alone.
func (a *Agent) relayCacheEvents(ctx context.Context) {
	source, ok := a.client.(cacheEventSource)
	if !ok {
		return
	}
	a.mu.Lock()
	after := a.cache.nextEvent
	a.mu.Unlock()
	e, err := source.CacheEvents(ctx, after)
	if err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cache.nextEvent == after {
		a.cache.nextEvent = a.cache.log.Take(e, after)
	}
}

// reset notes that the upstream came back with an empty cache. Agent.mu is held.
func (r *cacheEventRelay) reset() {
	r.nextEvent = 0
	r.log.Clear()
}
