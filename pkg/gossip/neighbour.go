package gossip

import (
	"maps"
	"slices"
	"time"
)

// resyncAfter is the number of heartbeats in a row with another digest after which a neighbour is sent the whole table:
// changes may still be on their way for a few.
const resyncAfter = 3

// neighbour is what is known of the table of a gateway with which this one exchanges heartbeats.
type neighbour struct {
	// pending are the names of the records that the neighbour is not known to have.
	pending map[string]bool
	// compared is set once the digests were equal or the whole table became pending, and mismatches counts the
	// heartbeats in a row with another digest since then.
	compared   bool
	mismatches int
}

// dropNeighbours forgets what is known of the tables of gateways that are no longer among the neighbours, unless
// they were heard from lately.
func (t *Table) dropNeighbours(names []string, now time.Time) {
	for name := range t.neighbours {
		if !slices.Contains(names, name) && !t.HeardLately(name, now) {
			delete(t.neighbours, name)
		}
	}
	for _, name := range names {
		if t.neighbours[name] == nil {
			t.neighbour(name)
			// The silence of a new successor counts from now.
			t.members[name].heardAt = now
		}
	}
}

// neighbour returns what is known of the table of a gateway. A new neighbour is sent the record of this
// gateway only: it most often has all others.
func (t *Table) neighbour(name string) *neighbour {
	n := t.neighbours[name]
	if n == nil {
		n = &neighbour{pending: map[string]bool{t.self.Name: true}}
		t.neighbours[name] = n
	}
	return n
}

func (t *Table) setPending(neighbour, name string, pending bool) {
	n := t.neighbour(neighbour)
	if pending {
		n.pending[name] = true
	} else {
		delete(n.pending, name)
	}
}

// RecordsFor returns the records that a neighbour is not known to have.
func (t *Table) RecordsFor(name string) []Record {
	n := t.neighbours[name]
	if n == nil {
		return []Record{t.self}
	}
	out := make([]Record, 0, len(n.pending))
	for _, pending := range slices.Sorted(maps.Keys(n.pending)) {
		if r, ok := t.record(pending); ok {
			out = append(out, r)
		}
	}
	return out
}

// record returns the record of a gateway, this one included.
func (t *Table) record(name string) (Record, bool) {
	if name == t.self.Name {
		return t.self, true
	}
	m := t.members[name]
	if m == nil {
		return Record{}, false
	}
	return m.Record, true
}

// HasNewsFor reports whether there are records that a neighbour is not known to have.
func (t *Table) HasNewsFor(name string) bool {
	n := t.neighbours[name]
	return n == nil || len(n.pending) > 0
}

// Delivered records that a neighbour has received records.
func (t *Table) Delivered(name string, records []Record) {
	for _, r := range records {
		if current, ok := t.record(r.Name); ok && !current.replaces(r) {
			t.setPending(name, r.Name, false)
		}
	}
}

// Resend makes the whole table pending for a neighbour.
func (t *Table) Resend(name string) {
	n := t.neighbour(name)
	n.compared, n.mismatches = true, 0
	n.pending[t.self.Name] = true
	for other, m := range t.members {
		if m.Status != Down {
			n.pending[other] = true
		}
	}
}

// CompareDigest compares the digest of a neighbour with the own one, after an exchange. If the digests of a new
// neighbour differ, or those of another one keep differing, it is sent the whole table.
func (t *Table) CompareDigest(name string, digest uint64) {
	n := t.neighbour(name)
	if digest == t.Digest() {
		n.compared, n.mismatches = true, 0
		clear(n.pending)
		return
	}
	if n.mismatches++; !n.compared || n.mismatches >= resyncAfter {
		t.Resend(name)
	}
}
