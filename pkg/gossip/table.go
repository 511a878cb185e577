package gossip

import (
	"maps"
	"slices"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/roster"
)

const (
	// SilentAfter is the time without a heartbeat after which a gateway is suspected to be down: two
	// heartbeats in a row have failed.
	SilentAfter = 1300 * time.Millisecond
	// RecentTime is how long a gateway that is down counts as one that may still serve callers: it may only be
	// cut off.
	RecentTime = 10 * time.Second
	// ForgetAfter is how long the record of a gateway that is down is kept.
	ForgetAfter = 10 * time.Minute
	// maxMembers is the number of other gateways of which records are kept, and maxRecordBytes the length of the texts of
	// a record: whoever reaches the address for control can send any number of them.
	maxMembers     = 4096
	maxRecordBytes = 1024
	// pauseAfter is the time between two ticks from which this process is taken to have been frozen, so
	// that the silence of the others is its own.
	pauseAfter = time.Second
)

// member is another gateway.
type member struct {
	Record
	// heardAt is when the member was last heard from directly, or when this gateway began to send it
	// heartbeats.
	heardAt time.Time
	// downSince is when the member was marked as down, and leftCleanly is set if it had told that it stops.
	downSince   time.Time
	leftCleanly bool
}

// Table holds the records of all gateways. It is not safe for concurrent use.
type Table struct {
	self       Record
	members    map[string]*member
	neighbours map[string]*neighbour
	// rings and digest are computed when they are needed after a change.
	rings    *rings
	digest   uint64
	digested bool
	lastTick time.Time
	// recheck counts the ticks, to choose one of the gateways that are down to be tried again.
	recheck int
}

// NewTable returns a table without other gateways. The gateway itself is not ready.
func NewTable(self roster.Entry, now time.Time) *Table {
	return &Table{
		self: Record{Entry: self, Sequence: now.UnixMilli()}, members: map[string]*member{}, neighbours: map[string]*neighbour{},
		lastTick: now,
	}
}

// Self returns the record of the gateway itself.
func (t *Table) Self() Record { return t.self }

// SetReady records whether the gateway itself takes callers. It reports whether that is a change.
func (t *Table) SetReady(ready bool) bool {
	status := Unready
	if ready {
		status = Ready
	}
	if t.self.Status == status {
		return false
	}
	t.self.Status = status
	t.self.Sequence++
	t.changed(t.self.Name, false)
	return true
}

// changed makes the record of a gateway pending for all neighbours. ringsChange is set if gateways have joined
// or left the rings.
func (t *Table) changed(name string, ringsChange bool) {
	for _, n := range t.neighbours {
		n.pending[name] = true
	}
	t.digested = false
	if ringsChange {
		t.rings = nil
	}
}

// Merge adds records that from sent, and returns those that are news. The record of the gateway itself is
// contradicted where it is wrong, which is news too.
func (t *Table) Merge(from string, records []Record, now time.Time) []Record {
	var news []Record
	for _, r := range records {
		if r.Name == t.self.Name {
			if t.contradict(r) {
				news = append(news, t.self)
			}
			continue
		}
		if r.PeerAddress == "" || r.Status < Unready || r.Status > Down || r.size() > maxRecordBytes {
			continue // not from a gateway of this kind
		}
		if t.put(r, now) {
			news = append(news, r)
		}
		if m := t.members[r.Name]; m != nil && from != "" {
			// A sender with an older record is sent the newer one.
			t.setPending(from, r.Name, m.replaces(r))
		}
	}
	return news
}

// contradict raises the own sequence above that of a record of this gateway with another content.
func (t *Table) contradict(r Record) bool {
	isWrong := r.Status != t.self.Status || r.Incarnation != t.self.Incarnation
	if r.Sequence < t.self.Sequence || r.Sequence == t.self.Sequence && !isWrong {
		return false
	}
	t.self.Sequence = r.Sequence + 1
	t.changed(t.self.Name, false)
	return true
}

// put adds or replaces a record. It reports whether the record is news.
func (t *Table) put(r Record, now time.Time) bool {
	m := t.members[r.Name]
	if m == nil {
		if r.Status == Down {
			return false // it is of no use to those that never knew it
		}
		if len(t.members) >= maxMembers {
			return false
		}
		t.members[r.Name] = &member{Record: r, heardAt: now}
		t.changed(r.Name, true)
		return true
	}
	if !r.replaces(m.Record) {
		return false
	}
	wasDown := m.Status == Down
	if r.Status == Down && !wasDown {
		m.downSince, m.leftCleanly = now, m.Status == Unready
	}
	if wasDown && r.Status != Down {
		m.heardAt = now
	}
	m.Record = r
	t.changed(r.Name, wasDown != (r.Status == Down))
	return true
}

// Heard records that a gateway was heard from directly. It reports false if its record is missing or marks it as
// down, so that it must be told.
func (t *Table) Heard(name string, now time.Time) bool {
	m := t.members[name]
	if m == nil {
		return false
	}
	m.heardAt = now
	return m.Status != Down
}

// HeardLately reports whether a gateway was heard from directly within SilentAfter.
func (t *Table) HeardLately(name string, now time.Time) bool {
	m := t.members[name]
	return m != nil && now.Sub(m.heardAt) < SilentAfter
}

