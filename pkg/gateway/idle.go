package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns closes callers' connections that are idle longer than the configuration in
// force allows; a server of net/http fixes that time at its start.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConns() *idleConns { return &idleConns{since: map[net.Conn]time.Time{}} }

// note follows the states of a connection.
func (i *idleConns) note(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == http.StateIdle {
		i.since[c] = time.Now()
		return
	}
	delete(i.since, c)
}

// closeOlder closes the connections that have been idle for longer than limit.
func (i *idleConns) closeOlder(now time.Time, limit time.Duration) {
	i.mu.Lock()
	var old []net.Conn
	for c, since := range i.since {
		if now.Sub(since) > limit {
			old = append(old, c)
			delete(i.since, c)
		}
	}
	i.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}
