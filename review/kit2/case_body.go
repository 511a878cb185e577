package main

import (
	"time"
)

func init() { cases["body-memory"] = bodyMemory }

// bodyMemory has many consumers come at once, with bodies as large as the configuration allows.
func bodyMemory(trouble bool) {
	const (
		// usual is the number of consumers of each gateway, and burst times as many come for burstTime.
		usual     = 24
		burst     = 1.7
		extra     = 16 // 0.7 times usual, rounded down
		burstTime = 3 * time.Second
	)
	s := newStore(host(2))
	workers := newWorkers(s, 6, 60*time.Millisecond)
	s.put("config", "main", configuration(1, []dict{plainRoute("r-booking", "/puxa403/", "unsafe")}))
	gateways := newGateways(2, s)
	startAll(gateways)
	stopWatch := watchMemory(gateways)
	c := newConsumers()
	add := func(count int, c *consumers) {
		for i := range 2 * count {
			c.add(gateways[i%2].caller, 300*time.Millisecond, 2500*time.Millisecond, booking(maxBodyBytes))
		}
	}
	add(usual, c)
	time.Sleep(8 * time.Second)
	more := newConsumers()
	if trouble {
		record("%.1f times as many consumers come for %s", burst, burstTime)
		add(extra, more)
	}
	time.Sleep(burstTime)
	attempts := more.stop()
	time.Sleep(5 * time.Second)
	attempts = append(attempts, c.stop()...)
	kills, peak := stopWatch()
	recordAll(attempts, workers)
	runs := allRuns(workers)
	lost := 0
	for _, a := range attempts {
		if a.status == 0 && a.kept && len(runs[a.id]) > 0 && a.problem != "time limit" {
			lost++
			record("%s was sent on a kept channel to %s, ran at a worker, and its channel ended after %s: %s", a.id, a.gateway, a.endedAt.Sub(a.sentAt).Round(time.Millisecond), a.problem)
		}
	}
	record("%d requests sent: %v", len(attempts), summary(attempts))
	record("highest memory %.0f MB; kills %v; requests of kept channels that were passed on and cut: %d", peak, kills, lost)
	if lost > 3 {
		record("LOST is broken")
		finish(1)
	}
	finish(0)
}
