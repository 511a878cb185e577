package main

import (
	"fmt"
	"slices"
	"time"
)

func init() { cases["configuration-memory"] = configurationMemory }

// configurationMemory sends configurations in quick succession, as large as the platform allows, while consumers book.
func configurationMemory(trouble bool) {
	const (
		// bigConfigs times bigConfigRoutes routes are added to the first ones.
		bigConfigs, bigConfigRoutes, firstRoutes = 8, 433, 110
		// Each storm has stormChanges, one each stormGap; between two of them is a pause.
		storms, stormChanges, stormGap, stormPause = 9, 25, 80 * time.Millisecond, 4 * time.Second
		// besideTime is config_apply_ms + 1 s: so long after its confirmation a configuration counts as planned work.
		besideTime = 3 * time.Second
	)
	s := newStore(host(2))
	workers := newWorkers(s, 3, 180*time.Millisecond)
	routes := []dict{plainRoute("r-booking", "/puxa403/", "unsafe")}
	for i := range firstRoutes {
		routes = append(routes, plainRoute(fmt.Sprintf("r-%07d", i), fmt.Sprintf("/idle%06d/", i), "unsafe"))
	}
	s.put("config", "main", configuration(1, routes))
	gateways := newGateways(2, s)
	startAll(gateways)
	stopWatch := watchMemory(gateways)
	c := newConsumers()
	for i := range 16 {
		// The pauses differ, so that the consumers do not keep in step.
		c.add(gateways[i%2].caller, time.Duration(40+7*i)*time.Millisecond, 2500*time.Millisecond, booking(600))
	}
	time.Sleep(5 * time.Second)
	version := 1
	var changedAt []time.Time
	change := func() {
		version++
		changedAt = append(changedAt, time.Now())
		routes[1]["timeout_ms"] = 1200 + version%2*100
		s.put("config", "main", configuration(version, routes))
	}
	for i := range bigConfigs {
		for k := range bigConfigRoutes {
			n := firstRoutes + i*bigConfigRoutes + k
			routes = append(routes, plainRoute(fmt.Sprintf("r-%07d", n), fmt.Sprintf("/idle%06d/", n), "unsafe"))
		}
		change()
		time.Sleep(time.Second)
	}
	record("the configuration has %d routes and %d bytes, of value_bytes = 1048576", len(routes), s.size("config", "main"))
	if trouble {
		for i := range storms {
			record("storm %d: %d changes, one each %s", i+1, stormChanges, stormGap)
			for range stormChanges {
				change()
				time.Sleep(stormGap)
			}
			time.Sleep(stormPause)
		}
	} else {
		time.Sleep(storms * (stormChanges*stormGap + stormPause))
	}
	attempts := c.stop()
	kills, peak := stopWatch()
	recordAll(attempts, workers)
	runs := allRuns(workers)
	isBeside := func(at time.Time) bool {
		return slices.ContainsFunc(changedAt, func(c time.Time) bool { return !at.Before(c) && at.Sub(c) <= besideTime })
	}
	lostBeside, lostElse := 0, 0
	for _, a := range attempts {
		if a.status != 0 || len(runs[a.id]) == 0 || a.problem == "time limit" || a.endedAt.Sub(a.sentAt) > 840*time.Millisecond {
			continue
		}
		record("%s was sent to %s, ran at a worker, and its channel ended after %s: %s", a.id, a.gateway, a.endedAt.Sub(a.sentAt).Round(time.Millisecond), a.problem)
		if isBeside(a.endedAt) {
			lostBeside++
		} else {
			lostElse++
		}
	}
	record("%d requests sent: %v", len(attempts), summary(attempts))
	record("%d versions; highest memory %.0f MB; kills %v", version, peak, kills)
	record("requests that were passed on and cut: %d beside the configurations, %d else", lostBeside, lostElse)
	if lostBeside > 0 && lostElse == 0 && len(kills) > 0 {
		record("LOST is broken")
		finish(1)
	}
	finish(0)
}
