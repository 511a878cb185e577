package expertmap

import (
	"math/rand/v2"
	"slices"
)

// fault is one kind of fault that a world can bring about.
type fault int

const (
	lost fault = iota
	late
	doubled
	crossed
	rankRestarts
	agentRestarts
	rankStalls
	rankLost
	ownerPaused
	twoOwners
	platformDown
	platformSlow
	answerLost
	weightsSlow
	faultKinds
)

// packet is a message on its way. Ranks are addressed by number, owners below zero.
type packet struct {
	from, to int
	message  Message
}

// call is a call to the platform whose answer has not arrived.
type call struct {
	owner       *Owner
	rank        int
	incarnation uint64
	write       bool
	revision    int64
	record      Record
}

// member is one rank with its engine, as the oracle sees it.
type member struct {
	node        *Node
	world       *world
	index       int
	incarnation uint64
	loaded      []*Map
	loading     []*Map
	stalled     int
	reading     bool
	dead        bool
	// fence is the highest number of an order that was carried out, over all restarts.
	fence int64
}

// stepRecord is what the oracle knows of a step.
type stepRecord struct {
	ref      Ref
	joined   uint64
	computed uint64
}

// world is a group, its owners, the network and the platform in one thread.
type world struct {
	random  *rand.Rand
	faults  []bool
	rate    int
	members []*member
	owners  []*Owner
	paused  map[*Owner]int
	net     []packet
	parked  []packet
	calls   []call

	record   Record
	revision int64
	down     int
	fence    int64
	maps     map[Ref]*Map

	steps  map[StepID]*stepRecord
	whole  int
	mixed  int
	unfit  int
	stale  int
	events int
}

func newWorld(seed uint64, ranks int, faults []bool, rate int) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), faults: faults, rate: rate,
		paused: map[*Owner]int{}, steps: map[StepID]*stepRecord{}, maps: map[Ref]*Map{},
	}
	for i := range ranks {
		m := &member{world: w, index: i}
		w.members = append(w.members, m)
		m.start()
	}
	w.takeOver()
	return w
}

// start starts the agent of a rank; the engine keeps the weights that it has loaded.
func (m *member) start() {
	m.incarnation = m.world.random.Uint64()
	m.node = NewNode(m.index, m.incarnation, m, m)
	for _, l := range m.loaded {
		m.node.Rank.Loaded(l)
	}
}

func (m *member) Load(e *Map) {
	if !slices.Contains(m.loading, e) {
		m.loading = append(m.loading, e)
	}
}

func (m *member) Drop(r Ref) {
	m.loaded = slices.DeleteFunc(m.loaded, func(e *Map) bool { return e.Ref == r })
}

func (m *member) Compute(s StepID, r Ref) {
	w := m.world
	rec := w.step(s, r)
	if rec.ref != r {
		w.mixed++
	}
	if !slices.ContainsFunc(m.loaded, func(e *Map) bool { return e.Ref == r }) {
		w.unfit++
	}
	all := mask(w.maps[r].Ranks)
	if rec.joined&all != all {
		w.unfit++
	}
	rec.computed |= 1 << m.index
	if rec.computed == all {
		w.whole++
	}
}

func (w *world) step(s StepID, r Ref) *stepRecord {
	rec, ok := w.steps[s]
	if !ok {
		rec = &stepRecord{ref: r}
		w.steps[s] = rec
	}
	return rec
}

func mask(ranks []int) uint64 {
	out := uint64(0)
	for _, r := range ranks {
		out |= 1 << r
	}
	return out
}

func (m *member) ReadFence() {
	if m.reading {
		return
	}
	m.reading = true
	m.world.calls = append(m.world.calls, call{rank: m.index, incarnation: m.incarnation})
}

// ownerStore binds an owner to the platform of the world.
type ownerStore struct {
	world *world
	owner *Owner
}

