package lease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/coltsfootpitch/coltsfootpitch/internal/bubble"
	_ "github.com/coltsfootpitch/coltsfootpitch/internal/fixedseed"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/lease"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standin/objects"
)

const duration = 15 * time.Second

// maxPollGap is the longest time between two reads of a candidate.
const maxPollGap = 150 * time.Second

// simulation runs a platform with faults, candidates that pause, and a receiver of orders.
type simulation struct {
	server *objects.Server

	mu         sync.Mutex
	random     *rand.Rand
	down       bool
	violations []string
	candidates map[string]*candidate
	// newestFencingToken is the highest fencing token that the receiver has seen.
	newestFencingToken int64
	// fencingTokenHolders maps each fencing token to the candidate that used it.
	fencingTokenHolders map[int64]string
	orders              int
	rejected            int
	responseLossRate    float64
}

func newSimulation(seed uint64) *simulation {
	return &simulation{random: rand.New(rand.NewPCG(seed, 1)), fencingTokenHolders: map[int64]string{}}
}

func (s *simulation) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < p
}

func (s *simulation) randomDuration(low, high time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

// faultyTransport delays calls, drops responses and fails while the platform is down.
type faultyTransport struct {
	simulation *simulation
	next       http.RoundTripper
}

func (l *faultyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(l.simulation.randomDuration(time.Millisecond, 1400*time.Millisecond))
	l.simulation.mu.Lock()
	down, lossRate := l.simulation.down, l.simulation.responseLossRate
	l.simulation.mu.Unlock()
	if down {
		return nil, objects.ErrResponseLost
	}
	resp, err := l.next.RoundTrip(r)
	time.Sleep(l.simulation.randomDuration(time.Millisecond, 1400*time.Millisecond))
	if l.simulation.chance(lossRate) {
		return nil, objects.ErrResponseLost
	}
	return resp, err
}

// candidate is a controller that steps its lease and sends orders while it holds it.
type candidate struct {
	simulation *simulation
	name       string
	lease      *lease.Lease
}

func (c *candidate) run(ctx context.Context) {
	for ctx.Err() == nil {
		// Errors are expected: the transport injects faults.
		_ = c.lease.AcquireOrRenew(ctx, time.Now())
		for range 5 {
			c.sendOrder()
			time.Sleep(c.simulation.randomDuration(800*time.Millisecond, 1000*time.Millisecond))
			if c.simulation.chance(0.02) {
				time.Sleep(c.simulation.randomDuration(time.Second, 90*time.Second))
			}
		}
	}
}

// sendOrder sends an order as a process does that may be paused between checking its lease and
// sending.
func (c *candidate) sendOrder() {
	if !c.lease.IsHeld() {
		return
	}
	fencingToken := c.lease.FencingToken()
	c.simulation.checkSoleHolder(c.name)
	if c.simulation.chance(0.05) {
		time.Sleep(c.simulation.randomDuration(time.Second, 90*time.Second))
	}
	c.simulation.receiveOrder(c.name, fencingToken)
}

// checkSoleHolder records a violation if another candidate holds the lease at this moment.
func (s *simulation) checkSoleHolder(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for other, c := range s.candidates {
		if other != name && c.lease.IsHeld() {
			s.violations = append(s.violations, fmt.Sprintf("%s and %s both hold the lease", name, other))
		}
	}
}

// receiveOrder handles an order and rejects one with a lower fencing token than seen before.
func (s *simulation) receiveOrder(name string, fencingToken int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders++
	if fencingToken < s.newestFencingToken {
		s.rejected++
		return
	}
	s.newestFencingToken = fencingToken
	if previous, ok := s.fencingTokenHolders[fencingToken]; ok && previous != name {
		s.violations = append(s.violations, fmt.Sprintf("%s and %s send orders under fencing token %d", previous, name, fencingToken))
	}
	s.fencingTokenHolders[fencingToken] = name
}

// Guards against two holders at one moment and against falling fencing tokens, when responses
// are lost, holders are paused and the object is removed. Late orders of a paused holder must be
// rejected by their fencing token.
func TestLeaseModel(t *testing.T) {
	orders, rejected := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		candidates := rapid.IntRange(2, 5).Draw(rt, "candidates")
		responseLossRate := rapid.Float64Range(0, 0.4).Draw(rt, "lossy")
		s := runSimulation(t, seed, candidates, responseLossRate)
		orders += s.orders
		rejected += s.rejected
		if len(s.violations) > 0 {
			rt.Fatalf("%d violations, first: %s", len(s.violations), s.violations[0])
		}
	})
	t.Logf("%d orders, of which %d late ones were rejected by their fencing token", orders, rejected)
}

