package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConns tracks callers' connections. It closes those that are idle longer than the configuration allows: the
// idle timeout of http.Server is fixed at its start and cannot follow the configuration.
type callerConns struct {
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
	// openCount is the number of connections that are not closed.
	openCount int
}

func newCallerConns() *callerConns { return &callerConns{idleSince: map[net.Conn]time.Time{}} }

// open returns the number of open connections.
func (i *callerConns) open() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.openCount
}

// recordState records the state changes of a connection; it is the ConnState hook of the server.
func (i *callerConns) recordState(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch s {
	case http.StateNew:
		i.openCount++
	case http.StateClosed, http.StateHijacked:
		i.openCount--
	}
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
func (i *callerConns) closeIdle(now time.Time, limit time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.idleSince {
		if now.Sub(since) > limit {
			_ = c.SetReadDeadline(time.Now())
		}
	}
}
