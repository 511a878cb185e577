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
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Agent runs attempts at one upstream within its limits. It is safe for concurrent use.
type Agent struct {
	settings  Settings
	client    upstream.Client
	events    *event.Recorder
	now       func() time.Time
	startedAt time.Time
	config    configuration.Holder
	meters    meters

	// mu guards the fields below, up to the workers.
	mu sync.Mutex
	// wakeWorkers is signalled when a task may have become startable.
	wakeWorkers *sync.Cond
	fence       *fence.Fence
	queue       *fairness.Queue
	limiter     *admission.Limiter
	// verdicts holds the suspect, cleared and convicted requests.
	verdicts *poison.Table
	// recordedCold is set when the limiter was cold at the last recorded event.
	recordedCold bool
	// tasks holds the queued and running tasks by task ID.
	tasks map[string]*task
	// health is the result of the newest successful health check; reachable is set when the
	// newest health check was successful.
	health    upstream.Health
	reachable bool
	// lostRuns counts the runs that the upstream broke off. The result of a health check that
	// was requested before the newest of them is ignored.
	lostRuns int
	// lossChecks is the number of health checks in progress that follow a lost run. No work
	// starts while it is above zero.
	lossChecks int
	// leaving is set when the agent process is stopping.
	leaving bool
	// listing is the state of this instance in the instance list.
	listing peer.Listing
	cache   cacheEventRelay
	// zoneOut is set while the availability zone of the agent is taken out.
	zoneOut bool
	// stopped is set by Stop and ends the workers.
	stopped bool
	// meanServiceMillis is the moving average of the service time.
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

// Start starts the workers, one for each request of the warm limit, and the health probe.
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

// Leave rejects new and queued work and waits until the running work has ended or ctx ends.
func (a *Agent) Leave(ctx context.Context) {
	a.mu.Lock()
	a.leaving = true
	a.rejectQueued(code.UpstreamLeaving)
	a.mu.Unlock()
	for ctx.Err() == nil && a.hasTasks() {
		sleep(ctx, leavePollInterval)
	}
}

// Stop ends the workers. Running work is cancelled; call Leave first.
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

// leavePollInterval is the interval at which Leave checks for work in progress.
const leavePollInterval = 10 * time.Millisecond

// hasTasks reports whether attempts are queued or running.
func (a *Agent) hasTasks() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.tasks) > 0
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// senderState returns the timestamp and configuration version that every message of this agent
// carries.
func (a *Agent) senderState() peer.SenderState {
	return peer.SenderState{Stamp: a.events.Clock().Now(), ConfigVersion: a.config.View().Version()}
}
