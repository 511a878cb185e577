package main

import (
	"net/http"
	"time"
)

func init() { cases["path"] = paths }

// paths sends requests whose path begins with two slashes.
func paths(trouble bool) {
	s := newStore(host(2))
	workers := newWorkers(s, 3, 5*time.Millisecond)
	s.put("config", "main", configuration(1, []dict{plainRoute("r-all", "/", "unsafe"), plainRoute("r-booking", "/puxa403/", "unsafe")}))
	gateways := newGateways(2, s)
	startAll(gateways)
	targets := []string{"/puxa403/2f", "/other/2f?x=1"}
	if trouble {
		targets = append(targets, "//archive/2026/load?x=1")
	}
	broken := 0
	for _, target := range targets {
		ch, err := dial(gateways[0].caller)
		if err != nil {
			cannotRun("%v", err)
		}
		a := ch.send(http.MethodPost, target, []byte("body"), 2*time.Second)
		for _, r := range allRuns(workers)[a.id] {
			record("%s was sent with %q and reached a worker with %q; its consumer got %d", a.id, target, r.target, a.status)
			if r.target != target {
				broken++
			}
		}
		if len(allRuns(workers)[a.id]) == 0 {
			record("%s was sent with %q and reached no worker; its consumer got %d %s", a.id, target, a.status, a.problem)
		}
	}
	if broken > 0 {
		record("UNASKED is broken")
		finish(1)
	}
	finish(0)
}
