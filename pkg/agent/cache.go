package agent

import (
	"context"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/prefix"
)

// cacheEventSource is an upstream that publishes the events of its prefix cache.
type cacheEventSource interface {
	CacheEvents(ctx context.Context, after int64) (prefix.Events, error)
}

// cacheEventRelay forwards the cache events of the upstream to the entries. Agent.mu guards it.
type cacheEventRelay struct {
	log prefix.Log
	// nextEvent is the number of the next event to request from the upstream.
	nextEvent int64
}

// relayCacheEvents reads the new cache events of an upstream that publishes them. Errors are
// ignored: the next health probe reads again.
func (a *Agent) relayCacheEvents(ctx context.Context) {
	source, ok := a.client.(cacheEventSource)
	if !ok {
		return
	}
	a.mu.Lock()
	next := a.cache.nextEvent
	a.mu.Unlock()
	e, err := source.CacheEvents(ctx, next)
	if err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cache.nextEvent == next {
		a.cache.nextEvent = a.cache.log.Relay(e, next)
	}
}

// reset clears the events of an upstream that restarted with an empty cache. Agent.mu must
// be held.
func (r *cacheEventRelay) reset() {
	r.nextEvent = 0
	r.log.Clear()
}
