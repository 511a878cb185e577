package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns closes callers' connections that are idle longer than the configuration allows. The
// idle timeout of http.Server is fixed at its start and cannot follow the configuration.
type idleConns struct {
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

func newIdleConns() *idleConns { return &idleConns{idleSince: map[net.Conn]time.Time{}} }

// recordState records the state changes of a connection; it is the ConnState hook of the server.
func (i *idleConns) recordState(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == http.StateIdle {
		i.idleSince[c] = time.Now()
		return
	}
	if _, wasIdle := i.idleSince[c]; wasIdle && s == http.StateActive {
		// closeIdle may have chosen the connection after the server had read this request.
		_ = c.SetReadDeadline(time.Time{})
	}
	delete(i.idleSince, c)
}

// closeIdle lets the server close the connections that have been idle for longer than limit. It ends
// their wait for a request: closing them here could cut a request that just arrived.
func (i *idleConns) closeIdle(now time.Time, limit time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.idleSince {
		if now.Sub(since) > limit {
			_ = c.SetReadDeadline(time.Now())
		}
	}
}
