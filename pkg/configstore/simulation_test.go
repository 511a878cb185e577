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

// propagationLimit is the time within which an accepted edit is in force everywhere.
const propagationLimit = 9 * time.Second

// simulation is one run: operators that race, a platform with faults, and processes that
// follow it or learn from peers.
type simulation struct {
	platform  *fakePlatform
	processes []*process

	mu           sync.Mutex
	failures     []string
	accepted     []acceptedEdit
	rejected     []string
	requested    map[string]requestedEdit
	resultCounts map[string]int
}

// acceptedEdit is an edit that an operator was told is accepted.
type acceptedEdit struct {
	id      string
	version int64
}

func (m *simulation) recordFailure(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failures = append(m.failures, fmt.Sprintf(format, args...))
}

// process is a process with its document.
type process struct {
	simulation      *simulation
	name            string
	followsPlatform bool

	mu      sync.Mutex
	holder  *configuration.Holder
	adopted []*configuration.Document
	down    bool
	frozen  bool
	cancel  context.CancelFunc
}

// start starts the process anew, without a document.
func (n *process) start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.mu.Lock()
	n.holder = &configuration.Holder{}
	n.adopted = nil
	n.down = false
	n.cancel = cancel
	n.mu.Unlock()
	if n.followsPlatform {
		s := configstore.New(n.simulation.platform.client())
		go s.FollowWith(ctx, configstore.FollowOptions{Adopt: n.adopt, InForce: n.current().Document, Author: n.name})
	}
	go n.gossip(ctx)
}

func (n *process) stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cancel()
	n.down = true
}

func (n *process) setFrozen(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen = on
}

func (n *process) current() *configuration.Holder {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.holder
}

func (n *process) isRunning() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.down && !n.frozen
}

func (n *process) adopt(d *configuration.Document) {
	if n.current().Adopt(d) {
		n.recordAdopted(d)
	}
}

// recordAdopted checks that the version only rises and keeps the document for the oracle.
func (n *process) recordAdopted(d *configuration.Document) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if k := len(n.adopted); k > 0 && n.adopted[k-1].Version >= d.Version {
		n.simulation.recordFailure("%s went from version %d to %d", n.name, n.adopted[k-1].Version, d.Version)
	}
	n.adopted = append(n.adopted, d)
}

// gossip asks one peer after the other and takes what is newer.
func (n *process) gossip(ctx context.Context) {
	d := n.simulation.platform.random
	for ctx.Err() == nil {
		time.Sleep(d.duration(400*time.Millisecond, 600*time.Millisecond))
		p := n.simulation.processes[d.intN(len(n.simulation.processes))]
		if p == n || !n.isRunning() || !p.isRunning() || d.chance(0.1) {
			continue
		}
		n.pullUpdate(p)
		if old := p.randomAdopted(); old != nil {
			// A message that was under way for long, or a peer that was frozen.
			n.adopt(old)
		}
	}
}

// randomAdopted returns some document that the process adopted since its start.
func (n *process) randomAdopted() *configuration.Document {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.adopted) == 0 {
		return nil
	}
	return n.adopted[n.simulation.platform.random.intN(len(n.adopted))]
}

// pullUpdate takes an update of p that may have been made some time ago.
func (n *process) pullUpdate(p *process) {
	h := n.current()
	u, newer, err := p.current().UpdateFrom(h.View().Version())
	if err != nil {
		n.simulation.recordFailure("update from %s: %v", p.name, err)
	}
	if !newer {
		return
	}
	time.Sleep(n.simulation.platform.random.duration(time.Millisecond, 300*time.Millisecond))
	took, err := h.Take(u)
	if err != nil && !errors.Is(err, configuration.ErrOtherBase) {
		n.simulation.recordFailure("%s takes an update of %s: %v", n.name, p.name, err)
	}
	if took && n.current() == h {
		n.recordAdopted(h.Document())
	}
}

// editFunc is a editFunc of one item by one operator.
type editFunc func(*configuration.Document, int)

// editKinds lists what operators do; the number makes each value unique.
var editKinds = []editFunc{
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

// runOperator makes edits as one operator.
func (m *simulation) runOperator(operator, edits int, done func()) {
	defer done()
	d := m.platform.random
	for i := range edits {
		time.Sleep(d.duration(0, 2*time.Second))
		m.makeEdit(operator*1000+i, d.intN(finalKind))
	}
}

// finalKind is the kind of the last edit of a run, and operators do not make it.
const finalKind = 5

// makeEdit loads the document, changes it and applies it, with a patience that may end before
// the platform answers.
func (m *simulation) makeEdit(n, kind int) {
	ctx, cancel := context.WithTimeout(context.Background(), m.platform.random.duration(2*time.Second, 40*time.Second))
	defer cancel()
	s := configstore.New(m.platform.client())
	base, _, err := s.Load(ctx)
	if err != nil || base == nil {
		return
	}
	mine := *base
	editKinds[kind](&mine, n)
	id := fmt.Sprintf("edit-%d", n)
	m.recordRequest(id, requestedEdit{n, kind})
	r, err := s.Edit(ctx, configstore.Edit{ID: id, Base: base.Version, Mine: &mine})
	m.recordResult(id, r, err)
}

func (m *simulation) recordRequest(id string, a requestedEdit) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requested[id] = a
}

func (m *simulation) recordResult(id string, r configstore.Result, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var conflict *configuration.Conflict
	switch {
	case err == nil:
		m.accepted = append(m.accepted, acceptedEdit{id, r.Version})
		m.resultCounts["accepted"]++
	case errors.As(err, &conflict):
		m.rejected = append(m.rejected, id)
		m.resultCounts["conflict"]++
	case errors.Is(err, configstore.ErrUnsettled):
		m.resultCounts["unsettled"]++
	case errors.Is(err, configstore.ErrNotAccepted):
		m.rejected = append(m.rejected, id)
		m.resultCounts["not accepted"]++
	default:
		m.failures = append(m.failures, fmt.Sprintf("edit %s: %v", id, err))
	}
}

