package platform_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/internal/bubble"
	_ "github.com/coltsfootpitch/coltsfootpitch/internal/fixedseed"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standin/objects"
)

// callCounter is a transport with a latency of 5 ms that counts the calls in each second of virtual
// time.
type callCounter struct {
	next  http.RoundTripper
	start time.Time

	mu sync.Mutex
	// counts holds the number of calls by seconds since start.
	counts map[int]int
}

func (c *callCounter) RoundTrip(r *http.Request) (*http.Response, error) {
	c.mu.Lock()
	c.counts[int(time.Since(c.start)/time.Second)]++
	c.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	return c.next.RoundTrip(r)
}

// callsPerSecond returns the mean and the maximum number of calls in a second between two times
// after start.
func (c *callCounter) callsPerSecond(from, to time.Duration) (mean float64, most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for s := int(from / time.Second); s < int(to/time.Second); s++ {
		sum += c.counts[s]
		most = max(most, c.counts[s])
	}
	return float64(sum) / (to - from).Seconds(), most
}

// followerRecorder is a follower that records when the platform last recovered and how often it
// received a complete list.
type followerRecorder struct {
	mu        sync.Mutex
	lists     int
	changes   int
	recovered time.Time
}

func (r *followerRecorder) Replace([]platform.Object)   { r.count(&r.lists) }
func (r *followerRecorder) ApplyChange(platform.Object) { r.count(&r.changes) }
func (r *followerRecorder) PlatformLost(error)          {}
func (r *followerRecorder) PlatformRecovered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recovered = time.Now()
}

func (r *followerRecorder) listCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lists
}

func (r *followerRecorder) count(n *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*n++
}

// During an outage of one hour, the processes make few calls to the platform. After it they
// recover without a burst of calls and resume their watches without listing again.
func TestOutageOfAnHour(t *testing.T) {
	for _, processes := range []int{18, 54} {
		bubble.Test(t, func(t *testing.T) { testOutage(t, processes) })
	}
}

func testOutage(t *testing.T, processes int) {
	is := is.New(t)
	server := objects.New()
	calls := &callCounter{next: objects.Transport{Handler: server.Handler()}, start: time.Now(), counts: map[int]int{}}
	ctx, cancel := context.WithCancel(context.Background())
	var followers []*followerRecorder
	for range processes {
		c := platform.New(platform.Options{URL: "http://platform", Transport: calls})
		for _, kind := range []string{"instance", "configuration"} {
			r := &followerRecorder{}
			followers = append(followers, r)
			go c.Follow(ctx, kind, r)
		}
	}
	time.Sleep(time.Minute)
	server.SetFaults(objects.Faults{Down: true})
	time.Sleep(time.Hour)
	server.SetFaults(objects.Faults{})
	outageEnd := time.Now()
	time.Sleep(time.Minute)
	meanBefore, _ := calls.callsPerSecond(30*time.Second, time.Minute)
	meanDuring, maxDuring := calls.callsPerSecond(time.Minute+10*time.Second, time.Hour)
	_, maxAfter := calls.callsPerSecond(time.Hour+time.Minute, time.Hour+2*time.Minute)
	var lastRecovery time.Duration
	for _, r := range followers {
		lastRecovery = max(lastRecovery, r.recovered.Sub(outageEnd))
		is.Equal(r.listCount(), 1)
	}
	t.Logf("%d processes: %.1f calls/s before, %.1f during the outage (at most %d in a second), at most %d in a second after it; all recovered after %s",
		processes, meanBefore, meanDuring, maxDuring, maxAfter, lastRecovery)
	is.True(maxDuring <= processes)
	is.True(maxAfter <= 2*processes)
	is.True(lastRecovery <= 9*time.Second)
	cancel()
	time.Sleep(time.Minute)
}

// Thundering herd after an outage: however many kinds a process follows, it makes at most two calls
// a second while the platform recovers. Each follower retries as soon as the first call succeeds,
// so without a limit for the process all of them call at once.
func TestCallsAreSpacedAfterAnOutage(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := objects.New()
		calls := &callCounter{next: objects.Transport{Handler: server.Handler()}, start: time.Now(), counts: map[int]int{}}
		ctx, cancel := context.WithCancel(context.Background())
		c := platform.New(platform.Options{URL: "http://platform", Transport: calls})
		var followers []*followerRecorder
		for i := range 8 {
			r := &followerRecorder{}
			followers = append(followers, r)
			go c.Follow(ctx, fmt.Sprint("kind", i), r)
		}
		time.Sleep(20 * time.Second)
		server.SetFaults(objects.Faults{Down: true})
		time.Sleep(time.Minute)
		server.SetFaults(objects.Faults{})
		outageEnd := time.Now()
		time.Sleep(20 * time.Second)
		_, most := calls.callsPerSecond(80*time.Second, 84*time.Second)
		is.True(most <= 2)
		for _, r := range followers {
			is.True(r.recovered.After(outageEnd))
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

// A follower whose revision is older than the changes that the platform stores lists the kind once
// and continues to follow it.
func TestFollowerListsAfterAGap(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		server := objects.New()
		direct := platform.New(platform.Options{
			URL: "http://platform", Rate: 1e6, Burst: 1e6, Transport: objects.Transport{Handler: server.Handler()},
		})
		r := &followerRecorder{}
		limited := &permitTransport{next: objects.Transport{Handler: server.Handler()}, permits: make(chan struct{}, 100)}
		limited.permits <- struct{}{}
		go platform.New(platform.Options{URL: "http://platform", Transport: limited}).Follow(ctx, "k", r)
		time.Sleep(time.Second)
		is.Equal(r.listCount(), 1)
		for n := range 5000 {
			_, err := direct.Put(ctx, "k", fmt.Sprint("o", n), 0, n)
			is.NoErr(err)
		}
		for range 3 {
			limited.permits <- struct{}{}
		}
		time.Sleep(3 * time.Second)
		is.Equal(r.listCount(), 2)
		cancel()
		time.Sleep(time.Minute)
	})
}

// permitTransport sends one call for each permit.
type permitTransport struct {
	next    http.RoundTripper
	permits chan struct{}
}

func (p *permitTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	select {
	case <-p.permits:
		return p.next.RoundTrip(r)
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}
