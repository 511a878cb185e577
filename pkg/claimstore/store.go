package claimstore

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/idempotency"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
)

const (
	// CommitInterval is the minimum time between two commits of a partition.
	CommitInterval = 200 * time.Millisecond
	// Backoff is the time for which a partition rejects operations after a failed commit.
	Backoff = time.Second
	// commitTimeout limits one commit with its retries.
	commitTimeout = 5 * time.Second
	// maxQueued limits the operations queued in a partition.
	maxQueued = 4096
)

// ErrUnavailable reports that an operation was not confirmed: the platform does not respond or
// the queue is full.
var ErrUnavailable = errors.New("claimstore: the platform does not respond")

// ObjectClient is the part of the platform's object API that the store uses.
type ObjectClient interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, kind, name string, revision int64, value any) (platform.Object, error)
}

// Options configures a Store.
type Options struct {
	Objects  ObjectClient
	Registry metrics.Registry
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// counters are the metrics of a Store.
type counters struct {
	ops       metrics.Counter
	reads     metrics.Counter
	writes    metrics.Counter
	conflicts metrics.Counter
	faults    metrics.Counter
}

// Store commits operations on claims. It is safe for concurrent use.
type Store struct {
	counters   counters
	partitions [idempotency.PartitionCount]*partition
}

// New returns a store; nothing is read until the first operation.
func New(o Options) *Store {
	if o.Now == nil {
		o.Now = time.Now
	}
	r := o.Registry
	if r == nil {
		r = metrics.NewRegistry()
	}
	s := &Store{counters: counters{
		ops:       metrics.GetOrRegisterCounter("claim_operations", r),
		reads:     metrics.GetOrRegisterCounter("claim_platform_reads", r),
		writes:    metrics.GetOrRegisterCounter("claim_platform_writes", r),
		conflicts: metrics.GetOrRegisterCounter("claim_conflicts", r),
		faults:    metrics.GetOrRegisterCounter("claim_platform_faults", r),
	}}
	for i := range s.partitions {
		s.partitions[i] = &partition{committer: newCommitter(i, o, s.counters), now: o.Now}
	}
	return s
}

// Commit commits an operation and returns its decision. After an error its effect is unknown; the
// operation may be repeated.
func (s *Store) Commit(ctx context.Context, o idempotency.Op) (idempotency.Decision, error) {
	s.counters.ops.Inc(1)
	return s.partitions[o.Key.Partition()].submit(ctx, o)
}

// waiter is a queued operation; done receives its result after the commit.
type waiter struct {
	op   idempotency.Op
	done chan result
}

// result is the decision of an operation or the error of its commit.
type result struct {
	decision idempotency.Decision
	err      error
}

// partition queues the operations on one document and commits them in groups.
type partition struct {
	committer *committer
	now       func() time.Time

	mu    sync.Mutex
	queue []waiter
	// isRunning is set while a goroutine commits the queue.
	isRunning bool
	// lastCommit is when the last commit started.
	lastCommit time.Time
	// rejectUntil is the end of the backoff after a failed commit.
	rejectUntil time.Time
}

// submit queues an operation and waits for its result or the end of ctx.
func (p *partition) submit(ctx context.Context, o idempotency.Op) (idempotency.Decision, error) {
	w := waiter{op: o, done: make(chan result, 1)}
	if !p.enqueue(w) {
		return idempotency.Decision{}, ErrUnavailable
	}
	select {
	case r := <-w.done:
		return r.decision, r.err
	case <-ctx.Done():
		return idempotency.Decision{}, ctx.Err()
	}
}

// enqueue adds an operation to the queue and starts the committing goroutine when none runs. It
// returns false during a backoff or when the queue is full.
func (p *partition) enqueue(w waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.now().Before(p.rejectUntil) || len(p.queue) >= maxQueued {
		return false
	}
	p.queue = append(p.queue, w)
	if !p.isRunning {
		p.isRunning = true
		go p.run()
	}
	return true
}

// run commits groups, at least CommitInterval apart, until the queue is empty.
func (p *partition) run() {
	for {
		p.mu.Lock()
		delay := CommitInterval - p.now().Sub(p.lastCommit)
		p.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		p.mu.Lock()
		group := p.queue
		p.queue = nil
		if len(group) == 0 {
			p.isRunning = false
			p.mu.Unlock()
			return
		}
		p.lastCommit = p.now()
		p.mu.Unlock()
		p.commitGroup(group)
	}
}

// commitGroup commits a group and sends each waiter its result.
func (p *partition) commitGroup(group []waiter) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	ops := make([]idempotency.Op, len(group))
	for i, w := range group {
		ops[i] = w.op
	}
	decisions, err := p.committer.commit(ctx, ops)
	if err != nil {
		p.mu.Lock()
		p.rejectUntil = p.now().Add(Backoff)
		p.mu.Unlock()
	}
	for i, w := range group {
		if err != nil {
			w.done <- result{err: errors.Join(ErrUnavailable, err)}
			continue
		}
		w.done <- result{decision: decisions[i]}
	}
}
