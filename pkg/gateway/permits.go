package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/permit"
)

// permits holds the gates of all services. It is safe for concurrent use.
type permits struct {
	mu      sync.Mutex
	gates   map[string]*permit.Gate
	waiting map[string]*waiter
	// begins is the recent time from a permit to the first event of a stream.
	begins map[string]time.Duration
}

func newPermits() *permits {
	return &permits{gates: map[string]*permit.Gate{}, waiting: map[string]*waiter{}, begins: map[string]time.Duration{}}
}

// waiter is a request that waits for a permit until a time.
type waiter struct {
	service string
	until   time.Time
	// granted is closed when the permit is there, and hopeless once it can't be in time.
	granted  chan struct{}
	hopeless chan struct{}
}

// firstHold is how long a permit is held until it was measured: about a usual answer.
const firstHold = time.Second

// setLimit changes the number of permits of a service.
func (p *permits) setLimit(service string, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.gates[service]
	if g == nil {
		p.gates[service] = permit.NewGate(limit, firstHold)
		return
	}
	if g.Limit() != limit || g.Closed() {
		p.wake(g.SetLimit(limit, time.Now()))
	}
}

// close stops all grants of a service that is expected to open again in a while.
func (p *permits) close(service string, opens time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.gates[service]
	if g == nil {
		g = permit.NewGate(0, firstHold)
		p.gates[service] = g
	}
	g.Close(opens)
	for id, w := range p.waiting {
		if w.service == service && w.until.Before(time.Now().Add(opens)) {
			g.Abandon(id)
			close(w.hopeless)
			delete(p.waiting, id)
		}
	}
}

func (p *permits) wake(ids []string) {
	for _, id := range ids {
		if w := p.waiting[id]; w != nil {
			close(w.granted)
			delete(p.waiting, id)
		}
	}
}

// acquire waits for a permit. The decision is Granted or Refused; the error is that of
// ctx when the caller left while it waited.
func (p *permits) acquire(ctx context.Context, service string, r permit.Request) (permit.Decision, error) {
	w, d := p.ask(service, r)
	if d.Outcome != permit.Queued {
		return d, nil
	}
	timer := time.NewTimer(r.Patience)
	defer timer.Stop()
	select {
	case <-w.granted:
		return permit.Decision{Outcome: permit.Granted}, nil
	case <-w.hopeless:
		return permit.Decision{Outcome: permit.Refused, Wait: p.opens(service)}, nil
	case <-timer.C:
		d.Outcome = permit.Refused
	case <-ctx.Done():
	}
	if !p.abandon(service, r.ID) {
		// It was decided at the same moment.
		select {
		case <-w.granted:
			return permit.Decision{Outcome: permit.Granted}, nil
		default:
		}
	}
	return d, ctx.Err()
}

// opens returns when a closed service is expected to open, for those that come back.
func (p *permits) opens(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gates[service].Opens()
}

func (p *permits) ask(service string, r permit.Request) (*waiter, permit.Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.gates[service]
	if g == nil {
		return nil, permit.Decision{Outcome: permit.Refused, Wait: firstHold}
	}
	d := g.Ask(r, time.Now())
	if d.Outcome != permit.Queued {
		return nil, d
	}
	w := &waiter{
		service: service, until: time.Now().Add(r.Patience),
		granted: make(chan struct{}), hopeless: make(chan struct{}),
	}
	p.waiting[r.ID] = w
	return w, d
}

func (p *permits) abandon(service, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting[id] == nil {
		return false
	}
	delete(p.waiting, id)
	return p.gates[service].Abandon(id)
}

// noteBegin takes in the time from a permit to the first event of a stream.
func (p *permits) noteBegin(service string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, ok := p.begins[service]
	if !ok {
		b = took
	}
	p.begins[service] = b + time.Duration(sampleWeight*float64(took-b))
}

// begin returns the recent time from a permit to the first event of a stream.
func (p *permits) begin(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.begins[service]
}

// release gives a permit back that was held for a time.
func (p *permits) release(service string, held time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wake(p.gates[service].Done(held, time.Now()))
}

// state returns the permits in use and the requests that wait.
func (p *permits) state(service string) (running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.gates[service]
	if g == nil {
		return 0, 0
	}
	return g.Running(), g.Waiting()
}
