//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["silent"] = playSilent }

// proxy stands between the gateways and the store. Its open channels can fall silent, while new ones work.
type proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	silent chan struct{}
	conns  []net.Conn
}

func newProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p := &proxy{listener: l, target: target, silent: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		client.Close()
		return
	}
	p.mu.Lock()
	silent := p.silent
	p.mu.Unlock()
	pass := func(to, from net.Conn) {
		buf := make([]byte, 64<<10)
		for {
			n, err := from.Read(buf)
			select {
			case <-silent: // nothing is passed any more, not even the end
				_, _ = io.Copy(io.Discard, from)
				return
			default:
			}
			if n > 0 {
				if _, err := to.Write(buf[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		to.Close()
	}
	go pass(server, client)
	pass(client, server)
}

// fallSilent silences the open channels for good.
func (p *proxy) fallSilent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silent)
	p.silent = make(chan struct{})
}

// playSilent lets the open channels to the store fall silent while configurations come in quick succession. One
// of them takes a key away. The configuration has as many tenants as the users expect.
func playSilent(b *bench) bool {
	const (
		tenants = 3600
		routes  = 1000
		changes = 25
		gap     = 80 * time.Millisecond
		kept    = "k000000000000000kept"
		taken   = "k00000000000000taken"
	)
	version := 3
	bytes := 0
	configure := func(hasTaken bool) {
		var list []any
		for i := range tenants {
			list = append(list, map[string]any{"name": fmt.Sprintf("org%05d", i), "api_keys": []string{
				fmt.Sprintf("a%019d", i), fmt.Sprintf("b%019d", i)}, "priority": 1})
		}
		keys := []string{kept}
		if hasTaken {
			keys = append(keys, taken)
		}
		list = append(list, map[string]any{"name": "hule930", "api_keys": keys})
		routeList := []any{map[string]any{"name": "booking", "host": host, "path_prefix": "/booking/", "type": "unsafe", "timeout_ms": 1000 + version,
			"target_latency_ms": 100, "priority": 2, "service": "records", "max_attempts": 1, "public": false}}
		for i := range routes {
			routeList = append(routeList, map[string]any{"name": fmt.Sprintf("r-%07d", i), "host": host, "path_prefix": fmt.Sprintf("/lohu%05d/", i),
				"type": "safe", "timeout_ms": 1000, "target_latency_ms": 100, "priority": 2, "service": "records", "max_attempts": 2,
				"public": false, "session_affinity": false, "resumable": false})
		}
		c := map[string]any{
			"version": version,
			"routes":  routeList,
			"services": []any{map[string]any{"name": "records", "health_path": "/healthz", "max_connections": 110,
				"protocol": "h1", "tls": false, "warmup_s": 0.0, "warmup_per_s": 0.0}},
			"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
			"tenants": list,
		}
		bytes = b.store.put("config", "main", c)
		b.logf("the store confirms version %d of the configuration, %d bytes, key %s is there: %v", version, bytes, taken, hasTaken)
		version += 2
	}
	var mu sync.Mutex
	ran := map[string]bool{}
	for i := range 3 {
		startWorker(b, fmt.Sprintf("i-0000000%d", i+1), "records", b.workerAddress(), func(w *worker, rw http.ResponseWriter, r *http.Request, _ []byte) {
			id := r.Header.Get("X-Attempt-Id")
			mu.Lock()
			ran[id] = true
			mu.Unlock()
			b.logf("  worker %s runs %s, X-Tenant %q", w.id, id, r.Header.Get("X-Tenant"))
			fmt.Fprint(rw, "record of "+id)
		})
	}
	configure(true)
	p := newProxy(b.store.address())
	b.startGateways(3, p.listener.Addr().String())
	time.Sleep(2 * time.Second)
	sent := 0
	send := func(key string) (runs int) {
		for _, g := range b.gateways {
			sent++
			id := fmt.Sprintf("%016x", sent)
			b.logf("POST /booking/ with the key %s to %s, attempt %s", key, g.name, id)
			a := call(g, http.MethodPost, host, "/booking/", key, id, time.Second, "")
			b.logf("  answer: %s", a)
			mu.Lock()
			if ran[id] {
				runs++
			}
			mu.Unlock()
		}
		return runs
	}
	if send(kept) != 3 || send(taken) != 3 {
		panic("the keys are not in force at the start")
	}
	// A change just before: the gateways begin to watch anew when they have it.
	configure(true)
	time.Sleep(300 * time.Millisecond)
	silentAt := time.Now()
	if b.trouble {
		p.fallSilent()
		b.logf("all open channels to the store fall silent; new ones work")
	}
	for i := range changes {
		configure(i < 5)
		time.Sleep(gap)
	}
	confirmed := time.Now()
	// The bound of the last version, and contact_ms after the reset of channels, for which the silence counts.
	from := confirmed.Add(2 * time.Second)
	if at := silentAt.Add(3 * time.Second); at.After(from) {
		from = at
	}
	const slack = 500 * time.Millisecond
	b.sleepUntil(from.Add(slack))
	stale, n := 0, 0
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		n += len(b.gateways)
		stale += send(taken)
	}
	b.logf("%d of %d requests with the key that was taken away ran later than config_apply_ms after the confirmation", stale, n)
	return stale == 0
}
