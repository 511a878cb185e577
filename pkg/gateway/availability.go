package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/availability"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/inventory"
)

// check decides whether an upstream may get a request now. The caller holds f.mu.
func (f *Fleet) check(e *inventory.Entry, now time.Time) availability.Decision {
	s, u := f.observation(e.ID), incarnationOf(e)
	c := availability.Conditions{
		Leaving: e.Leaving, ZoneOut: f.isZoneOut(e.Zone, now),
		PauseWait: f.pauses.Wait(u, now), ReturnWait: f.pauses.ReturnWait(u, now), LimitWait: f.limits.denialTime(u, now),
		Superseded: f.upstreams.IsSuperseded(e.ID), Unconfirmed: e.Unconfirmed, Unreachable: now.Before(s.suspendedUntil),
		Stalled: now.Before(s.stalledUntil), Silent: f.isSilent(e.Service, s, now) || now.Before(s.toldSilentUntil),
	}
	if f.isCold(e, now) {
		rate := f.coldStartRate(e.Service, e.ID)
		c.HasNoStarts = rate == 0
		if rate > 0 && !s.coldStarts.Ready(rate, now) {
			c.StartWait = max(s.coldStarts.WaitAt(rate, now), time.Millisecond)
		}
	}
	return availability.Check(c)
}

// isUsable reports whether work may go to an upstream at all: it does not leave and its zone is not out. The caller
// holds f.mu.
func (f *Fleet) isUsable(e *inventory.Entry, now time.Time) bool {
	d := availability.Check(availability.Conditions{Leaving: e.Leaving, ZoneOut: f.isZoneOut(e.Zone, now)})
	return !d.Excluded
}

// Outlook summarises which upstreams of a service may get a request now or later. Of those with an ID in tried only
// the pauses count.
func (f *Fleet) Outlook(service string, tried []string, now time.Time) availability.Outlook {
	f.mu.Lock()
	defer f.mu.Unlock()
	var o availability.Outlook
	for id, e := range f.upstreams.Entries() {
		if e.Service != service {
			continue
		}
		d := f.check(e, now)
		wasTried := slices.Contains(tried, id) || f.upstreams.IsSuperseded(id)
		if !wasTried || d.Reason == availability.Paused {
			o.Add(d)
		}
	}
	return o
}

// MaySend reports whether a request may still go to an upstream that was chosen for it: it may have begun to leave or asked
// for a pause meanwhile. Its starts and its limit have been used for the request when it was chosen.
func (f *Fleet) MaySend(t Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	e := f.upstreams.Entries()[t.ID]
	if e == nil || incarnationOf(e) != t.Incarnation {
		return false
	}
	return f.isUsable(e, now) && f.pauses.Wait(t.Incarnation, now) == 0
}

// RecordPause records that an upstream asks for a pause. It reports whether it was in none.
func (f *Fleet) RecordPause(t Target, length time.Duration, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pauses.Record(t.Incarnation, length, f.gatewayCount, rand.Float64(), now)
}

// trial is an attempt that may be one of the few requests that an upstream gets after a pause.
type trial struct {
	fleet  *Fleet
	target Target
	ended  bool
}

// end records once whether the upstream has served the request.
func (t *trial) end(served bool) {
	if !t.ended {
		t.ended = true
		t.fleet.EndTrial(t.target, served, time.Now())
	}
}

// EndTrial records whether an upstream that returns from a pause has served a request.
func (f *Fleet) EndTrial(t Target, served bool, now time.Time) {
	if !t.isTrial {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pauses.End(t.Incarnation, served, now)
}

// IsInService reports whether an upstream is listed and not leaving.
func (f *Fleet) IsInService(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.upstreams.Entries()[id]
	return e != nil && !e.Leaving
}

// UsableCapacity returns the number of upstreams of a service that accept work, and the total
// number of their slots.
func (f *Fleet) UsableCapacity(service string) (upstreams, slots int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, e := range f.upstreams.Entries() {
		if e.Service == service && f.isUsable(e, now) {
			upstreams++
			slots += e.Capacity
		}
	}
	return upstreams, slots
}

// isAnyUsable reports whether work may go to some of the upstreams at addresses, and always for none.
func (f *Fleet) isAnyUsable(loads map[string]int, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := false
	for _, e := range f.upstreams.Entries() {
		if _, ok := loads[e.Address]; ok {
			listed = true
			if f.isUsable(e, now) {
				return true
			}
		}
	}
	return !listed
}

// connectionLimit returns this gateway's share of the connections to one upstream; 0 means no
// limit.
func (f *Fleet) connectionLimit(service string) int {
	s := f.services[service]
	if s == nil || s.MaxConnections <= 0 {
		return 0
	}
	return max(2, s.MaxConnections/f.gatewayCount)
}
