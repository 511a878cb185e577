//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["crash"] = playCrash }

const (
	// crashDownTime is how long a crashed worker is away ("back after some seconds").
	crashDownTime = 2 * time.Second
	// crashEvery is how often the request comes again.
	crashEvery = 1500 * time.Millisecond
	// contactTime is contact_ms, and maxCrashRetries the number of retries that BUDGET allows later than
	// contactTime after the third crash.
	contactTime     = 3 * time.Second
	maxCrashRetries = 3
	crashPlayTime   = 40 * time.Second
)

// crashBody is the body of the request that crashes the workers that begin to run it.
const crashBody = "the request that crashes workers"

// playCrash lets one request come again and again that crashes each worker that runs it, right after the first
// event of its stream. Other requests come at the same time.
func playCrash(b *bench) bool {
	b.store.put("config", "main", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{"name": "quality-note", "host": host, "path_prefix": "/note/", "type": "streaming", "timeout_ms": 8000,
			"target_latency_ms": 500, "target_gap_ms": 120, "priority": 1, "service": "intake", "max_attempts": 2, "public": false,
			"resumable": true, "session_affinity": false}},
		"services": []any{map[string]any{"name": "intake", "health_path": "/healthz", "max_connections": 418,
			"protocol": "h1", "tls": false, "warmup_s": 0.0, "warmup_per_s": 0.0}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{"n2ctnfzs989anu6wsjnb"}}},
	})
	var mu sync.Mutex
	var crashes []time.Time
	arrivals := map[string]time.Time{}
	cutOthers, started, stopping := 0, 0, false
	var start func(address string)
	stream := func(w *worker, rw http.ResponseWriter, r *http.Request, body []byte) {
		id := r.Header.Get("X-Attempt-Id")
		isCrashing := b.trouble && string(body) == crashBody
		if string(body) == crashBody {
			mu.Lock()
			if _, ok := arrivals[id]; !ok {
				arrivals[id] = time.Now()
			}
			mu.Unlock()
			b.logf("  worker %s begins to run %s (Last-Event-Id %q)", w.id, id, r.Header.Get("Last-Event-Id"))
		}
		first := 1
		if last := r.Header.Get("Last-Event-Id"); last != "" {
			fmt.Sscan(last, &first)
			first++
		}
		rw.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(rw)
		for event := first; event <= 8; event++ {
			select {
			case <-w.stopped:
				panic(http.ErrAbortHandler)
			case <-r.Context().Done():
				return
			case <-time.After(25 * time.Millisecond):
			}
			fmt.Fprintf(rw, "id: %d\ndata: tokens %d of %s\n\n", event, event, id)
			_ = control.Flush()
			if isCrashing {
				time.Sleep(10 * time.Millisecond)
				mu.Lock()
				crashes = append(crashes, time.Now())
				n := len(crashes)
				mu.Unlock()
				b.logf("  worker %s crashes while it runs %s: crash %d", w.id, id, n)
				time.AfterFunc(crashDownTime, func() { start(w.address) })
				w.crash()
				panic(http.ErrAbortHandler)
			}
		}
	}
	start = func(address string) {
		mu.Lock()
		started++
		id, stop := fmt.Sprintf("i-%08x", started), stopping
		mu.Unlock()
		if !stop {
			startWorker(b, id, "intake", address, stream)
		}
	}
	const workers = 6
	for range workers {
		start(b.workerAddress())
	}
	b.startGateways(2, b.store.address())
	time.Sleep(time.Second)

	end := time.Now().Add(crashPlayTime)
	var callers sync.WaitGroup
	callers.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			callers.Go(func() {
				id := fmt.Sprintf("0a%014x", i)
				a := call(b.gateways[i%2], http.MethodPost, host, "/note/1", "n2ctnfzs989anu6wsjnb", id, 8*time.Second, fmt.Sprintf("note %d", i))
				whole := a.err == nil && a.status == http.StatusOK && strings.Count(a.body, "\n\n") == 8
				if !whole {
					mu.Lock()
					cutOthers++
					mu.Unlock()
					b.logf("  another caller's request %s got no whole answer: %s", id, a)
				}
			})
			time.Sleep(150 * time.Millisecond)
		}
	})
	for i := 0; time.Now().Before(end); i++ {
		id := fmt.Sprintf("0b%014x", i)
		g := b.gateways[i%2]
		b.logf("the request comes to %s, attempt %s", g.name, id)
		a := call(g, http.MethodPost, host, "/note/7", "n2ctnfzs989anu6wsjnb", id, 8*time.Second, crashBody)
		b.logf("  answer: %s", a)
		time.Sleep(crashEvery)
	}
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	stopping = true
	retries := 0
	if len(crashes) >= 3 {
		for _, at := range arrivals {
			if at.After(crashes[2].Add(contactTime)) {
				retries++
			}
		}
	}
	b.logf("%d crashes; %d retries reached workers later than contact_ms after the third crash (%d are allowed); %d requests of other callers without a whole answer",
		len(crashes), retries, maxCrashRetries, cutOthers)
	return retries <= maxCrashRetries
}
