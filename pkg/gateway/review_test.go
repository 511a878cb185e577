package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A caller stopped reading a long response: its call kept the handler and a permit beyond the deadline.
func TestCallerThatDoesNotReadIsLeftAtTheDeadline(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 1)
	b.configure("1")
	w := b.workers[0]
	w.SetHandler(func(rw http.ResponseWriter, _ *http.Request) {
		w.Sign(rw)
		for {
			if _, err := io.WriteString(rw, strings.Repeat("x", 64<<10)); err != nil {
				return
			}
		}
	})
	conn, err := net.Dial("tcp", b.server.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /once/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	running := func() int { n, _ := b.gateway.permits.usage("plain"); return n }
	waitFor(t, "the call to run", func() bool { return running() == 1 })
	time.Sleep(1500 * time.Millisecond) // the route's timeout is 900 ms
	is.Equal(running(), 0)
}

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
