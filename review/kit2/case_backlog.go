package main

import (
	"fmt"
	"time"
)

func init() { cases["configuration-backlog"] = configurationBacklog }

// configurationBacklog has the store turn both gateways away while the operator takes a key away and then sends
// configurations in quick succession.
func configurationBacklog(trouble bool) {
	const (
		firstRoutes, bigConfigs, bigConfigRoutes = 110, 2, 433
		storms, stormChanges, stormGap           = 2, 25, 80 * time.Millisecond
		turnedAway                               = 9 * time.Second
		contactTime, applyTime                   = 3 * time.Second, 2 * time.Second
		revokedKey                               = "anfqasnmgkcuyj8pjbvk"
	)
	s := newStore(host(2))
	workers := newWorkers(s, 3, 30*time.Millisecond)
	routes := []dict{plainRoute("r-booking", "/puxa403/", "unsafe")}
	for i := range firstRoutes {
		routes = append(routes, plainRoute(fmt.Sprintf("r-%07d", i), fmt.Sprintf("/idle%06d/", i), "unsafe"))
	}
	version := 0
	keys := []string{apiKey, revokedKey}
	change := func() time.Time {
		version++
		routes[1]["timeout_ms"] = 1200 + version%2*100
		c := configuration(version, routes)
		c["tenants"] = []dict{{"name": "hule930", "api_keys": keys, "priority": 1}}
		s.put("config", "main", c)
		return time.Now()
	}
	change()
	gateways := newGateways(2, s)
	startAll(gateways)
	for i := range bigConfigs {
		for k := range bigConfigRoutes {
			n := firstRoutes + i*bigConfigRoutes + k
			routes = append(routes, plainRoute(fmt.Sprintf("r-%07d", n), fmt.Sprintf("/idle%06d/", n), "unsafe"))
		}
		change()
		time.Sleep(2 * time.Second)
	}
	record("the configuration has %d routes and %d bytes", len(routes), s.size("config", "main"))
	c := newConsumers()
	for i := range 4 {
		c.add(gateways[i%2].caller, 100*time.Millisecond, 2500*time.Millisecond, booking(600))
	}
	for _, g := range gateways {
		c.addWithKey(revokedKey, g.caller, 100*time.Millisecond, 2500*time.Millisecond, booking(600))
	}
	time.Sleep(3 * time.Second)
	begun := time.Now()
	if trouble {
		s.turnAway(true)
		record("the store turns the gateways away")
	}
	time.Sleep(time.Second)
	keys = keys[:1]
	revokedAt := change()
	record("version %d takes the key %s away", version, revokedKey)
	for range storms {
		for range stormChanges {
			time.Sleep(stormGap)
			change()
		}
		record("version %d is the last one of a storm of %d changes, one each %s", version, stormChanges, stormGap)
	}
	time.Sleep(time.Until(begun.Add(turnedAway)))
	s.turnAway(false)
	healedAt := time.Now()
	record("the store serves the gateways again, %s after it began to turn them away", healedAt.Sub(begun).Round(time.Millisecond))
	judgedFrom := healedAt.Add(contactTime + applyTime)
	time.Sleep(25 * time.Second)
	attempts := c.stop()
	recordAll(attempts, workers)
	runs := allRuns(workers)
	broken, judged := 0, 0
	var last time.Time
	for _, a := range attempts {
		if a.key != revokedKey || a.sentAt.Before(revokedAt.Add(applyTime)) {
			continue
		}
		if len(runs[a.id]) > 0 {
			last = a.sentAt
		}
		if a.sentAt.Before(judgedFrom) {
			continue
		}
		judged++
		if len(runs[a.id]) > 0 {
			broken++
		}
	}
	record("%d requests sent: %v", len(attempts), summary(attempts))
	if !last.IsZero() {
		record("the last request that ran with the key was sent %s after the store had accepted the version without it, and %s after it served the gateways again",
			last.Sub(revokedAt).Round(time.Millisecond), last.Sub(healedAt).Round(time.Millisecond))
	}
	record("of %d requests with the key that were sent later than contact_ms + config_apply_ms after that, %d ran", judged, broken)
	for _, g := range gateways {
		lines := g.logLines("store-lost")
		record("%s wrote %d lines about the store, the last: %.300s", g.name, len(lines), append(lines, "")[max(0, len(lines)-1)])
	}
	if broken > 0 {
		record("CONFIG is broken")
		finish(1)
	}
	finish(0)
}
