package expertmap

import (
	"math/rand/v2"
	"slices"
)

// fault is one kind of fault that a world can bring about.
type fault int

const (
	messageLost fault = iota
	messageDelayed
	messageDuplicated
	messageReordered
	rankRestart
	agentRestart
	rankStall
	rankLost
	ownerPaused
	concurrentOwners
	platformDown
	platformSlow
	writeResponseLost
	weightLoadSlow
	faultKindCount
)

// packet is a message on its way. Ranks are addressed by number, owners below zero.
type packet struct {
	from, to int
	message  Message
}

// platformCall is a platformCall to the platform whose answer has not arrived.
type platformCall struct {
	owner       *Owner
	rank        int
	incarnation uint64
	write       bool
	revision    int64
	record      Record
}

// simulatedRank is one rank with its engine, as the oracle sees it.
type simulatedRank struct {
	node        *Node
	sim       *simulation
	index       int
	incarnation uint64
	loaded      []*Map
	loading     []*Map
	stallTicks     int
	readingRecord     bool
	dead        bool
	// highestToken is the highest number of an order that was carried out, over all restarts.
	highestToken int64
}

// stepRecord is what the oracle knows of a step.
type stepRecord struct {
	ref      Ref
	joinedRanks   uint64
	computedRanks uint64
}

// simulation is a group, its owners, the network and the platform in one thread.
type simulation struct {
	random  *rand.Rand
	enabledFaults  []bool
	eventsPerFault    int
	ranks []*simulatedRank
	owners  []*Owner
	pauseTicks  map[*Owner]int
	network     []packet
	delayed  []packet
	calls   []platformCall

	record   Record
	revision int64
	platformDownTicks     int
	lastToken    int64
	mapsByRef     map[Ref]*Map

	steps  map[StepID]*stepRecord
	completedSteps  int
	mixedMapComputes  int
	invalidComputes  int
	staleOrders  int
	events int
}

func newSimulation(seed uint64, ranks int, faults []bool, rate int) *simulation {
	w := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), enabledFaults: faults, eventsPerFault: rate,
		pauseTicks: map[*Owner]int{}, steps: map[StepID]*stepRecord{}, mapsByRef: map[Ref]*Map{},
	}
	for i := range ranks {
		m := &simulatedRank{sim: w, index: i}
		w.ranks = append(w.ranks, m)
		m.start()
	}
	w.startOwner()
	return w
}

// start starts the agent of a rank; the engine keeps the weights that it has loaded.
func (m *simulatedRank) start() {
	m.incarnation = m.sim.random.Uint64()
	m.node = NewNode(m.index, m.incarnation, m, m)
	for _, l := range m.loaded {
		m.node.Rank.Loaded(l)
	}
}

func (m *simulatedRank) Load(e *Map) {
	if !slices.Contains(m.loading, e) {
		m.loading = append(m.loading, e)
	}
}

func (m *simulatedRank) Drop(r Ref) {
	m.loaded = slices.DeleteFunc(m.loaded, func(e *Map) bool { return e.Ref == r })
}

func (m *simulatedRank) Compute(s StepID, r Ref) {
	w := m.sim
	rec := w.stepRecordFor(s, r)
	if rec.ref != r {
		w.mixedMapComputes++
	}
	if !slices.ContainsFunc(m.loaded, func(e *Map) bool { return e.Ref == r }) {
		w.invalidComputes++
	}
	all := rankMask(w.mapsByRef[r].Ranks)
	if rec.joinedRanks&all != all {
		w.invalidComputes++
	}
	rec.computedRanks |= 1 << m.index
	if rec.computedRanks == all {
		w.completedSteps++
	}
}

func (w *simulation) stepRecordFor(s StepID, r Ref) *stepRecord {
	rec, ok := w.steps[s]
	if !ok {
		rec = &stepRecord{ref: r}
		w.steps[s] = rec
	}
	return rec
}

func rankMask(ranks []int) uint64 {
	out := uint64(0)
	for _, r := range ranks {
		out |= 1 << r
	}
	return out
}

func (m *simulatedRank) ReadFence() {
	if m.readingRecord {
		return
	}
	m.readingRecord = true
	m.sim.calls = append(m.sim.calls, platformCall{rank: m.index, incarnation: m.incarnation})
}

// ownerStore binds an owner to the platform of the world.
type ownerStore struct {
	sim *simulation
	owner *Owner
}

func (s *ownerStore) ReadRecord() {
	s.sim.calls = append(s.sim.calls, platformCall{owner: s.owner})
}

