package agent

import (
	"context"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/prefix"
)

// cacheSource is an upstream that publishes the events of its prefix cache.
type cacheSource interface {
	CacheEvents(ctx context.Context, after int64) (prefix.Events, error)
}

// cacheRelay hands the cache events of the upstream on to the entries. Agent.mu guards it.
type cacheRelay struct {
	log prefix.Log
	// after is the number to ask the upstream for next.
	after int64
}

// relayCache takes in new cache events. An upstream without such events is left alone.
func (a *Agent) relayCache(ctx context.Context) {
	source, ok := a.client.(cacheSource)
	if !ok {
		return
	}
	a.mu.Lock()
	after := a.cache.after
	a.mu.Unlock()
	e, err := source.CacheEvents(ctx, after)
	if err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cache.after == after {
		a.cache.after = a.cache.log.Take(e, after)
	}
}

// restart notes that the upstream came back with an empty cache. Agent.mu is held.
func (r *cacheRelay) restart() {
	r.after = 0
	r.log.Clear()
}
