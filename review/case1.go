//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["1"] = playKeys }

const host = "ficu95.example"

// playKeys takes all keys of the only tenant away, one after the other, and then sends requests with these keys,
// with one that was never valid, and without a key.
func playKeys(b *bench) bool {
	const first, second, never = "n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk", "zzzzzzzzzzzzzzzzzzzz"
	configure := func(version int, keys ...string) {
		if keys == nil {
			keys = []string{}
		}
		b.store.put("config", "main", map[string]any{
			"version": version,
			"routes": []any{
				map[string]any{"name": "lookup", "host": host, "path_prefix": "/lookup/", "type": "safe", "timeout_ms": 1000,
					"target_latency_ms": 100, "priority": 2, "service": "records", "max_attempts": 2, "public": false},
				map[string]any{"name": "booking", "host": host, "path_prefix": "/booking/", "type": "unsafe", "timeout_ms": 1000,
					"target_latency_ms": 100, "priority": 2, "service": "records", "max_attempts": 1, "public": false},
			},
			"services": []any{map[string]any{"name": "records", "health_path": "/healthz", "max_connections": 110,
				"protocol": "h1", "tls": false, "warmup_s": 0.0, "warmup_per_s": 0.0}},
			"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
				"idle_timeout_ms": 15000},
			"tenants": []any{map[string]any{"name": "hule930", "api_keys": keys, "priority": 1}},
		})
		b.logf("the store confirms version %d of the configuration: tenant hule930 has the keys %q", version, keys)
	}
	var mu sync.Mutex
	ran := map[string]bool{}
	run := func(w *worker, rw http.ResponseWriter, r *http.Request, _ []byte) {
		id := r.Header.Get("X-Attempt-Id")
		mu.Lock()
		ran[id] = true
		mu.Unlock()
		b.logf("  worker %s runs %s: %s %s, X-Tenant %q", w.id, id, r.Method, r.RequestURI, r.Header.Get("X-Tenant"))
		time.Sleep(15 * time.Millisecond)
		fmt.Fprint(rw, "record of "+id)
	}
	configure(3, first, second)
	for i := range 3 {
		startWorker(b, fmt.Sprintf("i-0000000%d", i+1), "records", b.workerAddress(), run)
	}
	b.startGateways(2, b.store.address())
	time.Sleep(time.Second)

	// send sends one request of each route with a key and returns how many of them ran.
	sent := 0
	send := func(what, key string) (runs int) {
		for _, g := range b.gateways {
			for _, request := range [][2]string{{"GET", "/lookup/17"}, {"POST", "/booking/"}} {
				sent++
				id := fmt.Sprintf("%016x", sent)
				b.logf("%s %s with %s to %s, attempt %s", request[0], request[1], what, g.name, id)
				a := call(g, request[0], host, request[1], key, id, time.Second, "")
				b.logf("  answer: %s", a)
				time.Sleep(50 * time.Millisecond)
				mu.Lock()
				if ran[id] {
					runs++
				}
				mu.Unlock()
			}
		}
		return runs
	}
	const each = 4 // the requests of one call of send
	if send("the first key", first) != each || send("the second key", second) != each || send("a key that never was", never) != 0 || send("no key", "") != 0 {
		panic("the keys are not in force at the start")
	}
	if b.trouble {
		// revoke: count 2, gap_s 0.5, how last
		configure(5, second)
		time.Sleep(500 * time.Millisecond)
		configure(8)
	}
	// config_apply_ms, and max_skew_ms by which a disturbance of the store could stretch it, though there is none.
	const bound = 2*time.Second + 5*time.Second
	time.Sleep(bound + time.Second)
	if !b.trouble {
		return send("the first key", first) == each && send("the second key", second) == each && send("a key that never was", never) == 0 && send("no key", "") == 0
	}
	dropped := send("the first key, taken away", first) + send("the second key, taken away", second)
	foreign := send("a key that never was", never)
	none := send("no key", "")
	b.logf("ran after the bounds: %d of %d with a key that no configuration ever held (ROUTE); besides, %d of %d with a dropped key (CONFIG) and %d of %d without a key",
		foreign, each, dropped, 2*each, none, each)
	return foreign == 0
}