func (s *ownerStore) WriteRecord(revision int64, r Record) {
	s.sim.calls = append(s.sim.calls, platformCall{owner: s.owner, write: true, revision: revision, record: r})
}

// startOwner starts an owner with the next fencing number. Former owners go on.
func (w *simulation) startOwner() {
	w.lastToken++
	s := &ownerStore{sim: w}
	s.owner = NewOwner(w.lastToken, s)
	w.owners = append(w.owners, s.owner)
	if len(w.owners) > 3 {
		w.owners = w.owners[1:]
	}
	w.setDesiredMap(s.owner)
}

func (w *simulation) newestOwner() *Owner { return w.owners[len(w.owners)-1] }

// setDesiredMap gives an owner a new content over the living ranks. Where ranks are lost, the
// owner takes a living one for lost now and then, the leading one above all.
func (w *simulation) setDesiredMap(o *Owner) {
	m := Map{Layers: []Layer{{Ranks: [][]Replica{{{Expert: w.random.IntN(1 << 20), Share: 1}}}}}}
	missed := -1
	if w.occurs(rankLost, 2) {
		missed = w.random.IntN(2)
	}
	for _, r := range w.ranks {
		gone := r.dead || r.index == missed
		o.Dead(r.index, gone)
		if !gone {
			m.Ranks = append(m.Ranks, r.index)
		}
	}
	if len(m.Ranks) > 0 {
		o.Wish(&m)
	}
}

func (w *simulation) send(from int, out []Envelope) {
	for _, e := range out {
		w.network = append(w.network, packet{from: from, to: e.To, message: e.Message})
		w.recordMap(e.Message)
	}
}

// recordMap keeps the content of every map that a leader names.
func (w *simulation) recordMap(m Message) {
	switch x := m.(type) {
	case Switch:
		w.mapsByRef[x.Map.Ref] = x.Map
	case Stage:
		w.mapsByRef[x.Map.Ref] = x.Map
	}
}

// advance does one thing: it delivers a message, ends a call or a load, ticks, or
// brings about a fault.
func (w *simulation) advance() {
	w.events++
	w.injectFaults()
	switch {
	case len(w.calls) > 0 && w.random.IntN(4) == 0:
		w.completeCall()
	case len(w.network) > 0 && w.random.IntN(128) > 0:
		w.deliver()
	default:
		w.tick()
	}
}

func (w *simulation) tick() {
	for _, m := range w.ranks {
		if m.dead {
			continue
		}
		if m.stallTicks > 0 {
			m.stallTicks--
			continue
		}
		m.finishLoad()
		w.send(m.index, m.node.Tick())
	}
	for i, o := range w.owners {
		if w.pauseTicks[o] > 0 {
			w.pauseTicks[o]--
			continue
		}
		w.send(-1-i, o.Tick())
	}
	w.platformDownTicks = max(w.platformDownTicks-1, 0)
	w.network = append(w.network, w.delayed...)
	w.delayed = w.delayed[:0]
}

func (m *simulatedRank) finishLoad() {
	if len(m.loading) == 0 || m.sim.isEnabled(weightLoadSlow) && m.sim.random.IntN(8) > 0 {
		return
	}
	e := m.loading[0]
	m.loading = m.loading[1:]
	m.loaded = append(m.loaded, e)
	m.node.Rank.Loaded(e)
}

// completeCall ends one call to the platform.
func (w *simulation) completeCall() {
	i := w.random.IntN(len(w.calls))
	c := w.calls[i]
	if w.isEnabled(platformSlow) && w.random.IntN(8) > 0 {
		return
	}
	w.calls = slices.Delete(w.calls, i, i+1)
	if c.owner == nil {
		m := w.ranks[c.rank]
		m.readingRecord = false
		if w.platformDownTicks == 0 && m.incarnation == c.incarnation && !m.dead {
			w.send(m.index, m.node.Fenced(w.record))
		}
		return
	}
	if w.platformDownTicks > 0 {
		c.owner.Unknown()
		return
	}
	if !c.write {
		c.owner.Read(w.revision, w.record)
		return
	}
	if c.revision != w.revision {
		c.owner.Unknown()
		return
	}
	w.revision++
	w.record = c.record
	if w.occurs(writeResponseLost, 2) {
		c.owner.Unknown()
		return
	}
	c.owner.Wrote(w.revision, w.record)
}

func (w *simulation) deliver() {
	i := 0
	if w.isEnabled(messageReordered) {
		i = w.random.IntN(len(w.network))
	}
	p := w.network[i]
	if w.occurs(messageDelayed, 20) {
		w.network = slices.Delete(w.network, i, i+1)
		w.delayed = append(w.delayed, p)
		return
	}
	if !w.occurs(messageDuplicated, 10) {
		w.network = slices.Delete(w.network, i, i+1)
	}
	if w.occurs(messageLost, 20) {
		return
	}
	w.deliverTo(p)
}

