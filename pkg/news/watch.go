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

// Options configures a Watcher. All fields but Membership and Registry must be set.
type Options struct {
	// Name, Zone and Region are those of this entry in the instance list.
	Name        string
	Zone        string
	Region      string
	Config      *configuration.Holder
	List        *instancelist.Cache
	Events      *event.Recorder
	Credentials peer.Credentials
	// Membership configures the failure detector; the zero value means the defaults.
	Membership membership.Options
	// Registry receives the metrics; nil means a private registry.
	Registry metrics.Registry
}

// Watcher probes the neighbours and agents of an entry and sends them updates. It is safe for
// concurrent use.
type Watcher struct {
	opts Options
	// incarnation identifies this run of the process in responses to probes.
	incarnation  string
	jobs         chan func(context.Context)
	probeCount   metrics.Counter
	suspectCount metrics.Counter
	deathCount   metrics.Counter
	// updateCount counts the configurations and instance lists sent.
	updateCount metrics.Counter

	mu       sync.Mutex
	detector *membership.Detector
	clients  map[string]*peer.Client
	// incarnations holds the incarnation of each process that responded last, and conns the
	// connection that is watched for its end.
	incarnations map[string]string
	conns        map[string]*jsonrpc2.Conn
	// configVersions holds the newest configuration version that each process reported.
	configVersions map[string]int64
	// pushTargets holds the IDs of the processes to which changes are sent at once.
	pushTargets []string
}

const (
	// tickInterval is the time between two ticks of the detector.
	tickInterval = 100 * time.Millisecond
	// workerCount is the maximum number of concurrent jobs, and maxQueuedJobs that of waiting jobs.
	workerCount   = 8
	maxQueuedJobs = 1024
	// updateTimeout limits the calls that send the configuration and the instance list.
	updateTimeout = 5 * time.Second
)

// New returns a Watcher without targets. SetInstances sets them.
func New(o Options) *Watcher {
	if o.Membership == (membership.Options{}) {
		o.Membership = membership.DefaultOptions()
	}
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	return &Watcher{
		opts:           o,
		incarnation:    uuid.NewString(),
		jobs:           make(chan func(context.Context), maxQueuedJobs),
		probeCount:     metrics.GetOrRegisterCounter("membership_probes", o.Registry),
		suspectCount:   metrics.GetOrRegisterCounter("membership_suspects", o.Registry),
		deathCount:     metrics.GetOrRegisterCounter("membership_dead", o.Registry),
		updateCount:    metrics.GetOrRegisterCounter("news_handed_on", o.Registry),
		detector:       membership.NewDetector(o.Membership),
		clients:        map[string]*peer.Client{},
		incarnations:   map[string]string{},
		conns:          map[string]*jsonrpc2.Conn{},
		configVersions: map[string]int64{},
	}
}

// Register registers the methods that other entries call.
func (w *Watcher) Register(s *peer.Server) {
	peer.Handle(s, peer.MethodProbe, w.serveProbe)
	peer.Handle(s, MethodConfirm, w.serveConfirm)
	peer.Handle(s, MethodInstances, w.serveInstances)
}

// Run probes the targets until ctx ends, and then closes all connections.
func (w *Watcher) Run(ctx context.Context) {
	var jobRunners sync.WaitGroup
	for range workerCount {
		jobRunners.Go(func() { w.runJobs(ctx) })
	}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		w.stepDetector(func(now time.Time) membership.Actions { return w.detector.Tick(now) })
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	jobRunners.Wait()
	w.closeClients()
}

func (w *Watcher) runJobs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-w.jobs:
			job(ctx)
		}
	}
}

// enqueue schedules a job. If the queue is full the job is dropped; the next probe compensates
// for it.
func (w *Watcher) enqueue(job func(context.Context)) {
	select {
	case w.jobs <- job:
	default:
	}
}

// SetInstances selects the targets from a new instance list.
func (w *Watcher) SetInstances(list []instancelist.Instance) {
	targets := selectTargets(w.opts, list)
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, c := range w.clients {
		if t, ok := targets[id]; !ok || t.controlAddress != c.Address() {
			w.detector.Unwatch(id)
			delete(w.clients, id)
			delete(w.incarnations, id)
			delete(w.conns, id)
			delete(w.configVersions, id)
			c.Close()
		}
	}
	w.pushTargets = w.pushTargets[:0]
	now := time.Now()
	for id, t := range targets {
		if w.clients[id] == nil {
			w.clients[id] = peer.NewClient(t.controlAddress, w.opts.Credentials)
		}
		if t.push {
			w.pushTargets = append(w.pushTargets, id)
		}
		if t.otherZone {
			w.detector.WatchOtherZone(now, id)
		} else {
			w.detector.Watch(now, id, t.otherWatchers)
		}
	}
}

