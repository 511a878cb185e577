package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/platform"
	"github.com/coltsfootpitch/coltsfootpitch/platform/standin"
)

// limitFleet is a fleet of gateways and workers that answer every request, under a steady load.
type limitFleet struct {
	*gatewayFleet
	workers []*standin.Worker

	// mu guards the fields below.
	mu       sync.Mutex
	urls     []string
	statuses map[int]int
	// longest is the longest time to an answer, and shortestWait the shortest Retry-After.
	longest      time.Duration
	shortestWait time.Duration
}

func newLimitFleet(t *testing.T, gateways, workers int) *limitFleet {
	t.Helper()
	f := &limitFleet{gatewayFleet: newGatewayFleet(t), statuses: map[int]int{}, shortestWait: time.Hour}
	for i := range workers {
		w := standin.NewWorker("i-" + strconv.Itoa(i))
		t.Cleanup(w.Close)
		f.workers = append(f.workers, w)
		f.store.Put(platform.KindUpstreams, w.ID, w.UpstreamSpec("plain", "z"))
	}
	f.startAll(gateways, workers)
	for _, g := range f.gateways {
		f.urls = append(f.urls, g.url)
	}
	return f
}

// run sends requests at a rate per second to all gateways in turn for a time.
func (f *limitFleet) run(rate int, duration time.Duration) {
	var calls sync.WaitGroup
	defer calls.Wait()
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	for end, i := time.Now().Add(duration), 0; time.Now().Before(end); i++ {
		<-tick.C
		f.mu.Lock()
		url := f.urls[i%len(f.urls)]
		f.mu.Unlock()
		calls.Go(func() { f.call(url) })
	}
}

func (f *limitFleet) call(url string) {
	req, err := http.NewRequest(http.MethodPost, url+"/safe/x", strings.NewReader("body"))
	if err != nil {
		f.t.Error(err)
		return
	}
	req.Host = "h"
	req.Header.Set("Authorization", "Bearer key-1")
	standin.SetAttemptID(req, "limited-"+strconv.FormatUint(requestNumber.Add(1), 10))
	begin := time.Now()
	resp, err := http.DefaultClient.Do(req)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.statuses[0]++
		return
	}
	resp.Body.Close()
	f.statuses[resp.StatusCode]++
	f.longest = max(f.longest, time.Since(begin))
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		f.shortestWait = min(f.shortestWait, time.Duration(seconds*float64(time.Second)))
	}
}

// replace stops a gateway and starts another one in its place.
func (f *limitFleet) replace(i int) {
	f.gateways[i].stop()
	g := f.start(i)
	f.gateways[i] = g
	f.mu.Lock()
	f.urls[i] = g.url
	f.mu.Unlock()
}

// mostArrivals returns the largest number of requests that reached a worker within limitWindow, of those
// after a time.
func mostArrivals(w *standin.Worker, after time.Time) int {
	var times []time.Time
	for _, r := range w.Requests() {
		if r.At.After(after) {
			times = append(times, r.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// arrivals returns the number of requests that reached a worker after a time.
func arrivals(w *standin.Worker, after time.Time) int {
	n := 0
	for _, r := range w.Requests() {
		if r.At.After(after) {
			n++
		}
	}
	return n
}

// limitWindow is the span in which the platform counts the requests of all gateways at a worker.
const limitWindow = 4 * time.Second

// maxAllowed returns how many requests may reach a worker with a limit per second in limitWindow.
func maxAllowed(perSecond float64) int {
	return int(1.5*perSecond*limitWindow.Seconds() + 5)
}

// A worker named a limit on the requests that it takes from all gateways together, and got its share of the
// load as before, also while gateways restart.
func TestGatewaysTogetherKeepTheLimitOfAnUpstream(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(t, 5, 3)
	limited := f.workers[0]
	for _, w := range f.workers {
		// With the time of real work, no worker seems faster than the others by chance, which would get it all requests.
		w.SetHandler(func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond)
			w.Succeed(rw, r)
		})
	}
	const limit, rate = 2.0, 40
	limited.SetRequestLimit("2.0")
	begin := time.Now()
	var disturbances sync.WaitGroup
	disturbances.Go(func() {
		time.Sleep(5 * time.Second)
		f.replace(1)
		time.Sleep(2 * time.Second)
		f.replace(2)
	})
	f.run(rate, 11*time.Second)
	disturbances.Wait()
	most := mostArrivals(limited, begin.Add(contactTime))
	used := arrivals(limited, begin.Add(contactTime))
	t.Logf("at most %d in %v, %d in all, statuses %v", most, limitWindow, used, f.statuses)
	is.True(most <= maxAllowed(limit))
	is.True(float64(used) >= 0.75*limit*8)                             // what the limit allows is used
	is.Equal(f.statuses[http.StatusOK], sum(f.statuses)-f.statuses[0]) // the others serve the rest

	limited.SetRequestLimit("")
	f.run(rate, 2*time.Second) // the next request that the limit allows is answered without it
	for _, w := range f.workers[1:] {
		f.store.Remove(platform.KindUpstreams, w.ID)
	}
	f.run(rate, time.Second)
	lifted := time.Now()
	f.run(rate, 2*time.Second)
	is.True(arrivals(limited, lifted) >= 9*rate*2/10) // it takes everything now
}

func sum(counts map[int]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// All workers of a service named limits: what they do not take has to be rejected at once, as not run, with
// the time when they take more.
func TestRequestsBeyondAllLimitsAreRejectedAtOnce(t *testing.T) {
	is := is.New(t)
	f := newLimitFleet(t, 3, 2)
	const limit, rate = 3.0, 30
	for _, w := range f.workers {
		w.SetRequestLimit("3")
	}
	f.run(rate, 2*time.Second)
	f.mu.Lock()
	f.longest, f.statuses = 0, map[int]int{}
	f.mu.Unlock()
	begin := time.Now()
	f.run(rate, 6*time.Second)
	t.Logf("statuses %v, longest %v, shortest Retry-After %v", f.statuses, f.longest, f.shortestWait)
	for _, w := range f.workers {
		is.True(mostArrivals(w, begin) <= maxAllowed(limit))
	}
	is.Equal(f.statuses[http.StatusOK]+f.statuses[http.StatusServiceUnavailable], sum(f.statuses))
	is.Equal(arrivals(f.workers[0], begin)+arrivals(f.workers[1], begin), f.statuses[http.StatusOK]) // a rejected request does not run
	is.True(float64(f.statuses[http.StatusOK]) >= 0.7*limit*6*float64(len(f.workers)))
	is.True(f.longest < 500*time.Millisecond)
	is.True(f.shortestWait > 0 && f.shortestWait < time.Hour)
}
