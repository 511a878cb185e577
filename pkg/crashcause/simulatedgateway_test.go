package crashcause

import (
	"slices"
	"time"
)

// atGateway lets the gateway of an attempt record something later, unless it restarts.
func (f *fleet) atGateway(a *attempt, d time.Duration, record func(*Ledger)) {
	f.after(d, func() {
		g := f.gates[a.gateway]
		if g.life == a.life {
			record(g.ledger)
			f.persist(g)
		}
	})
}

// restartGateway restarts a gateway, if another has been up for long enough to have the evidence.
func (f *fleet) restartGateway() {
	g := f.gates[f.rng.IntN(len(f.gates))]
	if !slices.ContainsFunc(f.gates, func(o *simGateway) bool { return o != g && f.now-o.startedAt >= contactTime }) {
		return
	}
	g.ledger, g.stored = New(), map[Conviction]bool{}
	g.life++
	g.startedAt = f.now
	if f.isPersisted {
		var stored []Conviction
		for t := range f.store {
			stored = append(stored, t)
		}
		slices.Sort(stored)
		g.ledger.Restore(stored, f.clock())
	}
}

// persist stores the new convictions of a gateway and removes those that it withdraws.
func (f *fleet) persist(g *simGateway) {
	if !f.isPersisted {
		return
	}
	for _, t := range g.ledger.Convictions() {
		if !g.stored[t] {
			g.stored[t], f.store[t] = true, true
		}
	}
	for t := range g.stored {
		if !slices.Contains(g.ledger.convicted, t) {
			delete(g.stored, t)
			delete(f.store, t)
		}
	}
}

// talk sends the evidence of a gateway to its peers from time to time.
func (f *fleet) talk(from int) {
	f.tell(from)
	f.after(f.gossip, func() { f.talk(from) })
}

// tell sends the evidence of a gateway to its peers. Messages may be lost, but not two in a row to one
// peer, since they are in touch; doubled and overtaken.
func (f *fleet) tell(from int) {
	g := f.gates[from]
	var evidence []Crash
	if len(g.ledger.crashes) > 0 {
		evidence = g.ledger.Evidence(f.clock())
	}
	for to := range f.gates {
		if to == from || evidence == nil {
			continue
		}
		if !g.isLost[to] && f.rng.IntN(100) < f.loss {
			g.isLost[to] = true
			continue
		}
		g.isLost[to] = false
		copies := 1
		if f.rng.IntN(10) == 0 {
			copies = 2
		}
		for range copies {
			f.after(f.between(0, 500*time.Millisecond), func() {
				peer := f.gates[to]
				peer.ledger.Merge(evidence, f.clock())
				f.persist(peer)
			})
		}
	}
}

// exchangeAll lets each gateway hear the evidence of all others until none is new.
func (f *fleet) exchangeAll() {
	for changed := true; changed; {
		changed = false
		for _, from := range f.gates {
			evidence := from.ledger.Evidence(f.clock())
			for _, to := range f.gates {
				if to != from && to.ledger.Merge(evidence, f.clock()) {
					changed = true
					f.persist(to)
				}
			}
		}
	}
}
