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
	// broadcastTimeout bounds the time for which an answer waits until the other processes
	// know a verdict.
	broadcastTimeout = 300 * time.Millisecond
	// maxBroadcastCalls is the number of processes told at a time.
	maxBroadcastCalls = 32
	// isolatedRunMaxWait is the time for which a request waits while another entry tries its like.
	isolatedRunMaxWait = 5 * time.Second
	// isolatedRunPollInterval is the interval at which the end of that trial is looked for.
	isolatedRunPollInterval = 50 * time.Millisecond
	// endIsolatedRunTimeout bounds the calls to the platform for a trial.
	endIsolatedRunTimeout = 3 * time.Second
)

// Quarantine keeps requests that may crash upstreams from running beside others. It is
// safe for concurrent use.
type Quarantine struct {
	table *Table
	store *poisonstore.Store

	mu       sync.Mutex
	verdicts *poison.Table

	refusedRequests metrics.Counter
	isolatedRuns    metrics.Counter
}

// NewQuarantine returns a quarantine that hears of verdicts from the processes of the table.
func NewQuarantine(t *Table, store *poisonstore.Store, r metrics.Registry) *Quarantine {
	q := &Quarantine{
		table:           t,
		store:           store,
		verdicts:        poison.New(poison.Options{}),
		refusedRequests: metrics.GetOrRegisterCounter("entry_crashing_refused", r),
		isolatedRuns:    metrics.GetOrRegisterCounter("entry_suspect_trials", r),
	}
	t.onVerdicts = q.Take
	return q
}

// Load takes in the verdicts kept at the platform, trying again until ctx ends.
func (q *Quarantine) Load(ctx context.Context) {
	for ctx.Err() == nil {
		list, err := q.store.Load(ctx)
		if err == nil {
			q.Take(list)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// Take takes in verdicts.
func (q *Quarantine) Take(list []poison.Verdict) {
	for _, v := range list {
		q.table.opts.Events.Clock().Observe(v.Stamp)
		q.mu.Lock()
		changed := q.verdicts.Take(v, q.table.opts.Now())
		q.mu.Unlock()
		if changed {
			q.table.opts.Events.Record(event.Event{Kind: event.Verdict, Detail: string(v.State) + " " + string(v.Fingerprint)})
		}
	}
}

// News returns the newest verdicts.
func (q *Quarantine) News() []poison.Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.verdicts.News(q.table.opts.Now())
}

func (q *Quarantine) state(f poison.Fingerprint) poison.State {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.verdicts.Check(f, q.table.opts.Now())
}

// newVerdict returns a newVerdict seen now.
func (q *Quarantine) newVerdict(f poison.Fingerprint, s poison.State) poison.Verdict {
	return poison.Verdict{Fingerprint: f, State: s, Stamp: q.table.opts.Events.Clock().Now()}
}

// broadcast tells all other processes what is known of a fingerprint, and returns when
// they have answered or the time is up. Whoever was not reached hears it with a status.
func (q *Quarantine) broadcast(f poison.Fingerprint) {
	v := q.newVerdict(f, q.state(f))
	ctx, cancel := context.WithTimeout(context.Background(), broadcastTimeout)
	defer cancel()
	slots := make(chan struct{}, maxBroadcastCalls)
	var calls sync.WaitGroup
	for _, c := range q.table.peerClients() {
		slots <- struct{}{}
		calls.Go(func() {
			_, _ = peer.Call[peer.VerdictResult](ctx, c, peer.MethodVerdict, peer.VerdictRequest{News: q.table.updates(), Verdicts: []poison.Verdict{v}})
			<-slots
		})
	}
	calls.Wait()
}

// admission says how a request may run.
type admission struct {
	state poison.State
	// isolatedRun is set when the request may run once, alone.
	isolatedRun *poisonstore.Trial
}

// admit decides how a request may run. A suspect waits while another entry tries its
// like; without a trial it must not run.
func (q *Quarantine) admit(ctx context.Context, f poison.Fingerprint) admission {
	ctx, cancel := context.WithTimeout(ctx, isolatedRunMaxWait)
	defer cancel()
	for {
		state := q.state(f)
		if state != poison.Suspect {
			return admission{state: state}
		}
		t, err := q.beginIsolatedRun(ctx, f)
		if err == nil {
			return admission{state: state, isolatedRun: t}
		}
		if errors.Is(err, poisonstore.ErrConvicted) {
			q.Take([]poison.Verdict{q.newVerdict(f, poison.Convicted)})
			continue
		}
		select {
		case <-ctx.Done():
			return admission{state: state}
		case <-time.After(isolatedRunPollInterval):
		}
	}
}

func (q *Quarantine) beginIsolatedRun(ctx context.Context, f poison.Fingerprint) (*poisonstore.Trial, error) {
	t, err := q.store.Begin(ctx, q.newVerdict(f, poison.Suspect))
	if err != nil {
		return nil, err
	}
	// The trial of another entry may have ended between the check and the claim.
	if q.state(f) == poison.Suspect {
		q.isolatedRuns.Inc(1)
		return t, nil
	}
	q.endIsolatedRun(t, f)
	return nil, poisonstore.ErrBusy
}

// endIsolatedRun ends a trial with what is known of the request now, and tells the others.
func (q *Quarantine) endIsolatedRun(t *poisonstore.Trial, f poison.Fingerprint) {
	state := q.state(f)
	if state != poison.Suspect {
		q.broadcast(f)
	}
	ctx, cancel := context.WithTimeout(context.Background(), endIsolatedRunTimeout)
	defer cancel()
	// A trial that could not be ended at the platform ends there with its time.
	_ = t.End(ctx, q.newVerdict(f, state))
}
