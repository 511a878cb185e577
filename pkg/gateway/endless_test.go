package gateway

import (
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/platform/standin"
)

// sendWithoutEnd returns a handler that sends a beginning and then the same bytes until the gateway closes the
// connection. ID stands for the request's id in the beginning.
func sendWithoutEnd(begin, again string) func(http.ResponseWriter, *http.Request) {
	chunk := strings.Repeat(again, 1+(16<<10)/len(again))
	return func(rw http.ResponseWriter, _ *http.Request) {
		id := rw.Header().Get("X-Attempt-Id")
		conn, _, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		_, err = io.WriteString(conn, strings.Replace(begin, "ID", id, 1))
		for err == nil {
			_, err = io.WriteString(conn, chunk)
		}
	}
}

// highestHeap samples the memory in use until stop is called, which returns the highest value in bytes.
func highestHeap() (stop func() uint64) {
	done, highest := make(chan struct{}), make(chan uint64)
	go func() {
		var most uint64
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			most = max(most, m.HeapAlloc)
			select {
			case <-done:
				highest <- most
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return func() uint64 { close(done); return <-highest }
}

// One of three workers sent bytes without end: gateways read and held them for as long as the callers waited,
// and callers of the other workers lost their answers with the memory of the gateway.
func TestWorkerThatSendsWithoutEndHarmsNoOtherCall(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Attempt-Id: ID\r\n"
	for _, c := range []struct{ name, begin, again, path string }{
		{"head", head + "X-A: ", "x", "/safe/x"},
		{"no answer", "", "\x00", "/safe/x"},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n", "/safe/x"},
		{"body", head + "\r\n", "x", "/safe/x"},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", "/safe/x"},
		{"event", head + "Content-Type: text/event-stream\r\n\r\ndata: ", "x", "/stream/x"},
		{"comments", head + "Content-Type: text/event-stream\r\n\r\n", ": x\n\n", "/stream/x"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(t, 3)
			for _, w := range b.workers {
				w.SetHandler(w.Succeed)
				if strings.HasPrefix(c.path, "/stream/") {
					w.SetHandler(w.Stream(3, 0))
				}
			}
			b.workers[0].SetHandler(sendWithoutEnd(c.begin, c.again))
			b.configure("1")
			runtime.GC()
			var before runtime.MemStats
			runtime.ReadMemStats(&before)
			stop := highestHeap()
			var calls sync.WaitGroup
			var whole, late, wrong atomic.Int64
			const callers, timeout = 24, 4 * time.Second
			for range callers {
				calls.Go(func() {
					begin := time.Now()
					status, text, err := b.discard(c.path)
					switch {
					case err == nil && status == http.StatusOK && text < 1000:
						whole.Add(1)
					case err == nil && status == http.StatusOK:
						wrong.Add(1) // it looks complete
					}
					if time.Since(begin) > timeout+500*time.Millisecond {
						late.Add(1)
					}
				})
				time.Sleep(10 * time.Millisecond)
			}
			calls.Wait()
			grown := int64(stop()) - int64(before.HeapAlloc)
			reached := len(b.workers[0].Requests())
			t.Logf("%d of %d whole, %d requests at the endless worker, heap grown by %d KB", whole.Load(), callers, reached, grown>>10)
			is.Equal(late.Load(), int64(0))
			is.Equal(wrong.Load(), int64(0))
			is.True(whole.Load() >= int64(callers-reached)) // sound calls go on
			is.True(reached > 0)
			is.True(grown < 64<<20) // the memory of an instance is 284 MB
		})
	}
}

// discard sends a request and returns the length of the response's body. The error is also that of an
// incomplete response.
func (b *testbed) discard(path string) (status int, length int64, err error) {
	req, err := http.NewRequest(http.MethodPost, b.server.URL+path, strings.NewReader("body"))
	if err != nil {
		return 0, 0, err
	}
	req.Host = "h"
	req.Header.Set("Authorization", "Bearer key-1")
	standin.SetAttemptID(req, "endless-"+strconv.FormatUint(requestNumber.Add(1), 10))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	length, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, length, err
}