func (w *simulation) deliverTo(p packet) {
	if p.to < 0 {
		if i := -1 - p.to; i < len(w.owners) && w.pauseTicks[w.owners[i]] == 0 {
			w.owners[i].Report(p.message.(Report))
		}
		return
	}
	m := w.ranks[p.to]
	if m.dead {
		return
	}
	if m.stallTicks > 0 {
		w.delayed = append(w.delayed, p)
		return
	}
	if p.from < 0 {
		m.handleOrder(p)
		return
	}
	a, out := m.node.Step(p.message)
	w.send(m.index, out)
	if a == nil {
		return
	}
	if b, ok := p.message.(Begin); ok && a.Kind == Join {
		w.stepRecordFor(b.Step, b.Ref).joinedRanks |= 1 << m.index
	}
	w.network = append(w.network, packet{from: m.index, to: p.from, message: *a})
}

func (m *simulatedRank) handleOrder(p packet) {
	refused := m.node.Refused
	r, out := m.node.Order(p.message)
	if m.node.Refused == refused {
		f := fencingTokenOf(p.message)
		if f < m.highestToken {
			m.sim.staleOrders++
		}
		m.highestToken = max(m.highestToken, f)
	}
	m.sim.send(m.index, out)
	m.sim.network = append(m.sim.network, packet{from: m.index, to: p.from, message: r})
}

func fencingTokenOf(m Message) int64 {
	switch o := m.(type) {
	case Stage:
		return o.Fence
	case Switch:
		return o.Fence
	case Retire:
		return o.Fence
	}
	return 0
}

func (w *simulation) isEnabled(f fault) bool { return w.enabledFaults[f] }

// occurs reports whether a fault happens, once in about n times.
func (w *simulation) occurs(f fault, n int) bool { return w.enabledFaults[f] && w.random.IntN(n) == 0 }

// injectFaults brings about the faults that are not tied to a message. The map to run
// changes at the same rate.
func (w *simulation) injectFaults() {
	if w.random.IntN(w.eventsPerFault) > 0 {
		return
	}
	w.setDesiredMap(w.owners[w.random.IntN(len(w.owners))])
	m := w.ranks[w.random.IntN(len(w.ranks))]
	if w.occurs(rankRestart, 2) {
		m.restart()
	}
	if w.occurs(agentRestart, 2) && !m.dead {
		m.start()
	}
	if w.occurs(rankStall, 2) {
		m.stallTicks = w.random.IntN(20)
	}
	if w.occurs(rankLost, 2) {
		m.toggleDead()
	}
	if w.occurs(ownerPaused, 2) {
		w.pauseTicks[w.newestOwner()] = w.random.IntN(40)
		w.startOwner()
	}
	if w.occurs(concurrentOwners, 2) {
		w.startOwner()
	}
	if w.occurs(platformDown, 2) {
		w.platformDownTicks = w.random.IntN(60)
	}
}

// restart restarts a rank: its weights are gone.
func (m *simulatedRank) restart() {
	if m.dead {
		return
	}
	m.loaded = nil
	m.loading = nil
	m.start()
}

// toggleDead ends a rank for good, or puts a new one with no weights in its place. One rank
// always lives.
func (m *simulatedRank) toggleDead() {
	others := func(o *simulatedRank) bool { return o != m && !o.dead }
	switch {
	case m.dead:
		m.dead = false
		m.restart()
	case slices.ContainsFunc(m.sim.ranks, others):
		m.dead = true
	}
}

// endFaults ends all faults.
func (w *simulation) endFaults() {
	w.enabledFaults = make([]bool, faultKindCount)
	w.eventsPerFault = 1 << 30
	w.platformDownTicks = 0
	clear(w.pauseTicks)
	for _, m := range w.ranks {
		m.stallTicks = 0
	}
}

// runSteps advances until n more steps were computed by all ranks, or limit events passed.
func (w *simulation) runSteps(n, limit int) bool {
	goal := w.completedSteps + n
	for range limit {
		if w.completedSteps >= goal {
			return true
		}
		w.advance()
	}
	return w.completedSteps >= goal
}

// hasConverged reports whether the newest owner has brought its wish into force.
func (w *simulation) hasConverged() bool {
	o := w.newestOwner()
	return o.Idle() && o.Record().Decided.Ref == w.record.Decided.Ref
}
