package main

import (
	"net/http"
	"time"
)

func init() { cases["refused"] = refused }

// refused has a worker that fails some of its requests after it has run them, with status 503. It does not state
// that they have not run.
func refused(trouble bool) {
	const (
		troubleTime = 6500 * time.Millisecond
		failShare   = 0.45
	)
	s := newStore(host(2))
	workers := newWorkers(s, 3, 30*time.Millisecond)
	s.put("config", "main", configuration(1, []dict{plainRoute("r-booking", "/puxa403/", "unsafe")}))
	gateways := newGateways(2, s)
	startAll(gateways)
	c := newConsumers()
	for i := range 6 {
		c.add(gateways[i%2].caller, 100*time.Millisecond, 2500*time.Millisecond, booking(600))
	}
	time.Sleep(3 * time.Second)
	if trouble {
		grey := workers[0]
		record("%s fails %.2f of its requests after it has run them", grey.id, failShare)
		n := 0
		grey.mu.Lock()
		grey.handle = func(w http.ResponseWriter, _ *http.Request) bool {
			grey.mu.Lock()
			n++
			fails := n%20 < int(20*failShare)
			grey.mu.Unlock()
			if fails {
				w.Header().Set("X-Response-Signature", "3e1b."+grey.id)
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			return fails
		}
		grey.mu.Unlock()
	}
	time.Sleep(troubleTime)
	workers[0].mu.Lock()
	workers[0].handle = nil
	workers[0].mu.Unlock()
	time.Sleep(2 * time.Second)
	attempts := c.stop()
	recordAll(attempts, workers)
	runs := allRuns(workers)
	broken := 0
	for _, a := range attempts {
		if (a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421) && len(runs[a.id]) > 0 {
			broken++
			record("%s ran %d times, and its consumer got %d (signed: %v)", a.id, len(runs[a.id]), a.status, a.signed)
		}
	}
	record("%d requests sent: %v", len(attempts), summary(attempts))
	record("requests that ran and were answered with a promise that they had not: %d", broken)
	if broken > 0 {
		record("REFUSED is broken")
		finish(1)
	}
	finish(0)
}
