package dispatch

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/instancelist"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/prefix"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/retry"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/routing"
)

// pool holds the upstreams of one target, side by side with their candidates, so that
// a decision reads one block of memory and builds nothing.
type pool struct {
	members    []*member
	candidates []routing.Candidate
	// pacer spreads the returns of refused callers.
	pacer retry.Pacer
}

// backlog returns the work at the upstreams that may be chosen now.
func (p *pool) backlog(now time.Duration, entries int32) retry.Backlog {
	b := retry.Backlog{Entries: int(entries)}
	millis := 0.0
	measured := 0
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.Excluded || now-c.ReportedAt > StatusAge || c.Distance == routing.OtherRegion {
			continue
		}
		b.Requests += int(c.Running + c.Queued)
		b.Limit += int(c.Limit)
		if c.ServiceMillis > 0 {
			millis += c.ServiceMillis
			measured++
		}
	}
	if measured > 0 {
		b.ServiceTime = time.Duration(millis / float64(measured) * float64(time.Millisecond))
	}
	return b
}

// slot is the place of a member in a pool.
type slot struct {
	pool  *pool
	index int
}

// add gives m a place in the pool.
func (p *pool) add(m *member) {
	m.slots = append(m.slots, slot{p, len(p.members)})
	p.members = append(p.members, m)
	p.candidates = append(p.candidates, routing.Candidate{})
}

// setTried marks the candidates of the tried upstreams.
func (p *pool) setTried(members map[string]*member, tried []string, value bool) {
	for _, id := range tried {
		m := members[id]
		if m == nil {
			continue
		}
		for _, s := range m.slots {
			if s.pool == p {
				p.candidates[s.index].Tried = value
			}
		}
	}
}

// setCached writes the matches of a prompt to the candidates, or clears them.
func (p *pool) setCached(byKey map[uint64]*member, matches *prefix.Matches, value bool) {
	for _, found := range matches.All() {
		m := byKey[found.Upstream]
		if m == nil {
			continue
		}
		for _, s := range m.slots {
			if s.pool != p {
				continue
			}
			p.candidates[s.index].CachedBlocks = 0
			if value {
				p.candidates[s.index].CachedBlocks = found.Blocks
			}
		}
	}
}

// publish writes the candidate to each place of m.
func (m *member) publish(c routing.Candidate) {
	for _, s := range m.slots {
		s.pool.candidates[s.index] = c
	}
}

// publishInProgress writes the attempts in progress to each place of m.
func (m *member) publishInProgress() {
	for _, s := range m.slots {
		s.pool.candidates[s.index].OwnInProgress = m.inProgress
	}
}

// rebuildPools rebuilds the pools and what else is derived from the members. Table.mu is held.
func (t *Table) rebuildPools() {
	for _, p := range t.pools {
		p.members = p.members[:0]
		p.candidates = p.candidates[:0]
	}
	clear(t.byIDHash)
	t.regionEntries = 0
	for _, id := range t.orderedIDs {
		m := t.members[id]
		m.slots = m.slots[:0]
		t.byIDHash[m.idHash] = m
		if m.instance.Role == instancelist.Entry && m.instance.Region == t.opts.Region {
			t.regionEntries++
		}
		for _, name := range m.status.Models {
			t.pool(workTarget{peer.ModelWork, name}).add(m)
		}
		for _, name := range m.status.Services {
			t.pool(workTarget{peer.ServiceWork, name}).add(m)
		}
		t.updateCandidate(m)
	}
}

func (t *Table) pool(wanted workTarget) *pool {
	p := t.pools[wanted]
	if p == nil {
		p = &pool{}
		t.pools[wanted] = p
	}
	return p
}
