package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/permit"
)

// permits holds the gates and waiting requests of all services. It is safe for concurrent use.
type permits struct {
	mu      sync.Mutex
	gates   map[string]*permit.Gate
	waiters map[string]*waiter
	// firstEventDelays is the moving average of the time from a permit to the first event of a
	// stream, by service.
	firstEventDelays map[string]time.Duration
}

func newPermits() *permits {
	return &permits{gates: map[string]*permit.Gate{}, waiters: map[string]*waiter{}, firstEventDelays: map[string]time.Duration{}}
}

// waiter is a request that waits for a permit until its deadline.
type waiter struct {
	service  string
	deadline time.Time
	// granted is closed when the permit is granted, and rejected once it cannot be in time.
	granted  chan struct{}
	rejected chan struct{}
}

// initialPermitDuration is the estimated time that a permit is in use until it was measured: about
// the time of a usual response.
const initialPermitDuration = time.Second

// setLimit changes the number of permits of a service.
func (p *permits) setLimit(service string, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.gates[service]
	if g == nil {
		p.gates[service] = permit.NewGate(limit, initialPermitDuration)
		return
	}
	if g.Limit() != limit || g.Closed() {
		p.grant(g.SetLimit(limit, time.Now()))
		p.reject(g.TakeOverdue())
	}
}

// close stops all grants of a service that is expected to resume after resumesIn. It rejects the
// waiting requests that cannot wait for half of that time. The others wait on, as the time is an estimate and the service
// may resume earlier.
func (p *permits) close(service string, resumesIn time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.gates[service]
	if g == nil {
		g = permit.NewGate(0, initialPermitDuration)
		p.gates[service] = g
	}
	g.Close(resumesIn)
	for id, w := range p.waiters {
		if w.service == service && w.deadline.Before(time.Now().Add(resumesIn/2)) {
			g.Abandon(id)
			close(w.rejected)
			delete(p.waiters, id)
		}
	}
}

// probe grants one request of a closed service, see permit.Gate.
func (p *permits) probe(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g := p.gates[service]; g != nil && g.Closed() {
		p.grant(g.Probe(time.Now()))
		p.reject(g.TakeOverdue())
	}
}

func (p *permits) reject(ids []string) {
	for _, id := range ids {
		if w := p.waiters[id]; w != nil {
			close(w.rejected)
			delete(p.waiters, id)
		}
	}
}

func (p *permits) grant(ids []string) {
	for _, id := range ids {
		if w := p.waiters[id]; w != nil {
			close(w.granted)
			delete(p.waiters, id)
		}
	}
}

// acquire waits for a permit. The outcome of the decision is Granted or Rejected; the error is that
// of ctx when the caller disconnected during the wait.
func (p *permits) acquire(ctx context.Context, service string, request permit.Request) (permit.Decision, error) {
	w, decision := p.requestPermit(service, request)
	if decision.Outcome != permit.Queued {
		return decision, nil
	}
	timer := time.NewTimer(request.MaxWait)
	defer timer.Stop()
	select {
	case <-w.granted:
		return permit.Decision{Outcome: permit.Granted}, nil
	case <-w.rejected:
		return permit.Decision{Outcome: permit.Rejected, Wait: max(decision.Wait, p.resumesIn(service))}, nil
	case <-timer.C:
		decision.Outcome = permit.Rejected
	case <-ctx.Done():
	}
	if !p.abandon(service, request.ID) {
		// The request was granted or rejected at the same moment.
		select {
		case <-w.granted:
			return permit.Decision{Outcome: permit.Granted}, nil
		default:
		}
	}
	return decision, ctx.Err()
}

// resumesIn returns the expected time until a closed service resumes, for Retry-After.
func (p *permits) resumesIn(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gates[service].ResumesIn()
}

func (p *permits) requestPermit(service string, request permit.Request) (*waiter, permit.Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.gates[service]
	if g == nil {
		return nil, permit.Decision{Outcome: permit.Rejected, Wait: initialPermitDuration}
	}
	decision := g.Acquire(request, time.Now())
	if decision.Outcome != permit.Queued {
		return nil, decision
	}
	w := &waiter{
		service: service, deadline: time.Now().Add(request.MaxWait),
		granted: make(chan struct{}), rejected: make(chan struct{}),
	}
	p.waiters[request.ID] = w
	return w, decision
}

func (p *permits) abandon(service, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiters[id] == nil {
		return false
	}
	delete(p.waiters, id)
	return p.gates[service].Abandon(id)
}

// recordFirstEventDelay adds a sample of the time from a permit to the first event of a stream.
func (p *permits) recordFirstEventDelay(service string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	mean, ok := p.firstEventDelays[service]
	if !ok {
		mean = took
	}
	p.firstEventDelays[service] = mean + time.Duration(sampleWeight*float64(took-mean))
}

// firstEventDelay returns the mean time from a permit to the first event of a stream.
func (p *permits) firstEventDelay(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.firstEventDelays[service]
}

// release returns a permit that was in use for the given duration.
func (p *permits) release(service string, duration time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.gates[service]
	p.grant(g.Release(duration, time.Now()))
	p.reject(g.TakeOverdue())
}

// usage returns the number of permits in use and of waiting requests.
func (p *permits) usage(service string) (running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.gates[service]
	if g == nil {
		return 0, 0
	}
	return g.Running(), g.Waiting()
}
