package dispatch

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/instancelist"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/prefix"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/retry"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/routing"
)

// pool holds the upstreams of one target and their routing candidates, in the same order.
// The candidates are contiguous in memory and kept up to date, so that a decision allocates
// nothing.
type pool struct {
	members    []*member
	candidates []routing.Candidate
	// pacer spreads the retries of rejected callers over time.
	pacer retry.Pacer
}

// backlog returns the total work at the upstreams that are eligible now, outside other
// regions. entries is the number of entries in the region.
func (p *pool) backlog(now time.Duration, entries int32) retry.Backlog {
	b := retry.Backlog{Entries: int(entries)}
	serviceMillis := 0.0
	measured := 0
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.Excluded || now-c.ReportedAt > MaxStatusAge || c.Distance == routing.OtherRegion {
			continue
		}
		b.Requests += int(c.Running + c.Queued)
		b.Limit += int(c.Limit)
		if c.ServiceMillis > 0 {
			serviceMillis += c.ServiceMillis
			measured++
		}
	}
	if measured > 0 {
		b.ServiceTime = time.Duration(serviceMillis / float64(measured) * float64(time.Millisecond))
	}
	return b
}

// slot is the position of a member in a pool.
type slot struct {
	pool  *pool
	index int
}

// add appends m to the pool, with an empty candidate.
func (p *pool) add(m *member) {
	m.slots = append(m.slots, slot{p, len(p.members)})
	p.members = append(p.members, m)
	p.candidates = append(p.candidates, routing.Candidate{})
}

// setTried sets or clears the Tried mark of the candidates with the IDs in tried.
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

// setCached writes the numbers of cached prompt blocks to the candidates, or resets them to
// 0 when value is false. byIDHash maps the hash of an upstream's ID to its member.
func (p *pool) setCached(byIDHash map[uint64]*member, matches *prefix.Matches, value bool) {
	for _, match := range matches.All() {
		m := byIDHash[match.Upstream]
		if m == nil {
			continue
		}
		for _, s := range m.slots {
			if s.pool != p {
				continue
			}
			p.candidates[s.index].CachedBlocks = 0
			if value {
				p.candidates[s.index].CachedBlocks = match.Blocks
			}
		}
	}
}

// publish writes the candidate to each slot of m.
func (m *member) publish(c routing.Candidate) {
	for _, s := range m.slots {
		s.pool.candidates[s.index] = c
	}
}

// publishInProgress writes the number of attempts in progress to each slot of m.
func (m *member) publishInProgress() {
	for _, s := range m.slots {
		s.pool.candidates[s.index].OwnInProgress = m.inProgress
	}
}

// rebuildPools rebuilds the pools and the other data derived from the members. The caller
// holds InstanceTable.mu.
func (t *InstanceTable) rebuildPools() {
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
		if m.instance.Role == instancelist.RoleEntry && m.instance.Region == t.opts.Region {
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

// pool returns the pool of a target and creates it if necessary. The caller holds
// InstanceTable.mu.
func (t *InstanceTable) pool(wanted workTarget) *pool {
	p := t.pools[wanted]
	if p == nil {
		p = &pool{}
		t.pools[wanted] = p
	}
	return p
}
