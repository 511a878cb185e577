package expertmap

import (
	"math/rand/v2"
	"slices"
)

// fault is a kind of fault that a simulation can inject.
type fault int

const (
	messageLost fault = iota
	messageDelayed
	messageDuplicated
	messageReordered
	// rankRestart restarts a rank with its engine, which loses the weights.
	rankRestart
	// agentRestart restarts the agent of a rank; its engine keeps the weights.
	agentRestart
	rankStall
	// rankLost loses a rank permanently, or makes an owner treat a live rank as dead.
	rankLost
	// ownerPaused pauses the newest owner while another one takes over.
	ownerPaused
	// concurrentOwners starts another owner while the former ones continue.
	concurrentOwners
	platformDown
	platformSlow
	// writeResponseLost loses the response to a write that took effect.
	writeResponseLost
	weightLoadSlow
	faultKindCount
)

// packet is a message in flight. A rank has its index as address; the owner with index i in
// simulation.owners has the address -1-i.
type packet struct {
	from, to int
	message  Message
}

// platformCall is a call to the platform without a response yet. A nil owner means that a rank
// reads the record.
type platformCall struct {
	owner       *Owner
	rank        int
	incarnation uint64
	write       bool
	revision    int64
	record      Record
}

// simulatedRank is one rank with its engine.
type simulatedRank struct {
	node          *Node
	sim           *simulation
	index         int
	incarnation   uint64
	loaded        []*Map
	loading       []*Map
	stallTicks    int
	readingRecord bool
	dead          bool
	// highestFencingToken is the highest fencing token of the orders carried out, over all restarts.
	highestFencingToken int64
}

// stepRecord is the oracle's state of a step.
type stepRecord struct {
	// ref is the map of the first rank that joined or computed the step.
	ref Ref
	// joinedRanks and computedRanks are bit sets of rank indices.
	joinedRanks   uint64
	computedRanks uint64
}

// simulation runs a group, its owners, the network and the platform in one goroutine, and checks
// each computed step as an oracle.
type simulation struct {
	random        *rand.Rand
	enabledFaults []bool
	// eventsPerFault is the average number of events between two injections of faults.
	eventsPerFault int
	ranks          []*simulatedRank
	owners         []*Owner
	// pauseTicks is the number of ticks for which an owner stays paused.
	pauseTicks map[*Owner]int
	network    []packet
	// delayed are messages that return to the network at the next tick.
	delayed []packet
	calls   []platformCall

	record            Record
	revision          int64
	platformDownTicks int
	// lastFencingToken is the fencing token of the newest owner.
	lastFencingToken int64
	mapsByRef        map[Ref]*Map

	steps map[StepID]*stepRecord
	// completedSteps counts the steps that all ranks of the map have computed.
	completedSteps int
	// mixedMapComputes counts computations on another map than that of the step.
	mixedMapComputes int
	// invalidComputes counts computations without loaded weights or without all ranks joined.
	invalidComputes int
	// staleOrders counts orders carried out with a lower fencing token than an earlier one.
	staleOrders int
	events      int
}

func newSimulation(seed uint64, ranks int, faults []bool, rate int) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), enabledFaults: faults, eventsPerFault: rate,
		pauseTicks: map[*Owner]int{}, steps: map[StepID]*stepRecord{}, mapsByRef: map[Ref]*Map{},
	}
	for i := range ranks {
		m := &simulatedRank{sim: sim, index: i}
		sim.ranks = append(sim.ranks, m)
		m.start()
	}
	sim.startOwner()
	return sim
}

// start starts the agent of a rank; the engine keeps its loaded weights.
func (m *simulatedRank) start() {
	m.incarnation = m.sim.random.Uint64()
	m.node = NewNode(m.index, m.incarnation, m, m)
	for _, l := range m.loaded {
		m.node.Rank.HandleLoaded(l)
	}
}

// Load implements Engine.
func (m *simulatedRank) Load(e *Map) {
	if !slices.Contains(m.loading, e) {
		m.loading = append(m.loading, e)
	}
}

// Drop implements Engine.
func (m *simulatedRank) Drop(r Ref) {
	m.loaded = slices.DeleteFunc(m.loaded, func(e *Map) bool { return e.Ref == r })
}