func (s *ownerStore) ReadRecord() {
	s.world.calls = append(s.world.calls, call{owner: s.owner})
}

func (s *ownerStore) WriteRecord(revision int64, r Record) {
	s.world.calls = append(s.world.calls, call{owner: s.owner, write: true, revision: revision, record: r})
}

// takeOver starts an owner with the next fencing number. Former owners go on.
func (w *world) takeOver() {
	w.fence++
	s := &ownerStore{world: w}
	s.owner = NewOwner(w.fence, s)
	w.owners = append(w.owners, s.owner)
	if len(w.owners) > 3 {
		w.owners = w.owners[1:]
	}
	w.wish(s.owner)
}

func (w *world) newest() *Owner { return w.owners[len(w.owners)-1] }

// wish gives an owner a new content over the living ranks. Where ranks are lost, the
// owner takes a living one for lost now and then, the leading one above all.
func (w *world) wish(o *Owner) {
	m := Map{Layers: []Layer{{Ranks: [][]Replica{{{Expert: w.random.IntN(1 << 20), Share: 1}}}}}}
	missed := -1
	if w.hit(rankLost, 2) {
		missed = w.random.IntN(2)
	}
	for _, r := range w.members {
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

func (w *world) post(from int, out []Envelope) {
	for _, e := range out {
		w.net = append(w.net, packet{from: from, to: e.To, message: e.Message})
		w.note(e.Message)
	}
}

// note keeps the content of every map that a leader names.
func (w *world) note(m Message) {
	switch x := m.(type) {
	case Switch:
		w.maps[x.Map.Ref] = x.Map
	case Stage:
		w.maps[x.Map.Ref] = x.Map
	}
}

// advance does one thing: it delivers a message, ends a call or a load, ticks, or
// brings about a fault.
func (w *world) advance() {
	w.events++
	w.disturb()
	switch {
	case len(w.calls) > 0 && w.random.IntN(4) == 0:
		w.answer()
	case len(w.net) > 0 && w.random.IntN(128) > 0:
		w.deliver()
	default:
		w.tick()
	}
}

func (w *world) tick() {
	for _, m := range w.members {
		if m.dead {
			continue
		}
		if m.stalled > 0 {
			m.stalled--
			continue
		}
		m.finishLoads()
		w.post(m.index, m.node.Tick())
	}
	for i, o := range w.owners {
		if w.paused[o] > 0 {
			w.paused[o]--
			continue
		}
		w.post(-1-i, o.Tick())
	}
	w.down = max(w.down-1, 0)
	w.net = append(w.net, w.parked...)
	w.parked = w.parked[:0]
}

func (m *member) finishLoads() {
	if len(m.loading) == 0 || m.world.has(weightsSlow) && m.world.random.IntN(8) > 0 {
		return
	}
	e := m.loading[0]
	m.loading = m.loading[1:]
	m.loaded = append(m.loaded, e)
	m.node.Rank.Loaded(e)
}

// answer ends one call to the platform.
func (w *world) answer() {
	i := w.random.IntN(len(w.calls))
	c := w.calls[i]
	if w.has(platformSlow) && w.random.IntN(8) > 0 {
		return
	}
	w.calls = slices.Delete(w.calls, i, i+1)
	if c.owner == nil {
		m := w.members[c.rank]
		m.reading = false
		if w.down == 0 && m.incarnation == c.incarnation && !m.dead {
			w.post(m.index, m.node.Fenced(w.record))
		}
		return
	}
	if w.down > 0 {
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
	if w.hit(answerLost, 2) {
		c.owner.Unknown()
		return
	}
	c.owner.Wrote(w.revision, w.record)
}

func (w *world) deliver() {
	i := 0
	if w.has(crossed) {
		i = w.random.IntN(len(w.net))
	}
	p := w.net[i]
	if w.hit(late, 20) {
		w.net = slices.Delete(w.net, i, i+1)
		w.parked = append(w.parked, p)
		return
	}
	if !w.hit(doubled, 10) {
		w.net = slices.Delete(w.net, i, i+1)
	}
	if w.hit(lost, 20) {
		return
	}
	w.hand(p)
}

func (w *world) hand(p packet) {
	if p.to < 0 {
		if i := -1 - p.to; i < len(w.owners) && w.paused[w.owners[i]] == 0 {
			w.owners[i].Report(p.message.(Report))
		}
		return
	}
	m := w.members[p.to]
	if m.dead {
		return
	}
	if m.stalled > 0 {
		w.parked = append(w.parked, p)
		return
	}
	if p.from < 0 {
		m.order(p)
		return
	}
	a, out := m.node.Step(p.message)
	w.post(m.index, out)
	if a == nil {
		return
	}
	if b, ok := p.message.(Begin); ok && a.Kind == Join {
		w.step(b.Step, b.Ref).joined |= 1 << m.index
	}
	w.net = append(w.net, packet{from: m.index, to: p.from, message: *a})
}

func (m *member) order(p packet) {
	refused := m.node.Refused
	r, out := m.node.Order(p.message)
	if m.node.Refused == refused {
		f := fenceOf(p.message)
		if f < m.fence {
			m.world.stale++
		}
		m.fence = max(m.fence, f)
	}
	m.world.post(m.index, out)
	m.world.net = append(m.world.net, packet{from: m.index, to: p.from, message: r})
}

func fenceOf(m Message) int64 {
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

func (w *world) has(f fault) bool { return w.faults[f] }

// hit reports whether a fault happens, once in about n times.
func (w *world) hit(f fault, n int) bool { return w.faults[f] && w.random.IntN(n) == 0 }

// disturb brings about the faults that are not tied to a message. The map to run
// changes at the same rate.
func (w *world) disturb() {
	if w.random.IntN(w.rate) > 0 {
		return
	}
	w.wish(w.owners[w.random.IntN(len(w.owners))])
	m := w.members[w.random.IntN(len(w.members))]
	if w.hit(rankRestarts, 2) {
		m.restart()
	}
	if w.hit(agentRestarts, 2) && !m.dead {
		m.start()
	}
	if w.hit(rankStalls, 2) {
		m.stalled = w.random.IntN(20)
	}
	if w.hit(rankLost, 2) {
		m.lose()
	}
	if w.hit(ownerPaused, 2) {
		w.paused[w.newest()] = w.random.IntN(40)
		w.takeOver()
	}
	if w.hit(twoOwners, 2) {
		w.takeOver()
	}
	if w.hit(platformDown, 2) {
		w.down = w.random.IntN(60)
	}
}

// restart restarts a rank: its weights are gone.
func (m *member) restart() {
	if m.dead {
		return
	}
	m.loaded = nil
	m.loading = nil
	m.start()
}

// lose ends a rank for good, or puts a new one with no weights in its place. One rank
// always lives.
func (m *member) lose() {
	others := func(o *member) bool { return o != m && !o.dead }
	switch {
	case m.dead:
		m.dead = false
		m.restart()
	case slices.ContainsFunc(m.world.members, others):
		m.dead = true
	}
}

// heal ends all faults.
func (w *world) heal() {
	w.faults = make([]bool, faultKinds)
	w.rate = 1 << 30
	w.down = 0
	clear(w.paused)
	for _, m := range w.members {
		m.stalled = 0
	}
}

// runFor advances until n more steps were computed by all ranks, or limit events passed.
func (w *world) runFor(n, limit int) bool {
	goal := w.whole + n
	for range limit {
		if w.whole >= goal {
			return true
		}
		w.advance()
	}
	return w.whole >= goal
}

// settled reports whether the newest owner has brought its wish into force.
func (w *world) settled() bool {
	o := w.newest()
	return o.Idle() && o.Record().Decided.Ref == w.record.Decided.Ref
}
