package configstore_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/configstore"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
)

// inForceLimit is the time within which an accepted edit is in force everywhere.
const inForceLimit = 9 * time.Second

// model is one run: operators that race, a platform with faults, and processes that
// follow it or learn from peers.
type model struct {
	cloud *cloud
	nodes []*node

	mu       sync.Mutex
	faults   []string
	accepted []acceptance
	refused  []string
	asked    map[string]asked
	results  map[string]int
}

// acceptance is an edit that an operator was told is accepted.
type acceptance struct {
	id      string
	version int64
}

func (m *model) fault(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = append(m.faults, fmt.Sprintf(format, args...))
}

// node is a process with its document.
type node struct {
	model   *model
	name    string
	follows bool

	mu      sync.Mutex
	holder  *configuration.Holder
	adopted []*configuration.Document
	down    bool
	frozen  bool
	cancel  context.CancelFunc
}

// start starts the process anew, without a document.
func (n *node) start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.mu.Lock()
	n.holder = &configuration.Holder{}
	n.adopted = nil
	n.down = false
	n.cancel = cancel
	n.mu.Unlock()
	if n.follows {
		s := configstore.New(n.model.cloud.client())
		go s.FollowWith(ctx, configstore.FollowOptions{Adopt: n.adopt, InForce: n.current().Document, Author: n.name})
	}
	go n.gossip(ctx)
}

func (n *node) stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cancel()
	n.down = true
}

func (n *node) freeze(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen = on
}

func (n *node) current() *configuration.Holder {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.holder
}

func (n *node) usable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.down && !n.frozen
}

func (n *node) adopt(d *configuration.Document) {
	if n.current().Adopt(d) {
		n.note(d)
	}
}

// note checks that the version only rises and keeps the document for the oracle.
func (n *node) note(d *configuration.Document) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if k := len(n.adopted); k > 0 && n.adopted[k-1].Version >= d.Version {
		n.model.fault("%s went from version %d to %d", n.name, n.adopted[k-1].Version, d.Version)
	}
	n.adopted = append(n.adopted, d)
}

// gossip asks one peer after the other and takes what is newer.
func (n *node) gossip(ctx context.Context) {
	d := n.model.cloud.dice
	for ctx.Err() == nil {
		time.Sleep(d.between(400*time.Millisecond, 600*time.Millisecond))
		p := n.model.nodes[d.below(len(n.model.nodes))]
		if p == n || !n.usable() || !p.usable() || d.chance(0.1) {
			continue
		}
		n.learn(p)
		if old := p.old(); old != nil {
			// A message that was under way for long, or a peer that was frozen.
			n.adopt(old)
		}
	}
}

// old returns some document that the process adopted since its start.
func (n *node) old() *configuration.Document {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.adopted) == 0 {
		return nil
	}
	return n.adopted[n.model.cloud.dice.below(len(n.adopted))]
}

// learn takes an update of p that may have been made some time ago.
func (n *node) learn(p *node) {
	h := n.current()
	u, newer, err := p.current().UpdateFrom(h.View().Version())
	if err != nil {
		n.model.fault("update from %s: %v", p.name, err)
	}
	if !newer {
		return
	}
	time.Sleep(n.model.cloud.dice.between(time.Millisecond, 300*time.Millisecond))
	took, err := h.Take(u)
	if err != nil && !errors.Is(err, configuration.ErrOtherBase) {
		n.model.fault("%s takes an update of %s: %v", n.name, p.name, err)
	}
	if took && n.current() == h {
		n.note(h.Document())
	}
}

// change is a change of one item by one operator.
type change func(*configuration.Document, int)

// changes lists what operators do; the number makes each value unique.
var changes = []change{
	func(d *configuration.Document, n int) {
		d.Organisations = slices.Clone(d.Organisations)
		d.Organisations[n%len(d.Organisations)].Weight = 2 + n%900
	},
	func(d *configuration.Document, n int) {
		d.Zones = slices.Clone(d.Zones)
		d.Zones[n%len(d.Zones)].Region = fmt.Sprintf("region-%d", n)
	},
	func(d *configuration.Document, n int) {
		d.Models = append(slices.Clone(d.Models), configuration.Model{Name: fmt.Sprintf("model-%d", n)})
	},
	func(d *configuration.Document, n int) {
		d.Services = append(slices.Clone(d.Services), configuration.Service{Name: fmt.Sprintf("service-%d", n)})
	},
	func(d *configuration.Document, n int) { d.Limits.DefaultTimeoutMillis = int64(1000 + n) },
	func(d *configuration.Document, n int) { d.Limits.MaxAttempts = 1 + n%10 },
}

// operate makes edits as one operator.
func (m *model) operate(operator, edits int, done func()) {
	defer done()
	d := m.cloud.dice
	for i := range edits {
		time.Sleep(d.between(0, 2*time.Second))
		m.edit(operator*1000+i, d.below(lastKind))
	}
}

// lastKind is the kind of the last edit of a run, and operators do not make it.
const lastKind = 5

// edit loads the document, changes it and applies it, with a patience that may end before
// the platform answers.
func (m *model) edit(n, kind int) {
	ctx, cancel := context.WithTimeout(context.Background(), m.cloud.dice.between(2*time.Second, 40*time.Second))
	defer cancel()
	s := configstore.New(m.cloud.client())
	base, _, err := s.Load(ctx)
	if err != nil || base == nil {
		return
	}
	mine := *base
	changes[kind](&mine, n)
	id := fmt.Sprintf("edit-%d", n)
	m.ask(id, asked{n, kind})
	r, err := s.Edit(ctx, configstore.Edit{ID: id, Base: base.Version, Mine: &mine})
	m.settle(id, r, err)
}

func (m *model) ask(id string, a asked) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asked[id] = a
}