// Compute implements Engine. It counts violations: a step computed on two maps, without the
// weights, or before all ranks of the map have joined.
func (m *simulatedRank) Compute(s StepID, r Ref) {
	sim := m.sim
	rec := sim.stepRecordFor(s, r)
	if rec.ref != r {
		sim.mixedMapComputes++
	}
	if !slices.ContainsFunc(m.loaded, func(e *Map) bool { return e.Ref == r }) {
		sim.invalidComputes++
	}
	all := rankMask(sim.mapsByRef[r].Ranks)
	if rec.joinedRanks&all != all {
		sim.invalidComputes++
	}
	rec.computedRanks |= 1 << m.index
	if rec.computedRanks == all {
		sim.completedSteps++
	}
}

// stepRecordFor returns the record of a step. The first call for a step sets its map.
func (sim *simulation) stepRecordFor(s StepID, r Ref) *stepRecord {
	rec, ok := sim.steps[s]
	if !ok {
		rec = &stepRecord{ref: r}
		sim.steps[s] = rec
	}
	return rec
}

// rankMask returns a bit set of rank indices.
func rankMask(ranks []int) uint64 {
	out := uint64(0)
	for _, r := range ranks {
		out |= 1 << r
	}
	return out
}

// RequestRecord implements RecordReader.
func (m *simulatedRank) RequestRecord() {
	if m.readingRecord {
		return
	}
	m.readingRecord = true
	m.sim.calls = append(m.sim.calls, platformCall{rank: m.index, incarnation: m.incarnation})
}

// ownerStore implements RecordStore for an owner on the platform of the simulation.
type ownerStore struct {
	sim   *simulation
	owner *Owner
}

// RequestRead implements RecordStore.
func (s *ownerStore) RequestRead() {
	s.sim.calls = append(s.sim.calls, platformCall{owner: s.owner})
}

// RequestWrite implements RecordStore.
func (s *ownerStore) RequestWrite(revision int64, r Record) {
	s.sim.calls = append(s.sim.calls, platformCall{owner: s.owner, write: true, revision: revision, record: r})
}

// startOwner starts an owner with the next fencing token. Of the former owners, two continue.
func (sim *simulation) startOwner() {
	sim.lastFencingToken++
	store := &ownerStore{sim: sim}
	store.owner = NewOwner(sim.lastFencingToken, store)
	sim.owners = append(sim.owners, store.owner)
	if len(sim.owners) > 3 {
		sim.owners = sim.owners[1:]
	}
	sim.setDesiredMap(store.owner)
}

func (sim *simulation) newestOwner() *Owner { return sim.owners[len(sim.owners)-1] }

// setDesiredMap sets a new desired map over the live ranks. With the fault rankLost, the owner
// sometimes treats one of the first two ranks as dead although it is alive.
func (sim *simulation) setDesiredMap(o *Owner) {
	m := Map{Layers: []Layer{{Ranks: [][]Replica{{{Expert: sim.random.IntN(1 << 20), Share: 1}}}}}}
	assumedDead := -1
	if sim.occurs(rankLost, 2) {
		assumedDead = sim.random.IntN(2)
	}
	for _, r := range sim.ranks {
		gone := r.dead || r.index == assumedDead
		o.SetRankDead(r.index, gone)
		if !gone {
			m.Ranks = append(m.Ranks, r.index)
		}
	}
	if len(m.Ranks) > 0 {
		o.SetDesiredMap(&m)
	}
}

// send puts messages on the network.
func (sim *simulation) send(from int, out []Envelope) {
	for _, e := range out {
		sim.network = append(sim.network, packet{from: from, to: e.To, message: e.Message})
		sim.recordMap(e.Message)
	}
}

// recordMap keeps the content of every map that an owner orders, by reference.
func (sim *simulation) recordMap(m Message) {
	switch x := m.(type) {
	case SwitchOrder:
		sim.mapsByRef[x.Map.Ref] = x.Map
	case StageOrder:
		sim.mapsByRef[x.Map.Ref] = x.Map
	}
}

// advance runs one event: it delivers a message, completes a call or ticks. Before it, faults
// may be injected.
func (sim *simulation) advance() {
	sim.events++
	sim.injectFaults()
	switch {
	case len(sim.calls) > 0 && sim.random.IntN(4) == 0:
		sim.completeCall()
	case len(sim.network) > 0 && sim.random.IntN(128) > 0:
		sim.deliver()
	default:
		sim.tick()
	}
}

// tick ticks every rank and owner that is not dead, stalled or paused, and returns the delayed
// messages to the network.
func (sim *simulation) tick() {
	for _, m := range sim.ranks {
		if m.dead {
			continue
		}
		if m.stallTicks > 0 {
			m.stallTicks--
			continue
		}
		m.finishLoad()
		sim.send(m.index, m.node.Tick())
	}
	for i, o := range sim.owners {
		if sim.pauseTicks[o] > 0 {
			sim.pauseTicks[o]--
			continue
		}
		sim.send(-1-i, o.Tick())
	}
	sim.platformDownTicks = max(sim.platformDownTicks-1, 0)
	sim.network = append(sim.network, sim.delayed...)
	sim.delayed = sim.delayed[:0]
}

