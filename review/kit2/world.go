package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one request that a worker ran.
type run struct {
	id, method, target string
	at                 time.Time
	body               int
}

// worker is a stand-in for a worker of a plain service.
type worker struct {
	id, address string
	workTime    time.Duration
	bornAt      time.Time
	listener    net.Listener
	server      *http.Server

	mu   sync.Mutex
	runs []run
	// handle answers a request that has run, nil for a success.
	handle func(w http.ResponseWriter, r *http.Request) bool
}

func newWorker(id, h string, workTime time.Duration) *worker {
	v := &worker{id: id, workTime: workTime, bornAt: time.Now(), listener: listen(h)}
	v.address = v.listener.Addr().String()
	v.server = &http.Server{Handler: v}
	go func() { _ = v.server.Serve(v.listener) }()
	return v
}

// exit ends the worker with its channels.
func (v *worker) exit() { v.server.Close() }

// ServeHTTP implements http.Handler.
func (v *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != v.id {
		w.Header().Set("X-Instance-Id", v.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	v.mu.Lock()
	v.runs = append(v.runs, run{id, r.Method, r.RequestURI, time.Now(), int(n)})
	handle := v.handle
	v.mu.Unlock()
	time.Sleep(v.workTime)
	if handle != nil && handle(w, r) {
		return
	}
	w.Header().Set("X-Response-Signature", "3e1b."+v.id)
	fmt.Fprintf(w, "answer to %s", id)
}

// allRuns returns the runs of workers by the id of their request.
func allRuns(workers []*worker) map[string][]run {
	out := map[string][]run{}
	for _, v := range workers {
		v.mu.Lock()
		for _, r := range v.runs {
			out[r.id] = append(out[r.id], r)
		}
		v.mu.Unlock()
	}
	return out
}

// serviceName is the plain service of all cases.
const serviceName = "records-api"

// entry is the worker's entry in the store.
func (v *worker) entry(state string, sequence int) dict {
	return dict{
		"service": serviceName, "address": v.address, "zone": "zone-1", "version": "v1", "capacity": 6, "state": state,
		"warmup_left_ms": 0, "sequence": sequence, "born": v.bornAt.UnixMilli(),
	}
}

const (
	hostName = "records.example"
	apiKey   = "n2ctnfzs989anu6wsjnb"
)

type dict = map[string]any

// plainRoute is a route to the plain service.
func plainRoute(name, prefix, kind string) dict {
	return dict{
		"name": name, "host": hostName, "path_prefix": prefix, "type": kind, "timeout_ms": 1200, "target_latency_ms": 150,
		"priority": 2, "service": serviceName, "max_attempts": 1, "public": false, "session_affinity": false, "resumable": false,
	}
}

// maxBodyBytes is limits.max_body_bytes of the users' example of a configuration.
const maxBodyBytes = 4194304

// configuration is a document like that of a small deployment.
func configuration(version int, routes []dict) dict {
	return dict{
		"version": version, "routes": routes,
		"services": []dict{{"name": serviceName, "health_path": "/healthz", "max_connections": 52, "protocol": "h1", "tls": false, "warmup_s": 0.0, "warmup_per_s": 0.0}},
		"limits":   dict{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []dict{{"name": "hule930", "api_keys": []string{apiKey}, "priority": 1}},
	}
}

// newWorkers starts workers and lists them in the store.
func newWorkers(s *store, count int, workTime time.Duration) []*worker {
	var out []*worker
	for i := range count {
		v := newWorker(fmt.Sprintf("i-%07d", i+1), host(40+i), workTime)
		s.put("servers", v.id, v.entry("ready", 1))
		out = append(out, v)
	}
	return out
}

// startAll starts gateways and waits until they are ready and know each other.
func startAll(gateways []*process) {
	for _, p := range gateways {
		p.start()
	}
	for _, p := range gateways {
		p.waitReady(10 * time.Second)
	}
	time.Sleep(1500 * time.Millisecond)
}
