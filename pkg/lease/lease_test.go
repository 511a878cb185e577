package lease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/coltsfootpitch/coltsfootpitch/internal/fixedseed"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/lease"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standin/objects"
)

const duration = 15 * time.Second

// maxPollGap is the longest time in which a candidate does not look.
const maxPollGap = 150 * time.Second

// simulation is a platform with faults, candidates that pause, and a receiver of orders.
type simulation struct {
	server *objects.Server

	mu               sync.Mutex
	random           *rand.Rand
	down             bool
	violations       []string
	candidates       map[string]*candidate
	newestToken      int64
	tokenHolders     map[int64]string
	orders           int
	rejected         int
	responseLossRate float64
}

func newSimulation(seed uint64) *simulation {
	return &simulation{random: rand.New(rand.NewPCG(seed, 1)), tokenHolders: map[int64]string{}}
}

func (w *simulation) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64() < p
}

func (w *simulation) randomDuration(low, high time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

// faultyTransport delays calls, loses answers and fails while the platform is down.
type faultyTransport struct {
	simulation *simulation
	next       http.RoundTripper
}

func (l *faultyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(l.simulation.randomDuration(time.Millisecond, 1400*time.Millisecond))
	l.simulation.mu.Lock()
	down, lossy := l.simulation.down, l.simulation.responseLossRate
	l.simulation.mu.Unlock()
	if down {
		return nil, objects.ErrLost
	}
	resp, err := l.next.RoundTrip(r)
	time.Sleep(l.simulation.randomDuration(time.Millisecond, 1400*time.Millisecond))
	if l.simulation.chance(lossy) {
		return nil, objects.ErrLost
	}
	return resp, err
}

// candidate is a controller that steps its lease and gives orders while it holds it.
type candidate struct {
	simulation *simulation
	name       string
	lease      *lease.Lease
}

func (c *candidate) run(ctx context.Context) {
	for ctx.Err() == nil {
		// Errors are part of the test.
		_ = c.lease.Step(ctx, time.Now())
		for range 5 {
			c.sendOrder()
			time.Sleep(c.simulation.randomDuration(800*time.Millisecond, 1000*time.Millisecond))
			if c.simulation.chance(0.02) {
				time.Sleep(c.simulation.randomDuration(time.Second, 90*time.Second))
			}
		}
	}
}

// sendOrder gives an order as a process does that may be paused between its look at the
// lease and the order.
func (c *candidate) sendOrder() {
	if !c.lease.Held() {
		return
	}
	token := c.lease.Fence()
	c.simulation.checkSoleHolder(c.name)
	if c.simulation.chance(0.05) {
		time.Sleep(c.simulation.randomDuration(time.Second, 90*time.Second))
	}
	c.simulation.receiveOrder(c.name, token)
}

// checkSoleHolder checks that no other candidate holds the lease at this moment.
func (w *simulation) checkSoleHolder(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for other, c := range w.candidates {
		if other != name && c.lease.Held() {
			w.violations = append(w.violations, fmt.Sprintf("%s and %s both hold the lease", name, other))
		}
	}
}

// receiveOrder receives an receiveOrder: one with a lower number than seen before is refused.
func (w *simulation) receiveOrder(name string, token int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders++
	if token < w.newestToken {
		w.rejected++
		return
	}
	w.newestToken = token
	if previous, ok := w.tokenHolders[token]; ok && previous != name {
		w.violations = append(w.violations, fmt.Sprintf("%s and %s give orders under number %d", previous, name, token))
	}
	w.tokenHolders[token] = name
}

// A holder that was paused does no harm, at no moment do two candidates hold the lease,
// and the number never falls, whatever answers are lost and also when the object is removed.
func TestLeaseModel(t *testing.T) {
	orders, rejected := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		candidates := rapid.IntRange(2, 5).Draw(rt, "candidates")
		responseLossRate := rapid.Float64Range(0, 0.4).Draw(rt, "lossy")
		w := runSimulation(t, seed, candidates, responseLossRate)
		orders += w.orders
		rejected += w.rejected
		if len(w.violations) > 0 {
			rt.Fatalf("%d faults, first: %s", len(w.violations), w.violations[0])
		}
	})
	t.Logf("%d orders, of which %d late ones were refused by their number", orders, rejected)
}

