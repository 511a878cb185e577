package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/platform"
	"github.com/coltsfootpitch/coltsfootpitch/platform/standin"
)

// cutServer is a worker that answers the first request of each connection whole, and a later one up to a cut.
type cutServer struct {
	listener net.Listener

	mu       sync.Mutex
	response standin.RawResponse
	cut      standin.Cut
	// pieces is the number of pieces in which the second answer is sent.
	pieces int
	second int
}

func newCutServer(t *testing.T) *cutServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &cutServer{listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *cutServer) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := standin.RequestAttemptID(r)
		if n == 1 || r.URL.Path == "/safe/first" {
			head, body := standin.RawResponse{Status: http.StatusOK, ContentType: "text/plain", Body: []string{"whole"}}.Wire(id)
			_, _ = io.WriteString(c, head+body)
			continue
		}
		s.mu.Lock()
		s.second++
		head, body := s.response.Wire(id)
		text := head + body
		text, pieces, reset := text[:max(0, len(text)-s.cut.Missing)], s.pieces, s.cut.Reset
		s.mu.Unlock()
		for left := pieces; left > 0; left-- {
			n := len(text) / left
			_, _ = io.WriteString(c, text[:n])
			text = text[n:]
			if left > 1 {
				time.Sleep(time.Millisecond)
			}
		}
		if tcp, ok := c.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
		return
	}
}

// MIXED, ORDER: a worker stopped in the midst of the head or the body of an answer on a connection that had carried
// another one, and the client got a short answer framed as a whole one; also where the answer came in pieces, and from
// the rank of a group.
func TestAnswerCutOnAKeptConnectionDoesNotLookWhole(t *testing.T) {
	for _, c := range []struct {
		name, path string
		response   standin.RawResponse
		isGroup    bool
	}{
		{"plain", "/safe/x", standin.RawResponse{Status: http.StatusOK, ContentType: "text/plain", Body: []string{"first part, ", "second part"}}, false},
		{"at most once", "/once/x", standin.RawResponse{Status: http.StatusOK, ContentType: "text/plain", Body: []string{"first part, ", "second part"}}, false},
		{"stream", "/stream/x", rawStream(1, 2), false},
		{"stream of a rank", "/live/x", rawStream(1, 2), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newTestbed(t, 0)
			b.gateway.node.RetryLimits.Allowance = 1e6
			s := newCutServer(t)
			spec := map[string]any{
				"service": "plain", "address": s.listener.Addr().String(), "zone": "z", "version": "v1", "capacity": 4,
				"state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": 1700000000000,
			}
			b.store.Put(platform.KindUpstreams, "i-a", spec)
			text := strings.ReplaceAll(string(configuration("1")), `"timeout_ms":900`, `"timeout_ms":9000`)
			if c.isGroup {
				text = strings.Replace(text, `"max_connections":50`, `"max_connections":50,"engine":{"capacity":12,"stride":4,"step_ms":4.55,"sets":2,"experts":0,"form_ms":600}`, 1)
			}
			b.store.PutRaw(platform.KindConfiguration, platform.NameConfiguration, []byte(text))
			b.waitUntil("the worker", func() bool { n, _ := b.gateway.fleet.UsableCapacity("plain"); return b.gateway.Ready() && n == 1 })
			cuts := 0
			for _, framing := range []standin.Framing{standin.FramedByLength, standin.FramedByChunks} {
				c.response.Framing = framing
				head, body := c.response.Wire(longestAttemptID)
				for missing := 1; missing <= len(head)+len(body); missing++ {
					s.mu.Lock()
					s.response, s.cut, s.pieces = c.response, standin.Cut{Missing: missing, Reset: missing%2 == 0}, 1+missing%4
					s.mu.Unlock()
					cuts++
					// A connection whose request was written late is not kept.
					for range 20 {
						b.gateway.fleet.clearObservations()
						if status, _, _, err := b.call("/safe/first", "key-1", ""); err != nil || status != http.StatusOK {
							t.Fatalf("the answer before: status %d, %v", status, err)
						}
						status, text, _, err := b.call(c.path, "key-1", "")
						if !s.hasCut(cuts) {
							continue
						}
						if err == nil && status < http.StatusInternalServerError {
							t.Errorf("%s, %d of %d bytes missing: status %d, %q looks whole", framing, missing, len(head)+len(body), status, text)
						}
						break
					}
				}
			}
			t.Logf("%d answers cut", cuts)
			if !s.hasCut(cuts) {
				t.Errorf("%d of %d answers were cut on a kept connection", s.second, cuts)
			}
		})
	}
}

// hasCut reports whether this many answers were cut.
func (s *cutServer) hasCut(count int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.second >= count
}

// clearObservations forgets failures, so that the next request is sent at once.
func (f *Fleet) clearObservations() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.observations)
}
