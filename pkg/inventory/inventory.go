// Package inventory holds the list of upstreams as a process knows it.
//
// The platform's list lags and has gaps: while the platform's store is away, entries of
// live upstreams expire. An upstream that vanishes from the list soon after such an
// outage is therefore kept for a while as doubtful, and chosen only when no other is there.
//
// The package has no I/O, no clock and no goroutines.
package inventory

import (
	"time"
)

// Upstream is one life of a back end.
type Upstream struct {
	// ID names the upstream; it appears in nothing but the list.
	ID      string `json:"ID"`
	Service string `json:"Service"`
	// Address is host:port.
	Address  string `json:"Address"`
	Zone     string `json:"Zone"`
	Capacity int    `json:"Capacity"`
	// Leaving upstreams take no new work.
	Leaving bool `json:"Leaving"`
	// WarmupLeft is how long the upstream stays cold, counted from its entry's arrival.
	WarmupLeft time.Duration `json:"WarmupLeft"`
	// Born is the start of this life, on the upstream's clock; zero where it is not said.
	Born time.Time `json:"Born"`
}

// Entry is an upstream with what the process knows of its entry.
type Entry struct {
	Upstream
	// ColdUntil is when the upstream counts as warm.
	ColdUntil time.Time
	// Doubtful is set for an upstream that left the list just after an outage.
	Doubtful bool
	// dropAt is when a doubtful upstream is dropped.
	dropAt time.Time
}

// ReturnTime is how long a live upstream may take to be back in the list after an
// outage: the platform states two seconds.
const ReturnTime = 2 * time.Second

// Inventory is the list. It is not safe for concurrent use.
type Inventory struct {
	entries map[string]*Entry
	// newest is the upstream with the latest start at each address.
	newest map[string]string
	// settled is when upstreams that expired in an outage are back.
	settled time.Time
	// outage is set while the store does not answer.
	outage bool
}

// New returns an empty list.
func New() *Inventory {
	return &Inventory{entries: map[string]*Entry{}, newest: map[string]string{}}
}

// Outage notes that the store does not answer.
func (v *Inventory) Outage() { v.outage = true }

// Recovered notes that the store answers again.
func (v *Inventory) Recovered(now time.Time) {
	if v.outage {
		v.settled = now.Add(ReturnTime)
	}
	v.outage = false
}

// Put takes in an entry. Warmup is how long upstreams of its service stay cold after a
// start. It reports whether the entry is new or another life of the upstream.
func (v *Inventory) Put(u Upstream, warmup time.Duration, now time.Time) bool {
	old := v.entries[u.ID]
	e := &Entry{Upstream: u}
	if old != nil && old.Address != u.Address {
		v.leaveAddress(old)
	}
	v.entries[u.ID] = e
	v.takeAddress(e)
	fresh := old == nil || !old.Born.Equal(u.Born) || old.Address != u.Address
	if u.WarmupLeft > 0 {
		e.ColdUntil = now.Add(u.WarmupLeft)
	}
	if !fresh && old.ColdUntil.After(e.ColdUntil) {
		e.ColdUntil = old.ColdUntil
	}
	return fresh
}

// Remove takes an upstream off the list, at once or, just after an outage, in a while.
func (v *Inventory) Remove(id string, now time.Time) {
	e := v.entries[id]
	if e == nil {
		return
	}
	if e.Leaving || !now.Before(v.settled) {
		v.drop(e)
		return
	}
	if !e.Doubtful {
		e.Doubtful = true
		e.dropAt = v.settled
	}
}

// Replace takes in a complete list: upstreams that are not in it are removed.
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

// Expire drops the doubtful upstreams whose time is up.
func (v *Inventory) Expire(now time.Time) {
	for _, e := range v.entries {
		if e.Doubtful && !now.Before(e.dropAt) {
			v.drop(e)
		}
	}
}

func (v *Inventory) drop(e *Entry) {
	delete(v.entries, e.ID)
	v.leaveAddress(e)
}

// takeAddress notes the start of an upstream at its address.
func (v *Inventory) takeAddress(e *Entry) {
	n := v.entries[v.newest[e.Address]]
	if n == nil || n.Address != e.Address || e.Born.After(n.Born) {
		v.newest[e.Address] = e.ID
	}
}

func (v *Inventory) leaveAddress(e *Entry) {
	if v.newest[e.Address] == e.ID {
		delete(v.newest, e.Address)
	}
}

// Outlived reports whether another upstream started later at the address of this one, whose
// entry is then that of a former life. Its requests would be refused.
func (v *Inventory) Outlived(id string) bool {
	e := v.entries[id]
	if e == nil || e.Born.IsZero() {
		return false
	}
	n := v.entries[v.newest[e.Address]]
	return n != nil && n.Born.After(e.Born)
}

// Entries returns the entries by id. The caller must not change them.
func (v *Inventory) Entries() map[string]*Entry { return v.entries }

// All returns the upstreams, for handing them to another process.
func (v *Inventory) All() []Upstream {
	out := make([]Upstream, 0, len(v.entries))
	for _, e := range v.entries {
		out = append(out, e.Upstream)
	}
	return out
}
