package configstore_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/coltsfootpitch/coltsfootpitch/internal/bubble"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configstore"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
)

// propagationLimit is the time within which an accepted edit must be in force in all processes.
const propagationLimit = 9 * time.Second

// simulation is one run in virtual time: operators that make concurrent edits, a platform with
// faults, and processes that follow the platform or get updates from peers.
type simulation struct {
	platform  *fakePlatform
	processes []*process

	mu sync.Mutex
	// failures describes the invariants that were violated.
	failures []string
	accepted []acceptedEdit
	// rejected holds the IDs of edits that were reported as not accepted.
	rejected []string
	// requested holds the edits that operators tried, by ID.
	requested map[string]requestedEdit
	// resultCounts counts edits by their reported result.
	resultCounts map[string]int
}

// acceptedEdit is an edit that was reported to an operator as accepted.
type acceptedEdit struct {
	id      string
	version int64
}

func (sim *simulation) recordFailure(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.failures = append(sim.failures, fmt.Sprintf(format, args...))
}

// process is a simulated process with a document in force.
type process struct {
	simulation *simulation
	name       string
	// followsPlatform is set if the process follows the platform. All processes get updates from
	// peers.
	followsPlatform bool

	mu     sync.Mutex
	holder *configuration.Holder
	// adopted holds the documents adopted since the last start, oldest first.
	adopted []*configuration.Document
	down    bool
	frozen  bool
	cancel  context.CancelFunc
}

// start starts or restarts the process without a document.
func (proc *process) start() {
	ctx, cancel := context.WithCancel(context.Background())
	proc.mu.Lock()
	proc.holder = &configuration.Holder{}
	proc.adopted = nil
	proc.down = false
	proc.cancel = cancel
	proc.mu.Unlock()
	if proc.followsPlatform {
		s := configstore.New(proc.simulation.platform.client())
		go s.FollowWithOptions(ctx, configstore.FollowOptions{Adopt: proc.adopt, InForce: proc.current().Document, Author: proc.name})
	}
	go proc.gossip(ctx)
}

func (proc *process) stop() {
	proc.mu.Lock()
	defer proc.mu.Unlock()
	proc.cancel()
	proc.down = true
}

func (proc *process) setFrozen(on bool) {
	proc.mu.Lock()
	defer proc.mu.Unlock()
	proc.frozen = on
}

func (proc *process) current() *configuration.Holder {
	proc.mu.Lock()
	defer proc.mu.Unlock()
	return proc.holder
}

func (proc *process) isRunning() bool {
	proc.mu.Lock()
	defer proc.mu.Unlock()
	return !proc.down && !proc.frozen
}

func (proc *process) adopt(d *configuration.Document) {
	if proc.current().Adopt(d) {
		proc.recordAdopted(d)
	}
}

// recordAdopted checks that the version rises and stores the document for the oracle.
func (proc *process) recordAdopted(d *configuration.Document) {
	proc.mu.Lock()
	defer proc.mu.Unlock()
	if k := len(proc.adopted); k > 0 && proc.adopted[k-1].Version >= d.Version {
		proc.simulation.recordFailure("%s went from version %d to %d", proc.name, proc.adopted[k-1].Version, d.Version)
	}
	proc.adopted = append(proc.adopted, d)
}

// gossip requests updates from random peers until ctx ends. It also adopts documents that peers had
// before, which must not lower the version in force.
func (proc *process) gossip(ctx context.Context) {
	random := proc.simulation.platform.random
	for ctx.Err() == nil {
		time.Sleep(random.duration(400*time.Millisecond, 600*time.Millisecond))
		peer := proc.simulation.processes[random.intN(len(proc.simulation.processes))]
		if peer == proc || !proc.isRunning() || !peer.isRunning() || random.chance(0.1) {
			continue
		}
		proc.pullUpdate(peer)
		if old := peer.randomAdopted(); old != nil {
			// Stands for a message that was delayed for long or came from a peer that was frozen.
			proc.adopt(old)
		}
	}
}

// randomAdopted returns a random document that the process adopted since its start, or nil.
func (proc *process) randomAdopted() *configuration.Document {
	proc.mu.Lock()
	defer proc.mu.Unlock()
	if len(proc.adopted) == 0 {
		return nil
	}
	return proc.adopted[proc.simulation.platform.random.intN(len(proc.adopted))]
}

