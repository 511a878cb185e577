package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/poison"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/poisonstore"
)

const (
	// broadcastTimeout limits how long a response is delayed while a verdict is sent to the
	// other processes.
	broadcastTimeout = 300 * time.Millisecond
	// maxBroadcastCalls is the number of concurrent calls of a broadcast.
	maxBroadcastCalls = 32
	// isolatedRunMaxWait is how long a request waits for the isolated run of a request with the
	// same fingerprint at another entry.
	isolatedRunMaxWait = 5 * time.Second
	// isolatedRunPollInterval is the interval of the checks whether that isolated run has ended.
	isolatedRunPollInterval = 50 * time.Millisecond
	// endIsolatedRunTimeout is the timeout of the platform calls that end an isolated run.
	endIsolatedRunTimeout = 3 * time.Second
)

// Quarantine prevents requests that may crash upstreams from running at the same time as
// others. A suspect request runs only in an isolated run, and a convicted one not at all. It is
// safe for concurrent use.
type Quarantine struct {
	table *InstanceTable
	store *poisonstore.Store

	mu       sync.Mutex
	verdicts *poison.Table

	// rejectedRequests counts rejected requests with a convicted fingerprint.
	rejectedRequests metrics.Counter
	// isolatedRuns counts the isolated runs of this entry.
	isolatedRuns metrics.Counter
}

// NewQuarantine returns a quarantine that receives verdicts with the statuses of the table.
func NewQuarantine(t *InstanceTable, store *poisonstore.Store, r metrics.Registry) *Quarantine {
	q := &Quarantine{
		table:            t,
		store:            store,
		verdicts:         poison.New(poison.Options{}),
		rejectedRequests: metrics.GetOrRegisterCounter("entry_crashing_refused", r),
		isolatedRuns:     metrics.GetOrRegisterCounter("entry_suspect_trials", r),
	}
	t.onVerdicts = q.Merge
	return q
}

// Load merges the verdicts stored on the platform. It retries until it succeeds or ctx ends.
func (q *Quarantine) Load(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := q.store.Load(ctx)
		if err == nil {
			q.Merge(list)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// Merge adds verdicts and records an event for each one that changes the state of its
// fingerprint.
func (q *Quarantine) Merge(list []poison.Verdict) {
	for _, v := range list {
		q.table.opts.Events.Clock().Observe(v.Stamp)
		q.mu.Lock()
		changed := q.verdicts.Merge(v, q.table.opts.Now())
		q.mu.Unlock()
		if changed {
			q.table.opts.Events.Record(event.Event{Kind: event.Verdict, Detail: string(v.State) + " " + string(v.Fingerprint)})
		}
	}
}

// RecentVerdicts returns the newest verdicts.
func (q *Quarantine) RecentVerdicts() []poison.Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.verdicts.RecentVerdicts(q.table.opts.Now())
}

// state returns the current state of a fingerprint.
func (q *Quarantine) state(f poison.Fingerprint) poison.State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.verdicts.State(f, q.table.opts.Now())
}

// newVerdict returns a verdict with the current stamp.
func (q *Quarantine) newVerdict(f poison.Fingerprint, s poison.State) poison.Verdict {
	return poison.Verdict{Fingerprint: f, State: s, Stamp: q.table.opts.Events.Clock().Now()}
}

// broadcast sends the current state of a fingerprint to all other processes and waits for
// their responses, at most broadcastTimeout. A process that was not reached receives the state
// with a later status.
func (q *Quarantine) broadcast(f poison.Fingerprint) {
	v := q.newVerdict(f, q.state(f))
	ctx, cancel := context.WithTimeout(context.Background(), broadcastTimeout)
	defer cancel()
	semaphore := make(chan struct{}, maxBroadcastCalls)
	var calls sync.WaitGroup
	for _, c := range q.table.peerClients() {
		semaphore <- struct{}{}
		calls.Go(func() {
			_, _ = peer.Call[peer.VerdictResult](ctx, c, peer.MethodVerdict, peer.VerdictRequest{SenderState: q.table.senderState(), Verdicts: []poison.Verdict{v}})
			<-semaphore
		})
	}
	calls.Wait()
}

// admission is the decision whether and how a request may run.
type admission struct {
	state poison.State
	// isolatedRun is set when the request may run once, with no other request at the upstream.
	isolatedRun *poisonstore.IsolatedRun
}

// admit decides whether and how a request may run. A suspect waits, at most
// isolatedRunMaxWait, while another entry has the isolated run for its fingerprint. If it does
// not get an isolated run of its own, it must not run.
func (q *Quarantine) admit(ctx context.Context, f poison.Fingerprint) admission {
	ctx, cancel := context.WithTimeout(ctx, isolatedRunMaxWait)
	defer cancel()
	for {
		state := q.state(f)
		if state != poison.Suspect {
			return admission{state: state}
		}
		run, err := q.beginIsolatedRun(ctx, f)
		if err == nil {
			return admission{state: state, isolatedRun: run}
		}
		if errors.Is(err, poisonstore.ErrConvicted) {
			q.Merge([]poison.Verdict{q.newVerdict(f, poison.Convicted)})
			continue
		}
		select {
		case <-ctx.Done():
			return admission{state: state}
		case <-time.After(isolatedRunPollInterval):
		}
	}
}

// beginIsolatedRun claims the isolated run for a fingerprint on the platform. It returns the
// errors of poisonstore.Store.BeginIsolatedRun, and ErrBusy also when the fingerprint is no longer suspect.
func (q *Quarantine) beginIsolatedRun(ctx context.Context, f poison.Fingerprint) (*poisonstore.IsolatedRun, error) {
	run, err := q.store.BeginIsolatedRun(ctx, q.newVerdict(f, poison.Suspect))
	if err != nil {
		return nil, err
	}
	// The isolated run of another entry may have ended between the check and the claim.
	if q.state(f) == poison.Suspect {
		q.isolatedRuns.Inc(1)
		return run, nil
	}
	q.endIsolatedRun(run, f)
	return nil, poisonstore.ErrBusy
}

// endIsolatedRun ends an isolated run with the current state of the fingerprint and broadcasts
// a state other than suspect.
func (q *Quarantine) endIsolatedRun(run *poisonstore.IsolatedRun, f poison.Fingerprint) {
	state := q.state(f)
	if state != poison.Suspect {
		q.broadcast(f)
	}
	ctx, cancel := context.WithTimeout(context.Background(), endIsolatedRunTimeout)
	defer cancel()
	// If the call fails, the isolated run expires on the platform.
	_ = run.End(ctx, q.newVerdict(f, state))
}
