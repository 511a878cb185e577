// Package inventory holds the list of upstreams as last received by a process.
//
// The platform's list lags and has gaps: while the platform's store is unavailable, list
// entries of live upstreams expire. An upstream that disappears from the list soon after
// such an outage is therefore kept for a while as unconfirmed, and chosen only when no
// other upstream is available.
//
// The store may also be restored from a copy some seconds old. Its list then shows upstreams that
// have left as if they had not; they are kept as leaving until those that are alive have written
// their entries again.
//
// The package has no I/O, no clock and no goroutines.
package inventory

import (
	"time"
)

// Upstream is one incarnation of an upstream as it appears in the list.
type Upstream struct {
	// ID identifies the upstream. It is used in the list only.
	ID      string `json:"ID"`
	Service string `json:"Service"`
	// Address is host:port.
	Address  string `json:"Address"`
	Zone     string `json:"Zone"`
	Capacity int    `json:"Capacity"`
	// Leaving is set when the upstream accepts no new work.
	Leaving bool `json:"Leaving"`
	// WarmupLeft is how long the upstream stays cold, counted from the time at which the list
	// entry was received.
	WarmupLeft time.Duration `json:"WarmupLeft"`
	// StartedAt is the start time of this incarnation on the upstream's clock; zero if unknown.
	StartedAt time.Time `json:"Born"`
}

// Entry is a listed upstream with the local state of its list entry.
type Entry struct {
	Upstream
	// ColdUntil is when the upstream counts as warm.
	ColdUntil time.Time
	// Unconfirmed is set for an upstream that disappeared from the list just after an outage.
	Unconfirmed bool
	// removeAt is when an unconfirmed upstream is removed.
	removeAt time.Time
	// leavingUntil is set for an upstream that counts as leaving only because it had left before the
	// store was rewound.
	leavingUntil time.Time
}

// departure is an upstream that was leaving or was removed.
type departure struct {
	startedAt time.Time
	at        time.Time
}

// RelistTime is how long a live upstream may take to reappear in the list after an outage.
// The platform documents two seconds.
const RelistTime = 2 * time.Second

const (
	// RewriteTime is the time after a rewind of the store in which operators and upstreams write
	// again what was lost: three heartbeats of an upstream.
	RewriteTime = 4 * time.Second
	// departureTTL is how long a departure is remembered, longer than a copy of the store is old.
	departureTTL = time.Minute
)

// Inventory is the list of upstreams. It is not safe for concurrent use.
type Inventory struct {
	entries map[string]*Entry
	// newestByAddress maps each address to the ID of the upstream with the latest start time.
	newestByAddress map[string]string
	// relistDeadline is the time by which live upstreams that expired in the last outage are
	// listed again.
	relistDeadline time.Time
	// inOutage is set while the store does not respond.
	inOutage bool
	// departures has the upstreams that left recently, by ID, and rewriteDeadline is the time until
	// which a list may show them as if they had not.
	departures      map[string]departure
	rewriteDeadline time.Time
}

// New returns an empty list.
func New() *Inventory {
	return &Inventory{entries: map[string]*Entry{}, newestByAddress: map[string]string{}, departures: map[string]departure{}}
}

// MarkOutage records that the store does not respond.
func (v *Inventory) MarkOutage() { v.inOutage = true }

// MarkRecovered records that the store responds again.
func (v *Inventory) MarkRecovered(now time.Time) {
	if v.inOutage {
		v.relistDeadline = now.Add(RelistTime)
	}
	v.inOutage = false
}

// MarkRewound records that the store has lost recent changes.
func (v *Inventory) MarkRewound(now time.Time) {
	v.relistDeadline = now.Add(RelistTime)
	v.rewriteDeadline = now.Add(RewriteTime)
}

// Put adds or updates an upstream and reports whether it is new or another incarnation of
// a listed one. Warmup is how long upstreams of its service stay cold after a start.
func (v *Inventory) Put(u Upstream, warmup time.Duration, now time.Time) bool {
	previous := v.entries[u.ID]
	e := &Entry{Upstream: u}
	v.keepDeparture(e, now)
	if previous != nil && previous.Address != u.Address {
		v.clearNewest(previous)
	}
	v.entries[u.ID] = e
	v.updateNewest(e)
	isNew := previous == nil || !previous.StartedAt.Equal(u.StartedAt) || previous.Address != u.Address
	if u.WarmupLeft > 0 {
		e.ColdUntil = now.Add(u.WarmupLeft)
	}
	if !isNew && previous.ColdUntil.After(e.ColdUntil) {
		e.ColdUntil = previous.ColdUntil
	}
	return isNew
}