// pullUpdate applies an update from peer that was computed up to 300 ms earlier.
func (proc *process) pullUpdate(peer *process) {
	h := proc.current()
	u, newer, err := peer.current().UpdateFrom(h.View().Version())
	if err != nil {
		proc.simulation.recordFailure("update from %s: %v", peer.name, err)
	}
	if !newer {
		return
	}
	time.Sleep(proc.simulation.platform.random.duration(time.Millisecond, 300*time.Millisecond))
	adopted, err := h.ApplyUpdate(u)
	if err != nil && !errors.Is(err, configuration.ErrBaseMismatch) {
		proc.simulation.recordFailure("%s: apply update from %s: %v", proc.name, peer.name, err)
	}
	if adopted && proc.current() == h {
		proc.recordAdopted(h.Document())
	}
}

// editFunc changes one item of a document. The number makes the value unique.
type editFunc func(*configuration.Document, int)

// editKinds lists the kinds of edits that operators make.
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

// runOperator makes a number of edits as one operator and calls done.
func (sim *simulation) runOperator(operator, edits int, done func()) {
	defer done()
	random := sim.platform.random
	for i := range edits {
		time.Sleep(random.duration(0, 2*time.Second))
		sim.makeEdit(operator*1000+i, random.intN(finalKind))
	}
}

// finalKind is the kind of the final edit of a run. Operators make only kinds below it.
const finalKind = 5

// makeEdit loads the document and makes edit n of a kind, with a timeout that may end before the
// platform responds.
func (sim *simulation) makeEdit(n, kind int) {
	ctx, cancel := context.WithTimeout(context.Background(), sim.platform.random.duration(2*time.Second, 40*time.Second))
	defer cancel()
	s := configstore.New(sim.platform.client())
	base, _, err := s.Load(ctx)
	if err != nil || base == nil {
		return
	}
	edited := *base
	editKinds[kind](&edited, n)
	id := fmt.Sprintf("edit-%d", n)
	sim.recordRequest(id, requestedEdit{n, kind})
	r, err := s.Edit(ctx, configstore.Edit{ID: id, BaseVersion: base.Version, Document: &edited})
	sim.recordResult(id, r, err)
}

func (sim *simulation) recordRequest(id string, a requestedEdit) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.requested[id] = a
}

func (sim *simulation) recordResult(id string, r configstore.Result, err error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var conflict *configuration.Conflict
	switch {
	case err == nil:
		sim.accepted = append(sim.accepted, acceptedEdit{id, r.Version})
		sim.resultCounts["accepted"]++
	case errors.As(err, &conflict):
		sim.rejected = append(sim.rejected, id)
		sim.resultCounts["conflict"]++
	case errors.Is(err, configstore.ErrOutcomeUnknown):
		sim.resultCounts["outcome unknown"]++
	case errors.Is(err, configstore.ErrNotAccepted):
		sim.rejected = append(sim.rejected, id)
		sim.resultCounts["not accepted"]++
	default:
		sim.failures = append(sim.failures, fmt.Sprintf("edit %s: %v", id, err))
	}
}

// runPlan holds the parameters of a run.
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

// runSimulation runs a plan in virtual time and returns the simulation with its failures and
// results.
func runSimulation(t *testing.T, p runPlan) *simulation {
	sim := &simulation{resultCounts: map[string]int{}, requested: map[string]requestedEdit{}}
	bubble.Test(t, func(*testing.T) {
		sim.platform = newFakePlatform(p.seed)
		sim.platform.faults.lossy = p.seed%2 == 0
		store := configstore.New(sim.platform.direct())
		if _, err := store.Apply(context.Background(), initialDocument(p.organisations)); err != nil {
			sim.recordFailure("apply initial document: %v", err)
			return
		}
		for i := range p.processes {
			proc := &process{simulation: sim, name: fmt.Sprintf("node-%d", i), followsPlatform: i < p.followers}
			sim.processes = append(sim.processes, proc)
		}
		for _, proc := range sim.processes {
			proc.start()
		}
		sim.runOperators(p)
		sim.checkFinalEdit(store)
		sim.checkHistory(p.organisations)
		for _, proc := range sim.processes {
			proc.stop()
		}
		time.Sleep(time.Minute)
	})
	return sim
}