// stepDetector calls f, which advances the detector, and executes the returned actions.
func (w *Watcher) stepDetector(f func(time.Time) membership.Actions) {
	w.mu.Lock()
	a := f(time.Now())
	w.mu.Unlock()
	for _, p := range a.Probes {
		w.enqueue(func(ctx context.Context) { w.probe(ctx, p.ID) })
	}
	for _, c := range a.Confirms {
		w.enqueue(func(ctx context.Context) { w.requestConfirm(ctx, c) })
	}
	for _, c := range a.Changes {
		w.recordChange(c)
	}
}

// recordChange counts a state change and records deaths and recoveries in the event timeline.
func (w *Watcher) recordChange(c membership.StateChange) {
	switch c.To {
	case membership.Suspect:
		w.suspectCount.Inc(1)
	case membership.Dead:
		w.deathCount.Inc(1)
		w.opts.Events.Record(event.Event{Kind: event.ProcessDead, Upstream: c.ID, Detail: "incarnation " + c.Incarnation})
	case membership.Alive, membership.Unreachable:
		if c.From == membership.Dead {
			w.opts.Events.Record(event.Event{Kind: event.ProcessBack, Upstream: c.ID, Detail: "incarnation " + c.Incarnation})
		}
	}
}

func (w *Watcher) client(id string) *peer.Client {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clients[id]
}

func (w *Watcher) closeClients() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.clients {
		c.Close()
	}
}

// probe requests the versions of a process and sends it the updates that it lacks.
func (w *Watcher) probe(ctx context.Context, id string) {
	c := w.client(id)
	if c == nil {
		return
	}
	w.probeCount.Inc(1)
	r, err := w.exchangeProbe(ctx, c)
	if errors.Is(err, syscall.ECONNREFUSED) {
		// The host responds but no process listens on the port, so the process has exited.
		w.stepDetector(func(time.Time) membership.Actions { return w.detector.HandleConnectionClosed(id, w.incarnations[id]) })
	}
	if err != nil {
		return
	}
	w.stepDetector(func(now time.Time) membership.Actions {
		w.incarnations[id] = r.Incarnation
		return w.detector.HandleResponse(now, id, r.Incarnation)
	})
	w.watchConnection(ctx, id, c)
	w.sendMissing(ctx, id, c, r)
}

// watchConnection probes a process at once when the connection to it closes. It has no effect if
// the connection is watched already.
func (w *Watcher) watchConnection(ctx context.Context, id string, c *peer.Client) {
	conn, err := c.Connect(ctx)
	if err != nil {
		return
	}
	w.mu.Lock()
	skip := w.conns[id] == conn || w.clients[id] != c
	if !skip {
		w.conns[id] = conn
	}
	w.mu.Unlock()
	if skip {
		return
	}
	go func() {
		select {
		case <-ctx.Done():
		case <-conn.DisconnectNotify():
			w.enqueue(func(ctx context.Context) { w.probe(ctx, id) })
		}
	}()
}

// exchangeProbe sends a probe with the versions of this entry and returns the response.
func (w *Watcher) exchangeProbe(ctx context.Context, c *peer.Client) (peer.ProbeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, w.opts.Membership.ProbeTimeout)
	defer cancel()
	revision, _ := w.opts.List.Position()
	return peer.Call[peer.ProbeResult](ctx, c, peer.MethodProbe, peer.ProbeRequest{
		ConfigVersion: w.opts.Config.View().Version(), ListRevision: revision,
	})
}

// sendMissing sends a process the configuration and the instance list if its versions are older.
// A failed call is repeated after the next probe.
func (w *Watcher) sendMissing(ctx context.Context, id string, c *peer.Client, r peer.ProbeResult) {
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	w.sendConfig(ctx, id, c, r.ConfigVersion)
	if revision, _ := w.opts.List.Position(); r.PlatformUnreachable && r.ListRevision < revision {
		w.updateCount.Inc(1)
		_, _ = peer.Call[InstancesResult](ctx, c, MethodInstances, InstancesRequest{List: w.opts.List.Snapshot()})
	}
}

