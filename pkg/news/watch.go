package news

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/instancelist"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/membership"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

// Options configure a watch. All fields but Membership and Registry must be set.
type Options struct {
	Name        string
	Zone        string
	Region      string
	Config      *configuration.Holder
	List        *instancelist.Table
	Events      *event.Recorder
	Credentials peer.Credentials
	// Membership holds the times of the detector; the zero value means the defaults.
	Membership membership.Options
	// Registry counts; nil means a private registry.
	Registry metrics.Registry
}

// Watch probes the neighbours and agents of an entry. It is safe for concurrent use.
type Watch struct {
	opts        Options
	incarnation string
	jobs        chan func(context.Context)
	probes      metrics.Counter
	suspects    metrics.Counter
	dead        metrics.Counter
	handed      metrics.Counter

	mu       sync.Mutex
	detector *membership.Detector
	clients  map[string]*peer.Client
	// known holds the last incarnation that answered, and conns the connection that it answered on.
	known map[string]string
	conns map[string]*jsonrpc2.Conn
	// versions holds the newest version of the configuration known of each process.
	versions map[string]int64
	// handTo are the processes that changes are handed on to at once.
	handTo []string
}

const (
	// tickInterval is the time between two looks at the clock.
	tickInterval = 100 * time.Millisecond
	// workers is the number of calls under way at a time, and backlog that of those that wait.
	workers = 8
	backlog = 1024
	// handLimit bounds a call that hands on the configuration or the list.
	handLimit = 5 * time.Second
)

// New returns a watch without neighbours.
func New(o Options) *Watch {
	if o.Membership == (membership.Options{}) {
		o.Membership = membership.DefaultOptions()
	}
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	return &Watch{
		opts:        o,
		incarnation: uuid.NewString(),
		jobs:        make(chan func(context.Context), backlog),
		probes:      metrics.GetOrRegisterCounter("membership_probes", o.Registry),
		suspects:    metrics.GetOrRegisterCounter("membership_suspects", o.Registry),
		dead:        metrics.GetOrRegisterCounter("membership_dead", o.Registry),
		handed:      metrics.GetOrRegisterCounter("news_handed_on", o.Registry),
		detector:    membership.NewDetector(o.Membership),
		clients:     map[string]*peer.Client{},
		known:       map[string]string{},
		conns:       map[string]*jsonrpc2.Conn{},
		versions:    map[string]int64{},
	}
}

// Register adds the methods that other entries call.
func (w *Watch) Register(s *peer.Server) {
	peer.Handle(s, peer.MethodProbe, w.answerProbe)
	peer.Handle(s, MethodConfirm, w.confirm)
	peer.Handle(s, MethodInstances, w.instances)
}

// Run watches until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	var all sync.WaitGroup
	for range workers {
		all.Go(func() { w.work(ctx) })
	}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		w.step(func(now time.Time) membership.Actions { return w.detector.Tick(now) })
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	all.Wait()
	w.closeAll()
}

func (w *Watch) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-w.jobs:
			job(ctx)
		}
	}
}

// later runs a job on a worker; when too many wait it is dropped and the next probe makes it good.
func (w *Watch) later(job func(context.Context)) {
	select {
	case w.jobs <- job:
	default:
	}
}

// SetInstances takes in the instance list and chooses anew whom to watch.
func (w *Watch) SetInstances(list []instancelist.Instance) {
	targets := choose(w.opts, list)
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, c := range w.clients {
		if t, ok := targets[id]; !ok || t.control != c.Address() {
			w.detector.Forget(id)
			delete(w.clients, id)
			delete(w.known, id)
			delete(w.conns, id)
			delete(w.versions, id)
			c.Close()
		}
	}
	w.handTo = w.handTo[:0]
	now := time.Now()
	for id, t := range targets {
		if w.clients[id] == nil {
			w.clients[id] = peer.NewClient(t.control, w.opts.Credentials)
		}
		if t.hand {
			w.handTo = append(w.handTo, id)
		}
		if t.far {
			w.detector.WatchFar(now, id)
		} else {
			w.detector.Watch(now, id, t.others)
		}
	}
}

// step makes one step of the detector and carries out what it asks for.
func (w *Watch) step(f func(time.Time) membership.Actions) {
	w.mu.Lock()
	a := f(time.Now())
	w.mu.Unlock()
	for _, p := range a.Probes {
		w.later(func(ctx context.Context) { w.probe(ctx, p.ID) })
	}
	for _, c := range a.Confirms {
		w.later(func(ctx context.Context) { w.ask(ctx, c) })
	}
	for _, c := range a.Changes {
		w.note(c)
	}
}

// note records a change in the time line.
func (w *Watch) note(c membership.Change) {
	switch c.To {
	case membership.Suspect:
		w.suspects.Inc(1)
	case membership.Dead:
		w.dead.Inc(1)
		w.opts.Events.Record(event.Event{Kind: event.ProcessDead, Upstream: c.ID, Detail: "incarnation " + c.Incarnation})
	case membership.Alive, membership.Unreachable:
		if c.From == membership.Dead {
			w.opts.Events.Record(event.Event{Kind: event.ProcessBack, Upstream: c.ID, Detail: "incarnation " + c.Incarnation})
		}
	}
}

func (w *Watch) client(id string) *peer.Client {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clients[id]
}

func (w *Watch) closeAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.clients {
		c.Close()
	}
}

