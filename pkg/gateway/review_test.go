package gateway

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// hookedConn is a connection whose Close runs a hook first.
type hookedConn struct {
	net.Conn
	onClose func()
}

func (c *hookedConn) Close() error                    { c.onClose(); return nil }
func (c *hookedConn) SetReadDeadline(time.Time) error { return nil }

// A request arrived on a connection that had been chosen to be closed as idle: the connection was closed
// under the request.
func TestConnectionThatBecameActiveIsNotClosedAsIdle(t *testing.T) {
	is := is.New(t)
	idle := newIdleConns()
	var active atomic.Pointer[hookedConn]
	closedActive := false
	conns := [2]*hookedConn{{}, {}}
	for i, c := range conns {
		other := conns[1-i]
		c.onClose = func() {
			if active.Load() == c {
				closedActive = true
				return
			}
			done := make(chan struct{})
			go func() {
				idle.recordState(other, http.StateActive)
				close(done)
			}()
			select {
			case <-done:
				active.Store(other)
			case <-time.After(100 * time.Millisecond): // the connections are chosen and closed in one step
			}
		}
		idle.recordState(c, http.StateIdle)
	}
	idle.closeIdle(time.Now().Add(time.Minute), time.Second)
	is.True(!closedActive)
}