func runSimulation(t *testing.T, seed uint64, candidates int, responseLossRate float64) *simulation {
	s := newSimulation(seed)
	bubble.Test(t, func(*testing.T) {
		s.server = objects.New()
		handler := s.server.Handler()
		s.responseLossRate = responseLossRate
		s.candidates = map[string]*candidate{}
		ctx, cancel := context.WithCancel(context.Background())
		for i := range candidates {
			l := &faultyTransport{simulation: s, next: objects.Transport{Handler: handler}}
			p := platform.New(platform.Options{URL: "http://platform", Transport: l})
			name := fmt.Sprintf("controller-%d", i)
			s.candidates[name] = &candidate{simulation: s, name: name, lease: lease.New(p, "seat-0", name, duration)}
		}
		direct := platform.New(platform.Options{URL: "http://platform", Transport: objects.Transport{Handler: handler}})
		for _, c := range s.candidates {
			go c.run(ctx)
		}
		for range 20 {
			time.Sleep(s.randomDuration(5*time.Second, 60*time.Second))
			switch {
			case s.chance(0.3):
				s.outage(s.randomDuration(time.Second, 40*time.Second))
			case s.chance(0.3):
				o, err := direct.Get(ctx, lease.Kind, "seat-0")
				if err == nil {
					// After two removals between two reads of a candidate, two candidates may
					// hold the lease until receivers compare fencing tokens. The wait excludes
					// that.
					time.Sleep(maxPollGap)
					o, err = direct.Get(ctx, lease.Kind, "seat-0")
				}
				if err == nil {
					_ = direct.Delete(ctx, lease.Kind, "seat-0", o.Revision)
				}
			}
		}
		cancel()
		time.Sleep(10 * time.Minute)
	})
	return s
}

func (s *simulation) outage(d time.Duration) {
	s.setDown(true)
	time.Sleep(d)
	s.setDown(false)
}

func (s *simulation) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Guards against slow takeover: a lease whose holder stops is taken within the duration and one
// step, a released one at the next step.
func TestTakeoverTime(t *testing.T) {
	for _, released := range []bool{false, true} {
		bubble.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			p := platform.New(platform.Options{URL: "http://platform", Transport: objects.Transport{Handler: objects.New().Handler()}})
			first := lease.New(p, "seat-0", "a", duration)
			second := lease.New(p, "seat-0", "b", duration)
			is.NoErr(first.AcquireOrRenew(ctx, time.Now()))
			is.NoErr(second.AcquireOrRenew(ctx, time.Now()))
			is.True(first.IsHeld())
			is.True(!second.IsHeld())
			if released {
				is.NoErr(first.Release(ctx))
			}
			start := time.Now()
			for !second.IsHeld() {
				time.Sleep(duration / 3)
				is.NoErr(second.AcquireOrRenew(ctx, time.Now()))
			}
			t.Logf("released %v: taken over after %s", released, time.Since(start))
			is.True(!first.IsHeld())
			is.True(second.FencingToken() > first.FencingToken())
			is.True(time.Since(start) <= duration+duration/3)
		})
	}
}

// Guards against a restarted process waiting for its own lease: it takes the lease at once with
// a higher fencing token, and the earlier incarnation keeps its lower one.
func TestRestartedHolder(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := platform.New(platform.Options{URL: "http://platform", Transport: objects.Transport{Handler: objects.New().Handler()}})
	old := lease.New(p, "seat-0", "a", duration)
	is.NoErr(old.AcquireOrRenew(ctx, time.Now()))
	before := old.FencingToken()
	next := lease.New(p, "seat-0", "a", duration)
	is.NoErr(next.AcquireOrRenew(ctx, time.Now()))
	is.True(next.IsHeld())
	is.True(next.FencingToken() > before)
	is.Equal(old.FencingToken(), before)
}

// Guards against a holder whose orders stay rejected: after a receiver reports a higher fencing
// token, the next step uses a fencing token above it.
func TestFencingTokenRisesAboveReceiver(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := platform.New(platform.Options{URL: "http://platform", Transport: objects.Transport{Handler: objects.New().Handler()}})
	l := lease.New(p, "seat-0", "a", duration)
	is.NoErr(l.AcquireOrRenew(ctx, time.Now()))
	l.RequireFencingTokenAbove(100)
	is.NoErr(l.AcquireOrRenew(ctx, time.Now()))
	is.True(l.IsHeld())
	is.Equal(l.FencingToken(), int64(101))
}
