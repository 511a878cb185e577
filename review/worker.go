//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// beatInterval is heartbeat_ms in the settings.
const beatInterval = 1200 * time.Millisecond

// worker is a stand-in for one worker. It rejects requests for other workers, names itself in what it answers and
// records what it runs.
type worker struct {
	bench   *bench
	id      string
	service string
	address string
	born    int64
	// control answers a call that is no request of a caller, and reports whether it did; nil for none.
	control func(w *worker, rw http.ResponseWriter, r *http.Request) bool
	// serve runs a request. It may crash the worker.
	serve func(w *worker, rw http.ResponseWriter, r *http.Request, body []byte)

	server   *http.Server
	listener net.Listener
	stopped  chan struct{}
	stopOnce sync.Once

	mu sync.Mutex
	// conns are the open connections.
	conns map[net.Conn]bool
}

// startWorker starts a worker at an address and registers it in the store; port 0 stands for a free port.
func startWorker(b *bench, id, service, address string, serve func(*worker, http.ResponseWriter, *http.Request, []byte)) *worker {
	w := newWorker(b, id, service, address, serve)
	w.run()
	return w
}

// newWorker returns a worker that listens and does not serve yet.
func newWorker(b *bench, id, service, address string, serve func(*worker, http.ResponseWriter, *http.Request, []byte)) *worker {
	l, err := net.Listen("tcp", address)
	if err != nil {
		// Another process has the port by now, so the worker comes back at another one.
		ip, _, _ := net.SplitHostPort(address)
		if l, err = net.Listen("tcp", net.JoinHostPort(ip, "0")); err != nil {
			panic(err)
		}
	}
	w := &worker{
		bench: b, id: id, service: service, address: l.Addr().String(), born: time.Now().UnixMilli(), serve: serve,
		listener: l, stopped: make(chan struct{}), conns: map[net.Conn]bool{},
	}
	w.server = &http.Server{Handler: w, ConnState: w.recordState}
	return w
}

// run serves and registers the worker.
func (w *worker) run() {
	go func() { _ = w.server.Serve(w.listener) }()
	go w.beat()
}

// beat keeps the entry of the worker in the store up to date until the worker ends. The entry is removed three
// intervals later.
func (w *worker) beat() {
	for sequence := 1; ; sequence++ {
		w.bench.store.put("servers", w.id, map[string]any{
			"service": w.service, "address": w.address, "zone": "gate-north", "version": "v1", "capacity": 12,
			"state": "ready", "warmup_left_ms": 0, "sequence": sequence, "born": w.born,
		})
		select {
		case <-w.stopped:
			time.AfterFunc(3*beatInterval, func() { w.bench.store.remove("servers", w.id) })
			return
		case <-time.After(beatInterval):
		}
	}
}

func (w *worker) recordState(c net.Conn, s http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(w.conns, c)
		return
	}
	w.conns[c] = true
}

// crash ends the worker at once: nothing listens any more, and all connections are reset.
func (w *worker) crash() {
	w.stopOnce.Do(func() {
		close(w.stopped)
		w.listener.Close()
		w.mu.Lock()
		defer w.mu.Unlock()
		for c := range w.conns {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			c.Close()
		}
	})
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if w.control != nil && w.control(w, rw, r) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get("X-Expected-Instance"); want != w.id {
		rw.Header().Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	rw.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	rw.Header().Set("X-Response-Signature", "s."+w.id+"."+r.Header.Get("X-Attempt-Id"))
	w.serve(w, rw, r, body)
}

// answer is what a caller got.
type answer struct {
	status int
	body   string
	signed bool
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, %d bytes, then: %v", a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("status %d, signed %v, body %q", a.status, a.signed, a.body)
}

// callerClient opens a new channel for each request.
var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 9 * time.Second}

// call sends a request as a caller does. Key is empty for none; headers are names and values of further headers.
func call(g *gateway, method, host, path, key, id string, deadline time.Duration, body string, headers ...string) answer {
	r, err := http.NewRequest(method, "http://"+g.address+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = host
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := callerClient.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(text), signed: resp.Header.Get("X-Response-Signature") != "", err: err}
}