func runSimulation(t *testing.T, seed uint64, candidates int, responseLossRate float64) *simulation {
	w := newSimulation(seed)
	synctest.Test(t, func(*testing.T) {
		w.server = objects.New()
		handler := w.server.Handler()
		w.responseLossRate = responseLossRate
		w.candidates = map[string]*candidate{}
		ctx, cancel := context.WithCancel(context.Background())
		for i := range candidates {
			l := &faultyTransport{simulation: w, next: objects.Transport{Handler: handler}}
			p := platform.New(platform.Options{URL: "http://platform", Transport: l})
			name := fmt.Sprintf("controller-%d", i)
			w.candidates[name] = &candidate{simulation: w, name: name, lease: lease.New(p, "seat-0", name, duration)}
		}
		direct := platform.New(platform.Options{URL: "http://platform", Transport: objects.Transport{Handler: handler}})
		for _, c := range w.candidates {
			go c.run(ctx)
		}
		for range 20 {
			time.Sleep(w.randomDuration(5*time.Second, 60*time.Second))
			switch {
			case w.chance(0.3):
				w.outage(w.randomDuration(time.Second, 40*time.Second))
			case w.chance(0.3):
				o, err := direct.Get(ctx, lease.Kind, "seat-0")
				if err == nil {
					// Removed twice before a candidate looked, two may hold it until the
					// numbers tell: that is left to the receivers.
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
	return w
}

func (w *simulation) outage(d time.Duration) {
	w.setDown(true)
	time.Sleep(d)
	w.setDown(false)
}

func (w *simulation) setDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
}

// A lease whose holder dies is taken over within the duration and one step; one that is
// released is taken at the next step.
func TestTakeoverTime(t *testing.T) {
	for _, released := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			p := platform.New(platform.Options{URL: "http://platform", Transport: objects.Transport{Handler: objects.New().Handler()}})
			first := lease.New(p, "seat-0", "a", duration)
			second := lease.New(p, "seat-0", "b", duration)
			is.NoErr(first.Step(ctx, time.Now()))
			is.NoErr(second.Step(ctx, time.Now()))
			is.True(first.Held())
			is.True(!second.Held())
			if released {
				is.NoErr(first.Release(ctx))
			}
			start := time.Now()
			for !second.Held() {
				time.Sleep(duration / 3)
				is.NoErr(second.Step(ctx, time.Now()))
			}
			t.Logf("released %v: taken over after %s", released, time.Since(start))
			is.True(!first.Held())
			is.True(second.Fence() > first.Fence())
			is.True(time.Since(start) <= duration+duration/3)
		})
	}
}

// A restarted process with the same name takes its lease at once, under a new number,
// and the earlier incarnation does not renew under that number.
func TestRestartedHolder(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := platform.New(platform.Options{URL: "http://platform", Transport: objects.Transport{Handler: objects.New().Handler()}})
	old := lease.New(p, "seat-0", "a", duration)
	is.NoErr(old.Step(ctx, time.Now()))
	before := old.Fence()
	next := lease.New(p, "seat-0", "a", duration)
	is.NoErr(next.Step(ctx, time.Now()))
	is.True(next.Held())
	is.True(next.Fence() > before)
	is.Equal(old.Fence(), before)
}

// A receiver that has seen a higher number makes the holder rise above it.
func TestTokenRisesAboveReceiver(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := platform.New(platform.Options{URL: "http://platform", Transport: objects.Transport{Handler: objects.New().Handler()}})
	l := lease.New(p, "seat-0", "a", duration)
	is.NoErr(l.Step(ctx, time.Now()))
	l.Raise(100)
	is.NoErr(l.Step(ctx, time.Now()))
	is.True(l.Held())
	is.Equal(l.Fence(), int64(101))
}
