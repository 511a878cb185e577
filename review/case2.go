//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["2"] = playCrashingRequest }

const (
	// crashDownTime is how long a crashed worker is away ("back after some seconds").
	crashDownTime = 2 * time.Second
	// crashEvery is how long after its last answer the request comes again.
	crashEvery = 1500 * time.Millisecond
	// contactTime is contact_ms, and maxCrashRetries the number of retries that BUDGET allows later than
	// contactTime after the third crash.
	contactTime     = 3 * time.Second
	maxCrashRetries = 3
	crashPlayTime   = 45 * time.Second
	crashRanks      = 6
	streamEvents    = 8
)

// crashBody is the body of the request that crashes the workers that begin to run it.
const crashBody = "the request that crashes workers"

// playCrashingRequest lets one request come again and again that crashes each rank that runs it, right after the
// first event of its stream. Other requests come at the same time.
func playCrashingRequest(b *bench) bool {
	const service, key = "intake", "n2ctnfzs989anu6wsjnb"
	b.store.put("config", "main", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{"name": "quality-note", "host": host, "path_prefix": "/note/", "type": "streaming", "timeout_ms": 8000,
			"target_latency_ms": 500, "target_gap_ms": 120, "priority": 1, "service": service, "max_attempts": 2, "public": false,
			"resumable": true, "session_affinity": true}},
		"services": []any{map[string]any{"name": service, "health_path": "/healthz", "max_connections": 418,
			"protocol": "h1", "tls": false, "warmup_s": 0.0, "warmup_per_s": 0.0,
			"engine": map[string]any{"capacity": 12, "kv_capacity": 280000, "kv_bytes": 35136, "bandwidth_mbps": 180000.0, "stride": 4,
				"models": []any{map[string]any{"name": "m"}}, "step_ms": 4.55, "per_seq_ms": 0.905, "context_per_k": 0.0183,
				"read_per_s": 61400.0, "pairs_per_m": 0.525, "chunk": 512, "report_lag_ms": 200.0,
				"usual": map[string]any{"prompt": 835, "answer": 32}, "sets": rankSets, "experts": rankExperts, "placements": 11, "reserve": 2,
				"expert_mb": 2500.0, "expert_share": 0.85, "form_ms": 600.0}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{key}}},
	})
	group := newGroup(b, crashRanks)
	var mu sync.Mutex
	var crashes []time.Time
	began := map[string]time.Time{}
	lives, unserved := 0, 0
	var start func(index int, address string) string
	serve := func(index int) func(*worker, http.ResponseWriter, *http.Request, []byte) {
		return func(w *worker, rw http.ResponseWriter, r *http.Request, body []byte) {
			id, isCrashing := r.Header.Get("X-Attempt-Id"), string(body) == crashBody
			begins := func() {
				if !isCrashing {
					return
				}
				mu.Lock()
				if _, ok := began[id]; !ok {
					began[id] = time.Now()
				}
				mu.Unlock()
				b.logf("  rank %d (%s) begins to run %s, Last-Event-Id %q", index, w.id, id, r.Header.Get("Last-Event-Id"))
			}
			group.stream(index, w, rw, r, streamEvents, begins, func(int) bool {
				if !isCrashing || !b.trouble {
					return false
				}
				time.Sleep(10 * time.Millisecond)
				mu.Lock()
				crashes = append(crashes, time.Now())
				n := len(crashes)
				mu.Unlock()
				b.logf("  rank %d (%s) crashes while it runs %s: crash %d", index, w.id, id, n)
				time.AfterFunc(crashDownTime, func() { start(index, w.address) })
				group.crash(index)
				return true
			})
		}
	}
	start = func(index int, address string) string {
		mu.Lock()
		lives++
		id := fmt.Sprintf("i-%08x", lives)
		mu.Unlock()
		w := newWorker(b, id, service, address, serve(index))
		w.control = func(w *worker, rw http.ResponseWriter, r *http.Request) bool { return group.control(index, w, rw, r) }
		group.join(index, w)
		w.run()
		return w.address
	}
	var addresses []string
	for i := range crashRanks {
		addresses = append(addresses, start(i, b.rankIP(i)+":0"))
	}
	b.startGateways(2, b.store.address())
	b.startStewards(addresses, service)
	time.Sleep(3 * time.Second)

	send := func(g *gateway, id, body string) answer {
		return call(g, http.MethodPost, host, "/note/7", key, id, 8*time.Second, body,
			"X-Model", "m", "X-Token-Usage", "400,32", "X-Prompt-Prefix", "5c1e07a2:40,"+id+":360")
	}
	end := time.Now().Add(crashPlayTime)
	var callers sync.WaitGroup
	others := 0
	callers.Go(func() {
		for ; time.Now().Before(end); others++ {
			i := others
			callers.Go(func() {
				if a := send(b.gateways[i%2], fmt.Sprintf("0a%014x", i), fmt.Sprintf("note %d", i)); !isWhole(a, streamEvents) {
					mu.Lock()
					unserved++
					mu.Unlock()
				}
			})
			time.Sleep(150 * time.Millisecond)
		}
	})
	for i := 0; time.Now().Before(end); i++ {
		id, g := fmt.Sprintf("0b%014x", i), b.gateways[i%2]
		b.logf("the request comes to %s, attempt %s", g.name, id)
		b.logf("  answer: %s", send(g, id, crashBody))
		time.Sleep(crashEvery)
	}
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	retries := 0
	if len(crashes) >= 3 {
		for _, at := range began {
			if at.After(crashes[2].Add(contactTime)) {
				retries++
			}
		}
	}
	b.logf("%d crashes; %d retries began to run later than contact_ms after the third crash (%d are allowed); %d of %d requests of other callers without a whole answer",
		len(crashes), retries, maxCrashRetries, unserved, others)
	if !b.trouble && unserved > others/20 {
		panic("the requests of other callers are not served without the disruption")
	}
	return retries <= maxCrashRetries
}