// runPlan is what rapid draws for a run.
type runPlan struct {
	seed             uint64
	organisations    int
	operators        int
	editsPerOperator int
	processes        int
	followers        int
}

func drawPlan(rt *rapid.T) runPlan {
	return runPlan{
		seed:             rapid.Uint64().Draw(rt, "seed"),
		organisations:    rapid.IntRange(5, 40).Draw(rt, "organisations"),
		operators:        rapid.IntRange(3, 6).Draw(rt, "operators"),
		editsPerOperator: rapid.IntRange(3, 8).Draw(rt, "edits"),
		processes:        rapid.IntRange(4, 10).Draw(rt, "nodes"),
		followers:        rapid.IntRange(1, 4).Draw(rt, "followers"),
	}
}

// runSimulation plays a plan in virtual time and returns the faults and the counts of results.
func runSimulation(t *testing.T, p runPlan) *simulation {
	m := &simulation{resultCounts: map[string]int{}, requested: map[string]requestedEdit{}}
	synctest.Test(t, func(*testing.T) {
		m.platform = newFakePlatform(p.seed)
		m.platform.faults.lossy = p.seed%2 == 0
		store := configstore.New(m.platform.direct())
		if _, err := store.Apply(context.Background(), initialDocument(p.organisations)); err != nil {
			m.recordFailure("first document: %v", err)
			return
		}
		for i := range p.processes {
			n := &process{simulation: m, name: fmt.Sprintf("node-%d", i), followsPlatform: i < p.followers}
			m.processes = append(m.processes, n)
		}
		for _, n := range m.processes {
			n.start()
		}
		m.runOperators(p)
		m.checkFinalEdit(store)
		m.checkHistory(p.organisations)
		for _, n := range m.processes {
			n.stop()
		}
		time.Sleep(time.Minute)
	})
	return m
}

// runOperators lets operators race while faults come and go, and waits for the operators.
func (m *simulation) runOperators(p runPlan) {
	var operators sync.WaitGroup
	operators.Add(p.operators)
	for i := range p.operators {
		go m.runOperator(i, p.editsPerOperator, operators.Done)
	}
	over := make(chan struct{})
	go m.injectFaults(over)
	operators.Wait()
	close(over)
	time.Sleep(20 * time.Second)
}

// injectFaults brings faults about until over is closed.
func (m *simulation) injectFaults(over <-chan struct{}) {
	d := m.platform.random
	for {
		select {
		case <-over:
			return
		case <-time.After(d.duration(time.Second, 4*time.Second)):
		}
		switch d.intN(5) {
		case 0:
			m.simulateOutage()
		case 1:
			m.platform.faults.update(func(w *platformFaults) { w.slow = !w.slow })
		case 2:
			m.platform.faults.update(func(w *platformFaults) { w.lossy = !w.lossy })
		case 3:
			n := m.processes[d.intN(len(m.processes))]
			n.setFrozen(true)
			time.AfterFunc(d.duration(time.Second, 15*time.Second), func() { n.setFrozen(false) })
		case 4:
			n := m.processes[d.intN(len(m.processes))]
			n.stop()
			n.start()
		}
	}
}

// simulateOutage takes the platform down, restarts a process that does not freeze, and checks
// that it has the newest document of its peers within the limit.
func (m *simulation) simulateOutage() {
	m.platform.faults.update(func(w *platformFaults) { w.down = true })
	defer m.platform.faults.update(func(w *platformFaults) { w.down = false })
	time.Sleep(10 * time.Second)
	n := m.processes[m.platform.random.intN(len(m.processes))]
	if !n.isRunning() {
		return
	}
	n.stop()
	var newest int64
	for _, p := range m.processes {
		if p.isRunning() {
			newest = max(newest, p.current().View().Version())
		}
	}
	n.start()
	time.Sleep(propagationLimit)
	if got := n.current().View().Version(); n.isRunning() && got < newest {
		m.recordFailure("%s restarted during an outage has version %d, its peers had %d", n.name, got, newest)
	}
}

// checkFinalEdit ends all faults, makes a last edit and checks that it is in force everywhere
// within the limit.
func (m *simulation) checkFinalEdit(store *configstore.Store) {
	m.platform.faults.update(func(w *platformFaults) { w.down, w.slow, w.lossy = false, false, false })
	time.Sleep(20 * time.Second)
	d, _, err := store.Load(context.Background())
	if err != nil {
		m.recordFailure("load: %v", err)
		return
	}
	next := *d
	n := d.Limits.MaxAttempts
	editKinds[finalKind](&next, n)
	m.recordRequest("last", requestedEdit{n, finalKind})
	r, err := store.Edit(context.Background(), configstore.Edit{ID: "last", Base: d.Version, Mine: &next})
	if err != nil {
		m.recordFailure("last edit: %v", err)
	}
	time.Sleep(propagationLimit)
	for _, n := range m.processes {
		if got := n.current().View().Version(); got != r.Version {
			m.recordFailure("%s has version %d in force, want %d", n.name, got, r.Version)
		}
	}
}

func TestRacingEditsUnderFaults(t *testing.T) {
	total := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		m := runSimulation(t, drawPlan(rt))
		for k, v := range m.resultCounts {
			total[k] += v
		}
		if len(m.failures) > 0 {
			rt.Fatalf("%d faults, first: %s", len(m.failures), m.failures[0])
		}
	})
	for _, k := range slices.Sorted(maps.Keys(total)) {
		t.Logf("%s: %d edits", k, total[k])
	}
}
