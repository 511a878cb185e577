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
	delete(i.idleSince, c)
}

// closeIdle closes the connections that have been idle for longer than limit.
func (i *idleConns) closeIdle(now time.Time, limit time.Duration) {
	i.mu.Lock()
	var old []net.Conn
	for c, since := range i.idleSince {
		if now.Sub(since) > limit {
			old = append(old, c)
			delete(i.idleSince, c)
		}
	}
	i.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}