// runOperators runs the operators concurrently with faults until they are done.
func (sim *simulation) runOperators(p runPlan) {
	var operators sync.WaitGroup
	operators.Add(p.operators)
	for i := range p.operators {
		go sim.runOperator(i, p.editsPerOperator, operators.Done)
	}
	stop := make(chan struct{})
	go sim.injectFaults(stop)
	operators.Wait()
	close(stop)
	time.Sleep(20 * time.Second)
}

// injectFaults causes a random fault every 1 to 4 s until stop is closed.
func (sim *simulation) injectFaults(stop <-chan struct{}) {
	random := sim.platform.random
	for {
		select {
		case <-stop:
			return
		case <-time.After(random.duration(time.Second, 4*time.Second)):
		}
		switch random.intN(5) {
		case 0:
			sim.simulateOutage()
		case 1:
			sim.platform.faults.update(func(f *platformFaults) { f.slow = !f.slow })
		case 2:
			sim.platform.faults.update(func(f *platformFaults) { f.lossy = !f.lossy })
		case 3:
			proc := sim.processes[random.intN(len(sim.processes))]
			proc.setFrozen(true)
			time.AfterFunc(random.duration(time.Second, 15*time.Second), func() { proc.setFrozen(false) })
		case 4:
			proc := sim.processes[random.intN(len(sim.processes))]
			proc.stop()
			proc.start()
		}
	}
}

// simulateOutage takes the platform down, restarts a process that is not frozen, and checks that
// the process gets the newest document of its peers within propagationLimit.
func (sim *simulation) simulateOutage() {
	sim.platform.faults.update(func(f *platformFaults) { f.down = true })
	defer sim.platform.faults.update(func(f *platformFaults) { f.down = false })
	time.Sleep(10 * time.Second)
	proc := sim.processes[sim.platform.random.intN(len(sim.processes))]
	if !proc.isRunning() {
		return
	}
	proc.stop()
	var newest int64
	for _, peer := range sim.processes {
		if peer.isRunning() {
			newest = max(newest, peer.current().View().Version())
		}
	}
	proc.start()
	time.Sleep(propagationLimit)
	if got := proc.current().View().Version(); proc.isRunning() && got < newest {
		sim.recordFailure("%s was restarted during an outage and has version %d in force, its peers had %d", proc.name, got, newest)
	}
}

// checkFinalEdit clears all faults, makes a final edit and checks that all processes have it in
// force within propagationLimit.
func (sim *simulation) checkFinalEdit(store *configstore.Store) {
	sim.platform.faults.update(func(f *platformFaults) { f.down, f.slow, f.lossy = false, false, false })
	time.Sleep(20 * time.Second)
	d, _, err := store.Load(context.Background())
	if err != nil {
		sim.recordFailure("load before the final edit: %v", err)
		return
	}
	next := *d
	n := d.Limits.MaxAttempts
	editKinds[finalKind](&next, n)
	sim.recordRequest("last", requestedEdit{n, finalKind})
	r, err := store.Edit(context.Background(), configstore.Edit{ID: "last", BaseVersion: d.Version, Document: &next})
	if err != nil {
		sim.recordFailure("final edit: %v", err)
	}
	time.Sleep(propagationLimit)
	for _, proc := range sim.processes {
		if got := proc.current().View().Version(); got != r.Version {
			sim.recordFailure("%s has version %d in force, want %d", proc.name, got, r.Version)
		}
	}
}

// Guards against lost, repeated and torn edits: operators edit concurrently while the platform is
// down, slow, loses responses or returns old heads, and processes freeze and restart. The final
// edit must be in force in all processes.
func TestRacingEditsUnderFaults(t *testing.T) {
	total := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		sim := runSimulation(t, drawPlan(rt))
		for k, v := range sim.resultCounts {
			total[k] += v
		}
		if len(sim.failures) > 0 {
			rt.Fatalf("%d failures, first: %s", len(sim.failures), sim.failures[0])
		}
	})
	for _, k := range slices.Sorted(maps.Keys(total)) {
		t.Logf("%s: %d edits", k, total[k])
	}
}