func (m *model) settle(id string, r configstore.Result, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var conflict *configuration.Conflict
	switch {
	case err == nil:
		m.accepted = append(m.accepted, acceptance{id, r.Version})
		m.results["accepted"]++
	case errors.As(err, &conflict):
		m.refused = append(m.refused, id)
		m.results["conflict"]++
	case errors.Is(err, configstore.ErrUnsettled):
		m.results["unsettled"]++
	case errors.Is(err, configstore.ErrNotAccepted):
		m.refused = append(m.refused, id)
		m.results["not accepted"]++
	default:
		m.faults = append(m.faults, fmt.Sprintf("edit %s: %v", id, err))
	}
}

// plan is what rapid draws for a run.
type plan struct {
	seed          uint64
	organisations int
	operators     int
	edits         int
	nodes         int
	followers     int
}

func drawPlan(rt *rapid.T) plan {
	return plan{
		seed:          rapid.Uint64().Draw(rt, "seed"),
		organisations: rapid.IntRange(5, 40).Draw(rt, "organisations"),
		operators:     rapid.IntRange(3, 6).Draw(rt, "operators"),
		edits:         rapid.IntRange(3, 8).Draw(rt, "edits"),
		nodes:         rapid.IntRange(4, 10).Draw(rt, "nodes"),
		followers:     rapid.IntRange(1, 4).Draw(rt, "followers"),
	}
}

// run plays a plan in virtual time and returns the faults and the counts of results.
func run(t *testing.T, p plan) *model {
	m := &model{results: map[string]int{}, asked: map[string]asked{}}
	synctest.Test(t, func(*testing.T) {
		m.cloud = newCloud(p.seed)
		m.cloud.weather.lossy = p.seed%2 == 0
		store := configstore.New(m.cloud.direct())
		if _, err := store.Apply(context.Background(), first(p.organisations)); err != nil {
			m.fault("first document: %v", err)
			return
		}
		for i := range p.nodes {
			n := &node{model: m, name: fmt.Sprintf("node-%d", i), follows: i < p.followers}
			m.nodes = append(m.nodes, n)
		}
		for _, n := range m.nodes {
			n.start()
		}
		m.play(p)
		m.settleDown(store)
		m.check(p.organisations)
		for _, n := range m.nodes {
			n.stop()
		}
		time.Sleep(time.Minute)
	})
	return m
}

// play lets operators race while faults come and go, and waits for the operators.
func (m *model) play(p plan) {
	var operators sync.WaitGroup
	operators.Add(p.operators)
	for i := range p.operators {
		go m.operate(i, p.edits, operators.Done)
	}
	over := make(chan struct{})
	go m.disturb(over)
	operators.Wait()
	close(over)
	time.Sleep(20 * time.Second)
}

// disturb brings faults about until over is closed.
func (m *model) disturb(over <-chan struct{}) {
	d := m.cloud.dice
	for {
		select {
		case <-over:
			return
		case <-time.After(d.between(time.Second, 4*time.Second)):
		}
		switch d.below(5) {
		case 0:
			m.outage()
		case 1:
			m.cloud.weather.set(func(w *weather) { w.slow = !w.slow })
		case 2:
			m.cloud.weather.set(func(w *weather) { w.lossy = !w.lossy })
		case 3:
			n := m.nodes[d.below(len(m.nodes))]
			n.freeze(true)
			time.AfterFunc(d.between(time.Second, 15*time.Second), func() { n.freeze(false) })
		case 4:
			n := m.nodes[d.below(len(m.nodes))]
			n.stop()
			n.start()
		}
	}
}

// outage takes the platform down, restarts a process that does not freeze, and checks
// that it has the newest document of its peers within the limit.
func (m *model) outage() {
	m.cloud.weather.set(func(w *weather) { w.down = true })
	defer m.cloud.weather.set(func(w *weather) { w.down = false })
	time.Sleep(10 * time.Second)
	n := m.nodes[m.cloud.dice.below(len(m.nodes))]
	if !n.usable() {
		return
	}
	n.stop()
	var newest int64
	for _, p := range m.nodes {
		if p.usable() {
			newest = max(newest, p.current().View().Version())
		}
	}
	n.start()
	time.Sleep(inForceLimit)
	if got := n.current().View().Version(); n.usable() && got < newest {
		m.fault("%s restarted during an outage has version %d, its peers had %d", n.name, got, newest)
	}
}

// settleDown ends all faults, makes a last edit and checks that it is in force everywhere
// within the limit.
func (m *model) settleDown(store *configstore.Store) {
	m.cloud.weather.set(func(w *weather) { w.down, w.slow, w.lossy = false, false, false })
	time.Sleep(20 * time.Second)
	d, _, err := store.Load(context.Background())
	if err != nil {
		m.fault("load: %v", err)
		return
	}
	next := *d
	n := d.Limits.MaxAttempts
	changes[lastKind](&next, n)
	m.ask("last", asked{n, lastKind})
	r, err := store.Edit(context.Background(), configstore.Edit{ID: "last", Base: d.Version, Mine: &next})
	if err != nil {
		m.fault("last edit: %v", err)
	}
	time.Sleep(inForceLimit)
	for _, n := range m.nodes {
		if got := n.current().View().Version(); got != r.Version {
			m.fault("%s has version %d in force, want %d", n.name, got, r.Version)
		}
	}
}

func TestModel(t *testing.T) {
	total := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		m := run(t, drawPlan(rt))
		for k, v := range m.results {
			total[k] += v
		}
		if len(m.faults) > 0 {
			rt.Fatalf("%d faults, first: %s", len(m.faults), m.faults[0])
		}
	})
	for _, k := range slices.Sorted(maps.Keys(total)) {
		t.Logf("%s: %d edits", k, total[k])
	}
}