// sendConfig sends the configuration to a process whose last known version is older. It stores the
// version that the process has afterwards, so that the next change needs no probe.
func (w *Watcher) sendConfig(ctx context.Context, id string, c *peer.Client, peerVersion int64) {
	version := w.opts.Config.View().Version()
	if peerVersion < version {
		w.updateCount.Inc(1)
		peerVersion, _ = peer.SendConfiguration(ctx, c, peer.SenderState{Stamp: w.opts.Events.Clock().Now(), ConfigVersion: version}, w.opts.Config, peerVersion)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clients[id] == c {
		w.configVersions[id] = max(w.configVersions[id], peerVersion)
	}
}

// ProbeAll probes all watched processes once and returns when all probes have ended.
func (w *Watcher) ProbeAll(ctx context.Context) {
	w.mu.Lock()
	ids := slices.Collect(maps.Keys(w.clients))
	w.mu.Unlock()
	for _, id := range ids {
		w.probe(ctx, id)
	}
}

// DistributeConfig sends the configuration at once to the children in the trees, to the relays of
// other zones if this entry is a relay, and to the watched agents. It must be called after each
// change of the configuration.
func (w *Watcher) DistributeConfig() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range w.pushTargets {
		w.enqueue(func(ctx context.Context) { w.pushConfig(ctx, id) })
	}
}

// pushConfig sends the configuration to a process that has responded before.
func (w *Watcher) pushConfig(ctx context.Context, id string) {
	w.mu.Lock()
	c, peerVersion := w.clients[id], w.configVersions[id]
	w.mu.Unlock()
	if c == nil || peerVersion == 0 {
		// A process that has not responded yet receives the configuration after its first response.
		return
	}
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	w.sendConfig(ctx, id, c, peerVersion)
}

// requestConfirm requests that another watcher probe a suspect, and records the result.
func (w *Watcher) requestConfirm(ctx context.Context, c membership.Confirm) {
	suspect, other := w.client(c.ID), w.watcherClient(c.Watcher)
	if suspect == nil || other == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, w.opts.Membership.SuspicionTimeout)
	defer cancel()
	r, err := peer.Call[ConfirmResult](ctx, other, MethodConfirm, ConfirmRequest{ID: c.ID, ControlAddress: suspect.Address()})
	if err == nil {
		w.stepDetector(func(time.Time) membership.Actions { return w.detector.HandleConfirmResult(c.ID, r.Reached) })
	}
}

// watcherClient returns a client for another watcher, even if this entry does not probe it. It
// returns nil if the watcher is not in the instance list.
func (w *Watcher) watcherClient(id string) *peer.Client {
	if c := w.client(id); c != nil {
		return c
	}
	for _, i := range w.opts.List.All() {
		if i.ID == id && i.ControlAddress != "" {
			return peer.NewClient(i.ControlAddress, w.opts.Credentials)
		}
	}
	return nil
}

// serveConfirm probes a process for another watcher, on a new connection.
func (w *Watcher) serveConfirm(ctx context.Context, _ *jsonrpc2.Conn, r ConfirmRequest) (ConfirmResult, error) {
	c := peer.NewClient(r.ControlAddress, w.opts.Credentials)
	defer c.Close()
	_, err := w.exchangeProbe(ctx, c)
	return ConfirmResult{Reached: err == nil}, nil
}

func (w *Watcher) serveProbe(context.Context, *jsonrpc2.Conn, peer.ProbeRequest) (peer.ProbeResult, error) {
	revision, following := w.opts.List.Position()
	return peer.ProbeResult{
		ConfigVersion: w.opts.Config.View().Version(), ListRevision: revision, PlatformUnreachable: !following, Incarnation: w.incarnation,
	}, nil
}

func (w *Watcher) serveInstances(_ context.Context, _ *jsonrpc2.Conn, r InstancesRequest) (InstancesResult, error) {
	if w.opts.List.AdoptPeerList(r.List) {
		w.opts.Events.Record(event.Event{Kind: event.InstanceListTaken, Detail: "the list of a peer"})
	}
	revision, _ := w.opts.List.Position()
	return InstancesResult{Revision: revision}, nil
}
