package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A gateway kept connections of callers that were idle longer than the configuration allows.
func TestIdleConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	idle := newCallerConns()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = idle.recordState
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	count := func() int {
		idle.mu.Lock()
		defer idle.mu.Unlock()
		return len(idle.idleSince)
	}
	waitFor(t, "the connection to be idle", func() bool { return count() == 1 })
	idle.closeIdle(time.Now(), time.Minute)
	time.Sleep(20 * time.Millisecond)
	is.Equal(count(), 1) // it has not been idle for a minute
	waitFor(t, "the connection to be closed", func() bool {
		idle.closeIdle(time.Now().Add(time.Minute), time.Second)
		return count() == 0
	})
	is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
	_, err = io.ReadAll(conn)
	is.NoErr(err)
}

// The server had read a request on a connection that closeIdle then chose: the connection was closed under
// the request.
func TestRequestThatWasReadIsNotCutByTheIdleTimeout(t *testing.T) {
	is := is.New(t)
	idle := newCallerConns()
	var cancelled atomic.Bool
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
		select {
		case <-r.Context().Done():
			cancelled.Store(true)
		case <-time.After(50 * time.Millisecond):
		}
	}))
	server.Config.ConnState = func(c net.Conn, s http.ConnState) {
		if s == http.StateActive {
			idle.closeIdle(time.Now().Add(time.Minute), time.Second)
		}
		idle.recordState(c, s)
	}
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	responses := bufio.NewReader(conn)
	for range 3 {
		_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n")
		is.NoErr(err)
		time.Sleep(20 * time.Millisecond) // the body arrives when the server waits for it
		_, err = io.WriteString(conn, "body")
		is.NoErr(err)
		resp, err := http.ReadResponse(responses, nil)
		is.NoErr(err)
		text, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(text), "body")
	}
	is.True(!cancelled.Load())
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
	idle := newCallerConns()
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
