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

	"github.com/coltsfootpitch/coltsfootpitch/pkg/sse"
	"github.com/coltsfootpitch/coltsfootpitch/platform/standin"
)

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
	for _, c := range []struct {
		name, path string
		response   standin.EndlessResponse
	}{
		{"head", "/safe/x", standin.EndlessResponse{HasHead: true, Begin: "X-A: ", Again: "x"}},
		{"no answer", "/safe/x", standin.EndlessResponse{Again: "\x00"}},
		{"interim answers", "/safe/x", standin.EndlessResponse{Again: "HTTP/1.1 103 Early Hints\r\n\r\n"}},
		{"body", "/safe/x", standin.EndlessResponse{HasHead: true, Begin: "\r\n", Again: "x"}},
		{"chunks", "/safe/x", standin.EndlessResponse{HasHead: true, Begin: "Transfer-Encoding: chunked\r\n\r\n", Again: "1\r\nx\r\n"}},
		{"event", "/stream/x", standin.EndlessResponse{HasHead: true, Begin: "Content-Type: text/event-stream\r\n\r\ndata: ", Again: "x"}},
		{"comments", "/stream/x", standin.EndlessResponse{HasHead: true, Begin: "Content-Type: text/event-stream\r\n\r\n", Again: ": x\n\n"}},
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
			b.workers[0].SetHandler(c.response.Handler())
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
			is.True(grown < callers*(maxBufferedBytes+sse.MaxEventBytes)) // a call holds no more than these
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
