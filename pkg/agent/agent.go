package agent

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/admission"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/fairness"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/fence"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/poison"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/upstream"
)

// Options configure an agent.
type Options struct {
	Settings Settings
	Client   upstream.Client
	Recorder *event.Recorder
	Registry metrics.Registry
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Agent guards one upstream. It is safe for concurrent use.
type Agent struct {
	settings  Settings
	client    upstream.Client
	events    *event.Recorder
	now       func() time.Time
	startedAt time.Time
	config    configuration.Holder
	meters    meters

	mu          sync.Mutex
	wakeWorkers *sync.Cond
	fence       *fence.Fence
	queue       *fairness.Queue
	limiter     *admission.Limiter
	// verdicts are the requests known to crash upstreams.
	verdicts *poison.Table
	// recordedCold is the state of the limiter that was last recorded.
	recordedCold bool
	tasks        map[string]*task
	health       upstream.Health
	reachable    bool
	// lostRuns counts the lost runs. An answer to a health question that was asked before
	// the newest of them says nothing.
	lostRuns int
	// lossChecks counts the lost runs for which the upstream is being asked how it is.
	lossChecks        int
	leaving           bool
	listing           peer.Listed
	cache             cacheEventRelay
	zoneOut           bool
	stopped           bool
	meanServiceMillis float64

	workers sync.WaitGroup
	cancel  context.CancelFunc
}

// New returns an agent with a new incarnation.
func New(o Options) *Agent {
	if o.Now == nil {
		o.Now = time.Now
	}
	a := &Agent{
		settings:  o.Settings,
		client:    o.Client,
		events:    o.Recorder,
		now:       o.Now,
		meters:    newMeters(o.Registry),
		fence:     fence.New(fence.Options{Incarnation: uuid.NewString()}),
		startedAt: o.Now(),
		queue:     fairness.New(o.Settings.queueOptions()),
		limiter:   admission.New(o.Settings.Upstream.admissionOptions()),
		tasks:     map[string]*task{},
		verdicts:  poison.New(poison.Options{}),
	}
	a.wakeWorkers = sync.NewCond(&a.mu)
	return a
}

// Start starts the workers and the health probe.
func (a *Agent) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	for range a.settings.Upstream.MaxLimit {
		a.workers.Add(1)
		go a.runWorker()
	}
	a.workers.Add(1)
	go a.pollHealth(ctx)
}

// Leave refuses new and waiting work and waits until the running work has ended or
// ctx ends.
func (a *Agent) Leave(ctx context.Context) {
	a.mu.Lock()
	a.leaving = true
	a.rejectQueued(code.UpstreamLeaving)
	a.mu.Unlock()
	for ctx.Err() == nil && a.hasTasks() {
		sleep(ctx, leavePollInterval)
	}
}

// Stop ends the workers. Running work is cut off; call Leave first.
func (a *Agent) Stop() {
	a.mu.Lock()
	a.stopped = true
	for _, t := range a.tasks {
		t.cancel()
	}
	a.wakeWorkers.Broadcast()
	a.mu.Unlock()
	a.cancel()
	a.workers.Wait()
}

const leavePollInterval = 10 * time.Millisecond

func (a *Agent) hasTasks() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.tasks) > 0
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// updates returns what every message of this agent carries.
func (a *Agent) updates() peer.News {
	return peer.News{Stamp: a.events.Clock().Now(), ConfigVersion: a.config.View().Version()}
}