// probe asks a process for its versions and hands on what it lacks.
func (w *Watch) probe(ctx context.Context, id string) {
	c := w.client(id)
	if c == nil {
		return
	}
	w.probes.Inc(1)
	r, err := w.call(ctx, c)
	if errors.Is(err, syscall.ECONNREFUSED) {
		// The host answers and nobody listens: the process has ended.
		w.step(func(time.Time) membership.Actions { return w.detector.Closed(id, w.known[id]) })
	}
	if err != nil {
		return
	}
	w.step(func(now time.Time) membership.Actions {
		w.known[id] = r.Incarnation
		return w.detector.Answered(now, id, r.Incarnation)
	})
	w.follow(ctx, id, c)
	w.handOn(ctx, id, c, r)
}

// follow probes a process at once when its connection closes.
func (w *Watch) follow(ctx context.Context, id string, c *peer.Client) {
	conn, err := c.Connect(ctx)
	if err != nil {
		return
	}
	w.mu.Lock()
	followed := w.conns[id] == conn || w.clients[id] != c
	if !followed {
		w.conns[id] = conn
	}
	w.mu.Unlock()
	if followed {
		return
	}
	go func() {
		select {
		case <-ctx.Done():
		case <-conn.DisconnectNotify():
			w.later(func(ctx context.Context) { w.probe(ctx, id) })
		}
	}()
}

func (w *Watch) call(ctx context.Context, c *peer.Client) (peer.ProbeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, w.opts.Membership.Timeout)
	defer cancel()
	revision, _ := w.opts.List.Position()
	return peer.Call[peer.ProbeResult](ctx, c, peer.MethodProbe, peer.ProbeRequest{
		Config: w.opts.Config.View().Version(), List: revision,
	})
}

// handOn gives a process the configuration and the instance list that it lacks. A failed call
// is made good after the next probe.
func (w *Watch) handOn(ctx context.Context, id string, c *peer.Client, r peer.ProbeResult) {
	ctx, cancel := context.WithTimeout(ctx, handLimit)
	defer cancel()
	w.inform(ctx, id, c, r.Config)
	if revision, _ := w.opts.List.Position(); r.Cut && r.List < revision {
		w.handed.Inc(1)
		_, _ = peer.Call[InstancesResult](ctx, c, MethodInstances, InstancesRequest{List: w.opts.List.Snapshot()})
	}
}

// inform hands the configuration to a process that was last known to have a version. What it
// has afterwards is remembered, so that the next change needs no probe.
func (w *Watch) inform(ctx context.Context, id string, c *peer.Client, has int64) {
	version := w.opts.Config.View().Version()
	if has < version {
		w.handed.Inc(1)
		has, _ = peer.Inform(ctx, c, peer.News{Stamp: w.opts.Events.Clock().Now(), ConfigVersion: version}, w.opts.Config, has)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clients[id] == c {
		w.versions[id] = max(w.versions[id], has)
	}
}

// ProbeAll probes all watched processes once and returns when that is done.
func (w *Watch) ProbeAll(ctx context.Context) {
	w.mu.Lock()
	ids := slices.Collect(maps.Keys(w.clients))
	w.mu.Unlock()
	for _, id := range ids {
		w.probe(ctx, id)
	}
}

// Spread hands the configuration on at once to the children in the trees and the watched
// agents. Call it when a document was put in force.
func (w *Watch) Spread() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range w.handTo {
		w.later(func(ctx context.Context) { w.push(ctx, id) })
	}
}

// push hands the configuration to a process that has answered before.
func (w *Watch) push(ctx context.Context, id string) {
	w.mu.Lock()
	c, has := w.clients[id], w.versions[id]
	w.mu.Unlock()
	if c == nil || has == 0 {
		// A process that has not answered yet is informed after its first answer.
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handLimit)
	defer cancel()
	w.inform(ctx, id, c, has)
}

// ask asks another watcher to probe a suspect.
func (w *Watch) ask(ctx context.Context, c membership.Confirm) {
	suspect, other := w.client(c.ID), w.other(c.By)
	if suspect == nil || other == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, w.opts.Membership.Suspicion)
	defer cancel()
	r, err := peer.Call[ConfirmResult](ctx, other, MethodConfirm, ConfirmRequest{ID: c.ID, Control: suspect.Address()})
	if err == nil {
		w.step(func(time.Time) membership.Actions { return w.detector.Confirmed(c.ID, r.Reached) })
	}
}

// other returns a client of another watcher, which need not be a neighbour.
func (w *Watch) other(id string) *peer.Client {
	if c := w.client(id); c != nil {
		return c
	}
	for _, i := range w.opts.List.All() {
		if i.ID == id && i.Control != "" {
			return peer.NewClient(i.Control, w.opts.Credentials)
		}
	}
	return nil
}

// confirm probes a process for another watcher, on a connection of its own.
func (w *Watch) confirm(ctx context.Context, _ *jsonrpc2.Conn, r ConfirmRequest) (ConfirmResult, error) {
	c := peer.NewClient(r.Control, w.opts.Credentials)
	defer c.Close()
	_, err := w.call(ctx, c)
	return ConfirmResult{Reached: err == nil}, nil
}

func (w *Watch) answerProbe(context.Context, *jsonrpc2.Conn, peer.ProbeRequest) (peer.ProbeResult, error) {
	revision, following := w.opts.List.Position()
	return peer.ProbeResult{
		Config: w.opts.Config.View().Version(), List: revision, Cut: !following, Incarnation: w.incarnation,
	}, nil
}

func (w *Watch) instances(_ context.Context, _ *jsonrpc2.Conn, r InstancesRequest) (InstancesResult, error) {
	if w.opts.List.Take(r.List) {
		w.opts.Events.Record(event.Event{Kind: event.InstancesTaken, Detail: "the list of a peer"})
	}
	revision, _ := w.opts.List.Position()
	return InstancesResult{Revision: revision}, nil
}
