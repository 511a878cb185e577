package platform_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	_ "github.com/coltsfootpitch/coltsfootpitch/internal/fixedseed"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standin/objects"
)

// meter counts calls in each second of virtual time.
type meter struct {
	next  http.RoundTripper
	start time.Time

	mu     sync.Mutex
	counts map[int]int
}

func (m *meter) RoundTrip(r *http.Request) (*http.Response, error) {
	m.mu.Lock()
	m.counts[int(time.Since(m.start)/time.Second)]++
	m.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	return m.next.RoundTrip(r)
}

// window returns the mean and the largest number of calls in a second between two times.
func (m *meter) window(from, to time.Duration) (mean float64, most int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := 0
	for s := int(from / time.Second); s < int(to/time.Second); s++ {
		sum += m.counts[s]
		most = max(most, m.counts[s])
	}
	return float64(sum) / (to - from).Seconds(), most
}

// recorder notes when a follower last saw the platform recover, and how often it listed.
type recorder struct {
	mu        sync.Mutex
	lists     int
	changes   int
	recovered time.Time
}

func (r *recorder) Replace([]platform.Object) { r.count(&r.lists) }
func (r *recorder) Change(platform.Object)    { r.count(&r.changes) }
func (r *recorder) Lost(error)                {}
func (r *recorder) Recovered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recovered = time.Now()
}

func (r *recorder) listed() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lists
}

func (r *recorder) count(n *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*n++
}

// Processes ride out an hour without the platform at few calls, come back without a
// stampede and resume their watches without listing anew.
func TestOutageOfAnHour(t *testing.T) {
	for _, processes := range []int{18, 54} {
		synctest.Test(t, func(t *testing.T) { outage(t, processes) })
	}
}

func outage(t *testing.T, processes int) {
	is := is.New(t)
	server := objects.New()
	m := &meter{next: objects.Transport{Handler: server.Handler()}, start: time.Now(), counts: map[int]int{}}
	ctx, cancel := context.WithCancel(context.Background())
	var followers []*recorder
	for range processes {
		c := platform.New(platform.Options{URL: "http://platform", Transport: m})
		for _, kind := range []string{"instance", "configuration"} {
			r := &recorder{}
			followers = append(followers, r)
			go c.Follow(ctx, kind, r)
		}
	}
	time.Sleep(time.Minute)
	server.SetFaults(objects.Faults{Down: true})
	time.Sleep(time.Hour)
	server.SetFaults(objects.Faults{})
	back := time.Now()
	time.Sleep(time.Minute)
	calm, _ := m.window(30*time.Second, time.Minute)
	down, worst := m.window(time.Minute+10*time.Second, time.Hour)
	_, stampede := m.window(time.Hour+time.Minute, time.Hour+2*time.Minute)
	var last time.Duration
	for _, r := range followers {
		last = max(last, r.recovered.Sub(back))
		is.Equal(r.listed(), 1)
	}
	t.Logf("%d processes: %.1f calls/s before, %.1f during the outage (at most %d in a second), at most %d in a second after it; all back after %s",
		processes, calm, down, worst, stampede, last)
	is.True(worst <= processes)
	is.True(stampede <= 2*processes)
	is.True(last <= 9*time.Second)
	cancel()
	time.Sleep(time.Minute)
}

// A follower that is behind the held changes lists the kind once and goes on.
func TestFollowerListsAfterAGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		server := objects.New()
		direct := platform.New(platform.Options{
			URL: "http://platform", Rate: 1e6, Burst: 1e6, Transport: objects.Transport{Handler: server.Handler()},
		})
		r := &recorder{}
		gap := &pausing{next: objects.Transport{Handler: server.Handler()}, tokens: make(chan struct{}, 100)}
		gap.tokens <- struct{}{}
		go platform.New(platform.Options{URL: "http://platform", Transport: gap}).Follow(ctx, "k", r)
		time.Sleep(time.Second)
		is.Equal(r.listed(), 1)
		for n := range 5000 {
			_, err := direct.Put(ctx, "k", fmt.Sprint("o", n), 0, n)
			is.NoErr(err)
		}
		for range 3 {
			gap.tokens <- struct{}{}
		}
		time.Sleep(3 * time.Second)
		is.Equal(r.listed(), 2)
		cancel()
		time.Sleep(time.Minute)
	})
}

// pausing lets one call through for each token.
type pausing struct {
	next   http.RoundTripper
	tokens chan struct{}
}

func (p *pausing) RoundTrip(r *http.Request) (*http.Response, error) {
	select {
	case <-p.tokens:
		return p.next.RoundTrip(r)
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}
