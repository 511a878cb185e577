package configstore_test

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/internal/fixedseed"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standin/objects"
)

func init() { fixedseed.SetChecks(30) }

// randomSource is a seeded random source that the goroutines of a synctest bubble share.
type randomSource struct {
	mu   sync.Mutex
	rand *rand.Rand
}

func newRandomSource(seed uint64) *randomSource {
	return &randomSource{rand: rand.New(rand.NewPCG(seed, 6))}
}

// chance returns true with probability p.
func (s *randomSource) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.Float64() < p
}

// intN returns a number in [0, n).
func (s *randomSource) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.IntN(n)
}

// duration returns a duration in [low, high) with a resolution of 1 ns, so that two events rarely
// fall on the same time.
func (s *randomSource) duration(low, high time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return low + time.Duration(s.rand.Int64N(int64(high-low)))
}

// platformFaults holds the faults that apply to the transports of all processes.
type platformFaults struct {
	mu sync.Mutex
	// down fails every request before it reaches the platform.
	down bool
	// slow raises the latency of each direction from at most 20 ms to at most 2.5 s.
	slow bool
	// lossy loses responses of writes and returns cached responses of reads.
	lossy bool
}

func (f *platformFaults) update(change func(*platformFaults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *platformFaults) read() (down, slow, lossy bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down, f.slow, f.lossy
}

var errPlatformDown = errors.New("platform is down")

// faultyTransport is the transport of one process to the platform. It can be slow and lossy, and
// its cache may respond to reads with an older state.
type faultyTransport struct {
	next   http.RoundTripper
	random *randomSource
	faults *platformFaults
	calls  *callCounts

	mu    sync.Mutex
	cache map[string]string
}

// callCounts counts requests to the platform by reads and writes.
type callCounts struct {
	mu     sync.Mutex
	reads  int
	writes int
}

func (c *callCounts) add(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if method == http.MethodGet {
		c.reads++
		return
	}
	c.writes++
}

// RoundTrip implements http.RoundTripper.
func (t *faultyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.calls.add(r.Method)
	down, slow, lossy := t.faults.read()
	latency := t.random.duration(time.Millisecond, 20*time.Millisecond)
	if slow {
		latency = t.random.duration(time.Millisecond, 2500*time.Millisecond)
	}
	if err := delay(r, latency); err != nil {
		return nil, err
	}
	if down {
		return nil, errPlatformDown
	}
	read := r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/objects/configuration/")
	if read && lossy && t.random.chance(0.3) {
		if body, ok := t.cachedBody(r.URL.Path); ok {
			return okResponse(r, body), nil
		}
	}
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if r.Method != http.MethodGet && lossy && t.random.chance(0.3) {
		return nil, objects.ErrResponseLost
	}
	if err := delay(r, latency); err != nil {
		return nil, err
	}
	if read && resp.StatusCode == http.StatusOK {
		return t.cacheSome(r, resp)
	}
	return resp, nil
}

func (t *faultyTransport) cachedBody(path string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	body, ok := t.cache[path]
	return body, ok
}

// cacheSome caches a response with probability 0.5, so that the cache lags behind.
func (t *faultyTransport) cacheSome(r *http.Request, resp *http.Response) (*http.Response, error) {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if t.random.chance(0.5) {
		t.mu.Lock()
		t.cache[r.URL.Path] = string(body)
		t.mu.Unlock()
	}
	return okResponse(r, string(body)), nil
}

func okResponse(r *http.Request, body string) *http.Response {
	return &http.Response{
		StatusCode: http.StatusOK, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), Request: r,
	}
}

// delay waits for d, or returns the error of the request's context as soon as that ends.
func delay(r *http.Request, d time.Duration) error {
	select {
	case <-r.Context().Done():
		return r.Context().Err()
	case <-time.After(d):
		return nil
	}
}

// fakePlatform is an object store in memory, with the faults that its clients meet.
type fakePlatform struct {
	server  *objects.Server
	handler http.Handler
	random  *randomSource
	faults  *platformFaults
	calls   *callCounts
}

func newFakePlatform(seed uint64) *fakePlatform {
	s := objects.New()
	return &fakePlatform{server: s, handler: s.Handler(), random: newRandomSource(seed), faults: &platformFaults{}, calls: &callCounts{}}
}

// client returns a client with a faulty transport of its own.
func (p *fakePlatform) client() *platform.Client {
	t := &faultyTransport{
		next: objects.Transport{Handler: p.handler}, random: p.random, faults: p.faults,
		calls: p.calls, cache: map[string]string{},
	}
	return platform.New(platform.Options{URL: "http://platform", Transport: t})
}

// direct returns a client without faults, whose rate limit is never reached.
func (p *fakePlatform) direct() *platform.Client {
	return platform.New(platform.Options{URL: "http://platform", Rate: 1e6, Burst: 1e6, Transport: objects.Transport{Handler: p.handler}})
}

// keyHash returns a bearer token hash for organisation n.
func keyHash(n int) string { return fmt.Sprintf("%064x", n+1) }

// initialDocument returns a document with n organisations and version 0.
func initialDocument(n int) *configuration.Document {
	d := &configuration.Document{
		Zones: []configuration.Zone{
			{Name: "gate-north", Region: "trondelag", State: configuration.ZoneIn},
			{Name: "gate-south", Region: "trondelag", State: configuration.ZoneIn},
			{Name: "lab-hall", Region: "trondelag", State: configuration.ZoneIn},
		},
		Models:   []configuration.Model{{Name: "intake-llm"}},
		Services: []configuration.Service{{Name: "weighbridge-app"}},
		Limits:   configuration.DefaultLimits(),
	}
	for i := range n {
		d.Organisations = append(d.Organisations, configuration.Organisation{
			Name: fmt.Sprintf("org-%04d", i), KeySHA256: keyHash(i), Weight: 1,
		})
	}
	return d
}
