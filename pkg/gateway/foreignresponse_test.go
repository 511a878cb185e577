package gateway

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/roster"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
	"github.com/coltsfootpitch/coltsfootpitch/platform/standin"
)

// A rank refused a call that then waited for its group, and sent the refusal a second time where the
// response to the second attempt was due: the caller was told that its request had not run.
func TestRefusalOfAnEarlierAttemptIsNotTheResponseToALaterOne(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 2)
	b.configureGroup()
	b.store.Remove(platform.KindUpstreams, b.workers[1].ID)
	b.waitUntil("one worker to be left", func() bool { n, _ := b.gateway.fleet.UsableCapacity("plain"); return n == 1 })
	w := b.workers[0]
	var refused atomic.Pointer[string]
	var ran atomic.Int32
	w.SetHandler(func(rw http.ResponseWriter, r *http.Request) {
		if refused.CompareAndSwap(nil, &r.RemoteAddr) {
			w.Shed(rw, r)
			return
		}
		ran.Add(1)
		if r.RemoteAddr != *refused.Load() {
			w.Stream(1, 0)(rw, r)
			return
		}
		refusal := httptest.NewRecorder()
		for name, values := range rw.Header() {
			refusal.Header()[name] = values
		}
		w.Shed(refusal, r)
		var text bytes.Buffer
		fmt.Fprintf(&text, "HTTP/1.1 %d Service Unavailable\r\nContent-Length: 0\r\n", refusal.Code)
		_ = refusal.Header().Write(&text)
		text.WriteString("\r\n" + rawResponse(w, rw, "200 OK", "Content-Type: text/event-stream\r\nContent-Length: 14\r\n", "id: 1\ndata: a\n\n"))
		writeRaw(rw, text.String(), false)
	})
	status := make(chan int, 1)
	go func() {
		s, _, _, _ := b.call("/live/x", "key-1", "")
		status <- s
	}()
	waitFor(t, "the refused call to wait", func() bool { _, n := b.gateway.permits.usage("plain"); return n == 1 })
	b.gateway.applyLimit(roster.Limit{Service: "plain", Group: "g", FencingToken: 1, Share: 5})
	got := <-status
	is.Equal(ran.Load(), int32(1))
	is.True(got != http.StatusServiceUnavailable) // the request has run
}

// A response to an earlier request was longer than the limit up to which such responses are skipped: the
// rest of its body was taken for the response to the next request.
func TestRestOfALongSkippedResponseIsNotAResponse(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 1)
	b.configure("1")
	w := b.workers[0]
	_, _, _, err := b.call("/once/x", "key-1", "")
	is.NoErr(err)
	w.SetHandler(func(rw http.ResponseWriter, _ *http.Request) {
		own := rawResponse(w, rw, "200 OK", "Content-Length: 3\r\n", "own")
		body := strings.Repeat("x", 256<<10) + rawResponse(w, rw, "200 OK", "Content-Length: 5\r\n", "other")
		standin.SetAttemptID(&http.Request{Header: rw.Header()}, "earlier")
		writeRaw(rw, rawResponse(w, rw, "200 OK", fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)+own, false)
	})
	_, text, _, _ := b.call("/once/x", "key-1", "")
	is.True(text != "other") // bytes of another response's body
}

// A worker refused a call and wrote the refusal once more on the kept connection, after a response to another call: where
// that connection came to carry the second attempt of the call, its caller was told that a request had not run
// which had.
func TestConnectionOfARefusalIsNotUsedAgain(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 1)
	b.configure("1")
	w := b.workers[0]
	var refusedOn atomic.Pointer[string]
	var again atomic.Bool
	w.SetHandler(func(rw http.ResponseWriter, r *http.Request) {
		if refusedOn.CompareAndSwap(nil, &r.RemoteAddr) {
			w.Shed(rw, r)
			return
		}
		again.Store(again.Load() || r.RemoteAddr == *refusedOn.Load())
		w.Succeed(rw, r)
	})
	status, _, _, err := b.call("/once/x", "key-1", "")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	for range 3 {
		status, _, _, err = b.call("/once/x", "key-1", "")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
	is.True(!again.Load())
}
