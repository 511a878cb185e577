package main

import (
	"sync"
	"time"
)

func init() { cases["late-entry"] = lateEntry }

// lateEntry has a worker that leaves. One of its earlier entries got no answer of the store, which carries it out late.
func lateEntry(trouble bool) {
	const (
		heartbeat = 1200 * time.Millisecond
		// lateTime is how long the store takes for the entry whose answer is lost: 1 to 6 s.
		lateTime = 5700 * time.Millisecond
		// leaveAfter is the time from the lost answer to the report of the worker that it leaves: the store has been
		// without disturbance for more than contact_ms then.
		leaveAfter = 3200 * time.Millisecond
		drainTime  = 2 * time.Second
		lingerTime = 1500 * time.Millisecond
	)
	s := newStore(host(2))
	workers := newWorkers(s, 3, 150*time.Millisecond)
	s.put("config", "main", configuration(1, []dict{plainRoute("r-booking", "/puxa403/", "unsafe")}))
	gateways := newGateways(2, s)
	startAll(gateways)
	c := newConsumers()
	for i := range 8 {
		c.add(gateways[i%2].caller, 80*time.Millisecond, 2500*time.Millisecond, booking(600))
	}
	leaving := workers[0]
	// The worker writes its entry when that changes, and each heartbeat after it.
	var mu sync.Mutex
	state, sequence := "ready", 1
	write := func(state string) {
		sequence++
		s.put("servers", leaving.id, leaving.entry(state, sequence))
		record("%s writes %s, sequence %d", leaving.id, state, sequence)
	}
	beat := func(from time.Time, stopped chan struct{}) {
		for at := from; ; at = at.Add(heartbeat) {
			select {
			case <-stopped:
				return
			case <-time.After(time.Until(at)):
			}
			mu.Lock()
			write(state)
			mu.Unlock()
		}
	}
	time.Sleep(2 * time.Second)
	mu.Lock()
	sequence++
	lost := leaving.entry("ready", sequence)
	record("%s writes ready, sequence %d", leaving.id, sequence)
	mu.Unlock()
	lostAt := time.Now()
	if trouble {
		record("the store gives no answer to that")
		time.AfterFunc(lateTime, func() {
			s.put("servers", leaving.id, lost)
			record("the store carries out the call that got no answer, %s late", time.Since(lostAt).Round(time.Millisecond))
		})
	} else {
		s.put("servers", leaving.id, lost)
	}
	leaves, ended := make(chan struct{}), make(chan struct{})
	go beat(lostAt.Add(heartbeat), leaves)
	time.Sleep(time.Until(lostAt.Add(leaveAfter)))
	close(leaves)
	mu.Lock()
	state = "draining"
	write(state)
	acknowledgedAt := time.Now()
	mu.Unlock()
	record("the store has accepted that %s leaves", leaving.id)
	go beat(acknowledgedAt.Add(heartbeat), ended)
	time.Sleep(time.Until(acknowledgedAt.Add(drainTime + lingerTime)))
	close(ended)
	leaving.exit()
	s.remove("servers", leaving.id)
	record("%s has ended", leaving.id)
	time.Sleep(2 * time.Second)
	attempts := c.stop()
	recordAll(attempts, workers)
	byID := map[string]*attempt{}
	for _, a := range attempts {
		byID[a.id] = a
	}
	late, lost2 := 0, 0
	for _, r := range leaving.runs {
		after := r.at.Sub(acknowledgedAt)
		if a := byID[r.id]; a != nil && after > drainTime {
			late++
			record("%s reaches %s %s after the store accepted that it leaves; its consumer gets %d %s", r.id, leaving.id, after.Round(time.Millisecond), a.status, a.problem)
			if a.status != 200 {
				lost2++
			}
		}
	}
	record("%d requests sent: %v", len(attempts), summary(attempts))
	record("requests that reached the worker later than drain_ms = 2000 after that: %d, of which lost with it: %d", late, lost2)
	if late > 0 {
		record("DRAIN is broken")
		finish(1)
	}
	finish(0)
}
