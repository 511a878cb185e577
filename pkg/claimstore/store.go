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
	// Interval is the time between two commits of a partition.
	Interval = 200 * time.Millisecond
	// Backoff is the time for which a partition refuses at once after a failure.
	Backoff = time.Second
	// commitLimit bounds one commit with its repeats.
	commitLimit = 5 * time.Second
	// maxWaiting bounds the operations that wait in a partition.
	maxWaiting = 4096
)

// ErrUnavailable says that the platform does not settle operations now.
var ErrUnavailable = errors.New("claimstore: the platform does not answer")

// Objects is the part of the object API that the store uses.
type Objects interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, kind, name string, revision int64, value any) (platform.Object, error)
}

// Options configure a store.
type Options struct {
	Objects  Objects
	Registry metrics.Registry
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// meters are the metrics of a store.
type meters struct {
	ops       metrics.Counter
	reads     metrics.Counter
	writes    metrics.Counter
	conflicts metrics.Counter
	faults    metrics.Counter
}

// Store commits operations on claims. It is safe for concurrent use.
type Store struct {
	meters     meters
	partitions [idempotency.Partitions]*partition
}

// New returns a store.
func New(o Options) *Store {
	if o.Now == nil {
		o.Now = time.Now
	}
	r := o.Registry
	if r == nil {
		r = metrics.NewRegistry()
	}
	s := &Store{meters: meters{
		ops:       metrics.GetOrRegisterCounter("claim_operations", r),
		reads:     metrics.GetOrRegisterCounter("claim_platform_reads", r),
		writes:    metrics.GetOrRegisterCounter("claim_platform_writes", r),
		conflicts: metrics.GetOrRegisterCounter("claim_conflicts", r),
		faults:    metrics.GetOrRegisterCounter("claim_platform_faults", r),
	}}
	for i := range s.partitions {
		s.partitions[i] = &partition{held: newHeld(i, o, s.meters), now: o.Now}
	}
	return s
}

// Do commits an operation. An error means that its effect is unknown; it may be
// repeated.
func (s *Store) Do(ctx context.Context, o idempotency.Op) (idempotency.Decision, error) {
	s.meters.ops.Inc(1)
	return s.partitions[o.Key.Partition()].do(ctx, o)
}

// waiter is one operation that waits for its commit.
type waiter struct {
	op   idempotency.Op
	done chan outcome
}

type outcome struct {
	decision idempotency.Decision
	err      error
}

// partition groups the operations of one document.
type partition struct {
	held *held
	now  func() time.Time

	mu      sync.Mutex
	waiting []waiter
	running bool
	last    time.Time
	closed  time.Time
}

func (p *partition) do(ctx context.Context, o idempotency.Op) (idempotency.Decision, error) {
	w := waiter{op: o, done: make(chan outcome, 1)}
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

// enqueue adds an operation and starts the committing goroutine when none runs.
func (p *partition) enqueue(w waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.now().Before(p.closed) || len(p.waiting) >= maxWaiting {
		return false
	}
	p.waiting = append(p.waiting, w)
	if !p.running {
		p.running = true
		go p.run()
	}
	return true
}

// run commits groups until no operation waits.
func (p *partition) run() {
	for {
		p.mu.Lock()
		rest := Interval - p.now().Sub(p.last)
		p.mu.Unlock()
		if rest > 0 {
			time.Sleep(rest)
		}
		p.mu.Lock()
		group := p.waiting
		p.waiting = nil
		if len(group) == 0 {
			p.running = false
			p.mu.Unlock()
			return
		}
		p.last = p.now()
		p.mu.Unlock()
		p.commit(group)
	}
}

func (p *partition) commit(group []waiter) {
	ctx, cancel := context.WithTimeout(context.Background(), commitLimit)
	defer cancel()
	ops := make([]idempotency.Op, len(group))
	for i, w := range group {
		ops[i] = w.op
	}
	decisions, err := p.held.commit(ctx, ops)
	if err != nil {
		p.mu.Lock()
		p.closed = p.now().Add(Backoff)
		p.mu.Unlock()
	}
	for i, w := range group {
		if err != nil {
			w.done <- outcome{err: errors.Join(ErrUnavailable, err)}
			continue
		}
		w.done <- outcome{decision: decisions[i]}
	}
}