// finishLoad completes the oldest load of weights. With slow loads, it does so in one of 8 ticks.
func (m *simulatedRank) finishLoad() {
	if len(m.loading) == 0 || m.sim.isEnabled(weightLoadSlow) && m.sim.random.IntN(8) > 0 {
		return
	}
	e := m.loading[0]
	m.loading = m.loading[1:]
	m.loaded = append(m.loaded, e)
	m.node.Rank.HandleLoaded(e)
}

// completeCall completes one call to the platform, chosen at random. With a slow platform, it
// does so in one of 8 cases.
func (sim *simulation) completeCall() {
	i := sim.random.IntN(len(sim.calls))
	c := sim.calls[i]
	if sim.isEnabled(platformSlow) && sim.random.IntN(8) > 0 {
		return
	}
	sim.calls = slices.Delete(sim.calls, i, i+1)
	if c.owner == nil {
		m := sim.ranks[c.rank]
		m.readingRecord = false
		if sim.platformDownTicks == 0 && m.incarnation == c.incarnation && !m.dead {
			sim.send(m.index, m.node.HandleRecord(sim.record))
		}
		return
	}
	if sim.platformDownTicks > 0 {
		c.owner.HandleUnknownOutcome()
		return
	}
	if !c.write {
		c.owner.HandleRead(sim.revision, sim.record)
		return
	}
	if c.revision != sim.revision {
		c.owner.HandleUnknownOutcome()
		return
	}
	sim.revision++
	sim.record = c.record
	if sim.occurs(writeResponseLost, 2) {
		c.owner.HandleUnknownOutcome()
		return
	}
	c.owner.HandleWritten(sim.revision, sim.record)
}

// deliver delivers, delays, duplicates or drops one message.
func (sim *simulation) deliver() {
	i := 0
	if sim.isEnabled(messageReordered) {
		i = sim.random.IntN(len(sim.network))
	}
	p := sim.network[i]
	if sim.occurs(messageDelayed, 20) {
		sim.network = slices.Delete(sim.network, i, i+1)
		sim.delayed = append(sim.delayed, p)
		return
	}
	if !sim.occurs(messageDuplicated, 10) {
		sim.network = slices.Delete(sim.network, i, i+1)
	}
	if sim.occurs(messageLost, 20) {
		return
	}
	sim.deliverTo(p)
}

// deliverTo passes a message to its receiver and sends the response.
func (sim *simulation) deliverTo(p packet) {
	if p.to < 0 {
		if i := -1 - p.to; i < len(sim.owners) && sim.pauseTicks[sim.owners[i]] == 0 {
			sim.owners[i].HandleReport(p.message.(RankReport))
		}
		return
	}
	m := sim.ranks[p.to]
	if m.dead {
		return
	}
	if m.stallTicks > 0 {
		sim.delayed = append(sim.delayed, p)
		return
	}
	if p.from < 0 {
		m.handleOrder(p)
		return
	}
	a, out := m.node.HandleMessage(p.message)
	sim.send(m.index, out)
	if a == nil {
		return
	}
	if b, ok := p.message.(JoinRequest); ok && a.Kind == ResponseJoined {
		sim.stepRecordFor(b.Step, b.Ref).joinedRanks |= 1 << m.index
	}
	sim.network = append(sim.network, packet{from: m.index, to: p.from, message: *a})
}

// handleOrder carries out an order. It counts orders that are carried out with a lower fencing
// token than an earlier one.
func (m *simulatedRank) handleOrder(p packet) {
	rejected := m.node.RejectedOrders
	r, out := m.node.HandleOrder(p.message)
	if m.node.RejectedOrders == rejected {
		f := fencingTokenOf(p.message)
		if f < m.highestFencingToken {
			m.sim.staleOrders++
		}
		m.highestFencingToken = max(m.highestFencingToken, f)
	}
	m.sim.send(m.index, out)
	m.sim.network = append(m.sim.network, packet{from: m.index, to: p.from, message: r})
}

func fencingTokenOf(m Message) int64 {
	switch o := m.(type) {
	case StageOrder:
		return o.FencingToken
	case SwitchOrder:
		return o.FencingToken
	case RetireOrder:
		return o.FencingToken
	}
	return 0
}
