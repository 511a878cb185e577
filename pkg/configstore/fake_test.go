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

// dice is a random source that goroutines of a bubble share.
type dice struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newDice(seed uint64) *dice { return &dice{r: rand.New(rand.NewPCG(seed, 6))} }

func (d *dice) chance(p float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.r.Float64() < p
}

func (d *dice) below(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.r.IntN(n)
}

// between returns a time with a resolution of a nanosecond, so that ties are rare.
func (d *dice) between(low, high time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return low + time.Duration(d.r.Int64N(int64(high-low)))
}

// weather is the state of the platform that all links share.
type weather struct {
	mu    sync.Mutex
	down  bool
	slow  bool
	lossy bool
}

func (w *weather) set(f func(*weather)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w)
}

func (w *weather) get() (down, slow, lossy bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down, w.slow, w.lossy
}

var errDown = errors.New("platform is down")

// link is one process's way to the platform: slow, lossy and with a cache that may
// answer reads with an older state.
type link struct {
	next    http.RoundTripper
	dice    *dice
	weather *weather
	calls   *calls

	mu    sync.Mutex
	cache map[string]string
}

// calls counts the calls by method.
type calls struct {
	mu     sync.Mutex
	reads  int
	writes int
}

func (c *calls) add(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if method == http.MethodGet {
		c.reads++
		return
	}
	c.writes++
}

// RoundTrip implements http.RoundTripper.
func (l *link) RoundTrip(r *http.Request) (*http.Response, error) {
	l.calls.add(r.Method)
	down, slow, lossy := l.weather.get()
	latency := l.dice.between(time.Millisecond, 20*time.Millisecond)
	if slow {
		latency = l.dice.between(time.Millisecond, 2500*time.Millisecond)
	}
	if err := pause(r, latency); err != nil {
		return nil, err
	}
	if down {
		return nil, errDown
	}
	read := r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/objects/configuration/")
	if read && lossy && l.dice.chance(0.3) {
		if text, ok := l.cached(r.URL.Path); ok {
			return answer(r, text), nil
		}
	}
	resp, err := l.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if r.Method != http.MethodGet && lossy && l.dice.chance(0.3) {
		return nil, objects.ErrLost
	}
	if err := pause(r, latency); err != nil {
		return nil, err
	}
	if read && resp.StatusCode == http.StatusOK {
		return l.remember(r, resp)
	}
	return resp, nil
}

func (l *link) cached(path string) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	text, ok := l.cache[path]
	return text, ok
}

// remember keeps every other answer, so that the cache lags behind.
func (l *link) remember(r *http.Request, resp *http.Response) (*http.Response, error) {
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if l.dice.chance(0.5) {
		l.mu.Lock()
		l.cache[r.URL.Path] = string(text)
		l.mu.Unlock()
	}
	return answer(r, string(text)), nil
}

func answer(r *http.Request, text string) *http.Response {
	return &http.Response{
		StatusCode: http.StatusOK, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{}, Body: io.NopCloser(strings.NewReader(text)), Request: r,
	}
}

func pause(r *http.Request, d time.Duration) error {
	select {
	case <-r.Context().Done():
		return r.Context().Err()
	case <-time.After(d):
		return nil
	}
}

// cloud is the platform with its links.
type cloud struct {
	server  *objects.Server
	handler http.Handler
	dice    *dice
	weather *weather
	calls   *calls
}

func newCloud(seed uint64) *cloud {
	s := objects.New()
	return &cloud{server: s, handler: s.Handler(), dice: newDice(seed), weather: &weather{}, calls: &calls{}}
}

// client returns a client with a link of its own.
func (c *cloud) client() *platform.Client {
	l := &link{
		next: objects.Transport{Handler: c.handler}, dice: c.dice, weather: c.weather,
		calls: c.calls, cache: map[string]string{},
	}
	return platform.New(platform.Options{URL: "http://platform", Transport: l})
}

// direct returns a client without faults.
func (c *cloud) direct() *platform.Client {
	return platform.New(platform.Options{URL: "http://platform", Rate: 1e6, Burst: 1e6, Transport: objects.Transport{Handler: c.handler}})
}

// hash returns a key hash for an organisation.
func hash(n int) string { return fmt.Sprintf("%064x", n+1) }

// first returns the first document with n organisations.
func first(n int) *configuration.Document {
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
			Name: fmt.Sprintf("org-%04d", i), KeySHA256: hash(i), Weight: 1,
		})
	}
	return d
}
