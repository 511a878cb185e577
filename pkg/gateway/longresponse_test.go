package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A long response to an idempotent request was cut off when the time limit of attempts that can be
// repeated ran out, although its beginning had been sent and the call had time left.
func TestLongResponseIsNotCutByTheTimeLimitOfRepeatableAttempts(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 2)
	b.configure("1")
	const beginning, rest = 300 << 10, 10 << 10
	for _, w := range b.workers {
		w.SetHandler(func(rw http.ResponseWriter, _ *http.Request) {
			w.Sign(rw)
			rw.Header().Set("Content-Length", fmt.Sprint(beginning+rest))
			_, _ = io.WriteString(rw, strings.Repeat("x", beginning))
			_ = http.NewResponseController(rw).Flush()
			time.Sleep(450 * time.Millisecond) // longer than a third of the route's 900 ms
			_, _ = io.WriteString(rw, strings.Repeat("y", rest))
		})
	}
	_, text, _, err := b.call("/safe/x", "key-1", "")
	is.NoErr(err)
	is.Equal(len(text), beginning+rest)
}

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