// keepDeparture remembers an upstream that leaves, and makes one that had left before the store was
// rewound count as leaving.
func (v *Inventory) keepDeparture(e *Entry, now time.Time) {
	d, departed := v.departures[e.ID]
	switch {
	case e.Leaving:
		v.departures[e.ID] = departure{startedAt: e.StartedAt, at: now}
	case departed && now.Before(v.rewriteDeadline) && d.startedAt.Equal(e.StartedAt):
		e.Leaving, e.leavingUntil = true, v.rewriteDeadline
	}
}

// Remove removes an upstream. Just after an outage it keeps the upstream as unconfirmed
// for the rest of RelistTime, unless the upstream is leaving.
func (v *Inventory) Remove(id string, now time.Time) {
	e := v.entries[id]
	if e == nil {
		return
	}
	if e.Leaving || !now.Before(v.relistDeadline) {
		v.departures[id] = departure{startedAt: e.StartedAt, at: now}
		v.drop(e)
		return
	}
	if !e.Unconfirmed {
		e.Unconfirmed = true
		e.removeAt = v.relistDeadline
	}
}

// Replace applies a complete list: it puts each upstream of the list and removes all others
// as Remove does. Warmup returns the warm-up time of a service.
func (v *Inventory) Replace(list []Upstream, warmup func(service string) time.Duration, now time.Time) {
	listed := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
		v.Put(u, warmup(u.Service), now)
	}
	for id := range v.entries {
		if !listed[id] {
			v.Remove(id, now)
		}
	}
}

// RemoveUnconfirmed removes the unconfirmed upstreams that have not reappeared within RelistTime. It
// ends the departures that the list has not confirmed within RewriteTime after a rewind, and
// forgets old ones.
func (v *Inventory) RemoveUnconfirmed(now time.Time) {
	for _, e := range v.entries {
		if e.Unconfirmed && !now.Before(e.removeAt) {
			v.drop(e)
		}
		if !e.leavingUntil.IsZero() && !now.Before(e.leavingUntil) {
			e.Leaving, e.leavingUntil = false, time.Time{}
		}
	}
	for id, d := range v.departures {
		if now.Sub(d.at) > departureTTL {
			delete(v.departures, id)
		}
	}
}

// drop removes e at once.
func (v *Inventory) drop(e *Entry) {
	delete(v.entries, e.ID)
	v.clearNewest(e)
}

// updateNewest makes e the newest upstream at its address if it started last.
func (v *Inventory) updateNewest(e *Entry) {
	newest := v.entries[v.newestByAddress[e.Address]]
	if newest == nil || newest.Address != e.Address || e.StartedAt.After(newest.StartedAt) {
		v.newestByAddress[e.Address] = e.ID
	}
}

// clearNewest removes e from newestByAddress if it is the newest upstream at its address.
func (v *Inventory) clearNewest(e *Entry) {
	if v.newestByAddress[e.Address] == e.ID {
		delete(v.newestByAddress, e.Address)
	}
}

// IsSuperseded reports whether another upstream started later at the address of this one. The
// list entry is then that of an earlier incarnation, and requests addressed to it would be
// rejected.
func (v *Inventory) IsSuperseded(id string) bool {
	e := v.entries[id]
	if e == nil || e.StartedAt.IsZero() {
		return false
	}
	newest := v.entries[v.newestByAddress[e.Address]]
	return newest != nil && newest.StartedAt.After(e.StartedAt)
}

// Entries returns the entries by upstream ID. The caller must not change them.
func (v *Inventory) Entries() map[string]*Entry { return v.entries }

// Upstreams returns a copy of all upstreams, in no particular order.
func (v *Inventory) Upstreams() []Upstream {
	out := make([]Upstream, 0, len(v.entries))
	for _, e := range v.entries {
		out = append(out, e.Upstream)
	}
	return out
}
