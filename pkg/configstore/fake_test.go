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

func init() { fixedseed.Checks(30) }

// randomSource is a random source that goroutines of a bubble share.
type randomSource struct {
	mu   sync.Mutex
	rand *rand.Rand
}

func newRandomSource(seed uint64) *randomSource {
	return &randomSource{rand: rand.New(rand.NewPCG(seed, 6))}
}

func (d *randomSource) chance(p float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rand.Float64() < p
}

func (d *randomSource) intN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rand.IntN(n)
}

// duration returns a time with a resolution of a nanosecond, so that ties are rare.
func (d *randomSource) duration(low, high time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return low + time.Duration(d.rand.Int64N(int64(high-low)))
}

// platformFaults is the state of the platform that all links share.
type platformFaults struct {
	mu    sync.Mutex
	down  bool
	slow  bool
	lossy bool
}

func (w *platformFaults) update(f func(*platformFaults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w)
}

func (w *platformFaults) read() (down, slow, lossy bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down, w.slow, w.lossy
}

var errPlatformDown = errors.New("platform is down")

// faultyTransport is one process's way to the platform: slow, lossy and with a cache that may
// answer reads with an older state.
type faultyTransport struct {
	next   http.RoundTripper
	random *randomSource
	faults *platformFaults
	calls  *callCounts

	mu    sync.Mutex
	cache map[string]string
}

// callCounts counts the callCounts by method.
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
func (l *faultyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	l.calls.add(r.Method)
	down, slow, lossy := l.faults.read()
	latency := l.random.duration(time.Millisecond, 20*time.Millisecond)
	if slow {
		latency = l.random.duration(time.Millisecond, 2500*time.Millisecond)
	}
	if err := delay(r, latency); err != nil {
		return nil, err
	}
	if down {
		return nil, errPlatformDown
	}
	read := r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/objects/configuration/")
	if read && lossy && l.random.chance(0.3) {
		if text, ok := l.cachedBody(r.URL.Path); ok {
			return okResponse(r, text), nil
		}
	}
	resp, err := l.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if r.Method != http.MethodGet && lossy && l.random.chance(0.3) {
		return nil, objects.ErrLost
	}
	if err := delay(r, latency); err != nil {
		return nil, err
	}
	if read && resp.StatusCode == http.StatusOK {
		return l.cacheSome(r, resp)
	}
	return resp, nil
}

func (l *faultyTransport) cachedBody(path string) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	text, ok := l.cache[path]
	return text, ok
}

// cacheSome keeps every other answer, so that the cache lags behind.
func (l *faultyTransport) cacheSome(r *http.Request, resp *http.Response) (*http.Response, error) {
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if l.random.chance(0.5) {
		l.mu.Lock()
		l.cache[r.URL.Path] = string(text)
		l.mu.Unlock()
	}
	return okResponse(r, string(text)), nil
}

func okResponse(r *http.Request, text string) *http.Response {
	return &http.Response{
		StatusCode: http.StatusOK, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{}, Body: io.NopCloser(strings.NewReader(text)), Request: r,
	}
}

func delay(r *http.Request, d time.Duration) error {
	select {
	case <-r.Context().Done():
		return r.Context().Err()
	case <-time.After(d):
		return nil
	}
}

// fakePlatform is the platform with its links.
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

// client returns a client with a link of its own.
func (c *fakePlatform) client() *platform.Client {
	l := &faultyTransport{
		next: objects.Transport{Handler: c.handler}, random: c.random, faults: c.faults,
		calls: c.calls, cache: map[string]string{},
	}
	return platform.New(platform.Options{URL: "http://platform", Transport: l})
}

// direct returns a client without faults.
func (c *fakePlatform) direct() *platform.Client {
	return platform.New(platform.Options{URL: "http://platform", Rate: 1e6, Burst: 1e6, Transport: objects.Transport{Handler: c.handler}})
}

// keyHash returns a key keyHash for an organisation.
func keyHash(n int) string { return fmt.Sprintf("%064x", n+1) }

// initialDocument returns the initialDocument document with n organisations.
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