// Tick begins a round of heartbeats. It returns the gateways that get one: the successors, and one of those
// that are down, which may be back.
func (t *Table) Tick(now time.Time) []roster.Entry {
	if now.Sub(t.lastTick) >= pauseAfter {
		for _, m := range t.members {
			m.heardAt = now
		}
	}
	t.lastTick = now
	t.forget(now)
	var out []roster.Entry
	successors := t.ring().successors(t.self.Name)
	for _, name := range successors {
		out = append(out, t.members[name].Entry)
	}
	t.dropNeighbours(append(successors, t.ring().predecessors(t.self.Name)...), now)
	if down := t.downNames(); len(down) > 0 {
		t.recheck++
		out = append(out, t.members[down[t.recheck%len(down)]].Entry)
	}
	return out
}

func (t *Table) forget(now time.Time) {
	for name, m := range t.members {
		if m.Status == Down && now.Sub(m.downSince) > ForgetAfter {
			delete(t.members, name)
		}
	}
}

func (t *Table) downNames() []string {
	var out []string
	for name, m := range t.members {
		if m.Status == Down {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Neighbours returns the gateways with which this one exchanges heartbeats.
func (t *Table) Neighbours() []roster.Entry {
	names := append(t.ring().successors(t.self.Name), t.ring().predecessors(t.self.Name)...)
	slices.Sort(names)
	var out []roster.Entry
	for _, name := range slices.Compact(names) {
		out = append(out, t.members[name].Entry)
	}
	return out
}

// Suspect is a gateway that this one no longer hears from.
type Suspect struct {
	Record
	// Witnesses are the other gateways that send it heartbeats.
	Witnesses []roster.Entry
}

// Suspects returns the successors that were silent for SilentAfter.
func (t *Table) Suspects(now time.Time) []Suspect {
	var out []Suspect
	for _, name := range t.ring().successors(t.self.Name) {
		if t.HeardLately(name, now) {
			continue
		}
		s := Suspect{Record: t.members[name].Record}
		for _, w := range t.ring().predecessors(name) {
			if m := t.members[w]; m != nil {
				s.Witnesses = append(s.Witnesses, m.Entry)
			}
		}
		out = append(out, s)
	}
	return out
}

// MarkDown marks a suspect as down that no witness hears from. It reports false if the suspect was heard from
// or has told a new state meanwhile.
func (t *Table) MarkDown(s Record, now time.Time) bool {
	m := t.members[s.Name]
	if m == nil || m.Sequence != s.Sequence || m.Status == Down || t.HeardLately(s.Name, now) {
		return false
	}
	r := m.Record
	r.Status = Down
	return t.put(r, now)
}

// Digest identifies the records of all gateways that are not down. It is not 0.
func (t *Table) Digest() uint64 {
	if !t.digested {
		t.digest = t.self.hash()
		for _, m := range t.members {
			if m.Status != Down {
				t.digest ^= m.hash()
			}
		}
		t.digest, t.digested = max(1, t.digest), true
	}
	return t.digest
}

func (t *Table) ring() *rings {
	if t.rings == nil {
		names := []string{t.self.Name}
		for name, m := range t.members {
			if m.Status != Down {
				names = append(names, name)
			}
		}
		r := newRings(names)
		t.rings = &r
	}
	return t.rings
}

// Entry returns the entry of another gateway that is not down.
func (t *Table) Entry(name string) (roster.Entry, bool) {
	m := t.members[name]
	if m == nil || m.Status == Down {
		return roster.Entry{}, false
	}
	return m.Entry, true
}

// Knows reports whether there is a record of a gateway or the gateway is this one.
func (t *Table) Knows(name string) bool { return name == t.self.Name || t.members[name] != nil }

// Ready returns the entries of the other gateways that take callers, in the order of their names.
func (t *Table) Ready() []roster.Entry {
	var out []roster.Entry
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		if m := t.members[name]; m.Status == Ready {
			out = append(out, m.Entry)
		}
	}
	return out
}

// Running returns the entries of the gateways that are not down, this one included.
func (t *Table) Running() []roster.Entry {
	out := []roster.Entry{t.self.Entry}
	for _, m := range t.members {
		if m.Status != Down {
			out = append(out, m.Entry)
		}
	}
	return out
}

// Live returns the names of the gateways that are not down, this one included, sorted.
func (t *Table) Live() []string {
	out := []string{t.self.Name}
	for name, m := range t.members {
		if m.Status != Down {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Recent returns the number of gateways that are not down or were not RecentTime ago, this one included.
func (t *Table) Recent(now time.Time) int { return t.countDownFor(RecentTime, now) }

// Known returns the number of gateways that may be running, this one included.
func (t *Table) Known(now time.Time) int { return t.countDownFor(ForgetAfter, now) }

// countDownFor counts the gateways that are not down, and those that have been down for less than limit; one that
// told that it stops counts for RecentTime at most.
func (t *Table) countDownFor(limit time.Duration, now time.Time) int {
	n := 1
	for _, m := range t.members {
		counted := limit
		if m.leftCleanly {
			counted = min(limit, RecentTime)
		}
		if m.Status != Down || now.Sub(m.downSince) < counted {
			n++
		}
	}
	return n
}
