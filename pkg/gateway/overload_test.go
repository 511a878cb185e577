package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/inventory"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/permit"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/roster"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/route"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/sharing"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
	"github.com/coltsfootpitch/coltsfootpitch/platform/standin"
)

func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("timed out waiting for: " + description)
}

// give_up: callers that disconnect while they wait leave the queue to those behind them.
func TestCancelledCallersLeaveTheQueue(t *testing.T) {
	is := is.New(t)
	p := newPermits()
	p.setLimit("s", 1)
	acquire := func(ctx context.Context, id string) (permit.Decision, error) {
		return p.acquire(ctx, "s", permit.Request{ID: id, Organisation: "o", Cost: 1, MaxWait: 30 * time.Second})
	}
	d, err := acquire(t.Context(), "first")
	is.NoErr(err)
	is.Equal(d.Outcome, permit.Granted)
	ctx, cancel := context.WithCancel(t.Context())
	errs := make(chan error)
	for i := range 10 {
		go func() {
			_, err := acquire(ctx, strconv.Itoa(i))
			errs <- err
		}()
	}
	waitFor(t, "ten waiting requests", func() bool { _, n := p.usage("s"); return n == 10 })
	granted := make(chan permit.Decision)
	go func() {
		d, _ := acquire(t.Context(), "stays")
		granted <- d
	}()
	waitFor(t, "eleven waiting requests", func() bool { _, n := p.usage("s"); return n == 11 })
	cancel()
	for range 10 {
		is.True(<-errs != nil)
	}
	p.release("s", time.Second)
	is.Equal((<-granted).Outcome, permit.Granted)
}

// srv_slow: a slow rank makes each pass of its group long, and a stream that cannot end in time is
// recognised in advance.
func TestRequiredResponseTimeFollowsPassTime(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 0)
	g := b.gateway
	is.Equal(g.requiredResponseTime("s", 100), time.Duration(0)) // no report of a leader
	g.mu.Lock()
	g.groupLimits["s"] = map[string]groupLimit{"g": {reportedAt: time.Now(), passTime: 60 * time.Millisecond, tokensPerPass: 4}}
	g.mu.Unlock()
	is.True(g.requiredResponseTime("s", 100) < 2*time.Second)
	g.mu.Lock()
	g.groupLimits["s"] = map[string]groupLimit{"g": {reportedAt: time.Now(), passTime: 600 * time.Millisecond, tokensPerPass: 4}}
	g.mu.Unlock()
	is.True(g.requiredResponseTime("s", 100) > 8*time.Second)
}

// srv_crash, herd_kill: a rank of a group is away. Requests that can wait are queued until the group
// forms; others are rejected at once with the time when it may be back, and no attempt is sent.
func TestStalledGroupQueuesOrRefusesRequests(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 1)
	b.configure("1")
	g := b.gateway
	b.workers[0].SetHandler(b.workers[0].Stream(3, 0))
	report := func(fencingToken int64, limit int, stalled bool, resumesInMillis float64) {
		g.applyLimit(roster.Limit{Service: "plain", FencingToken: fencingToken, Share: limit, Stalled: stalled, ResumesInMillis: resumesInMillis})
	}
	report(2, 5, false, 0)
	report(2, -1, true, 2000)
	status, _, head, err := b.call("/stream/a", "key-1", "")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(head.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after >= 2)
	is.Equal(b.requestCount(), 0)
	report(1, 5, false, 0) // a report of a former leader is ignored
	status, _, _, _ = b.call("/stream/a", "key-1", "")
	is.Equal(status, http.StatusServiceUnavailable)

	report(2, 5, true, 100)
	served := make(chan int)
	go func() {
		status, _, _, _ := b.call("/stream/a", "key-1", "")
		served <- status
	}()
	waitFor(t, "one waiting request", func() bool { _, n := g.permits.usage("plain"); return n == 1 })
	is.Equal(b.requestCount(), 0)
	report(2, 5, false, 0)
	is.Equal(<-served, http.StatusOK)

	report(2, 5, true, 5000)
	time.Sleep(stalledTTL + 10*time.Millisecond)
	status, _, _, _ = b.call("/stream/a", "key-1", "")
	is.Equal(status, http.StatusOK) // without reports of its leader the group counts as running
}

// srv_slow: a rank is so slow that no stream of its group can be on time. Then no permits are
// reserved for requests that are on time, and late ones may use all of them.
func TestLateRequestsGetAllPermitsWhenAllGroupsAreLate(t *testing.T) {
	is := is.New(t)
	g := newTestbed(t, 0).gateway
	onTimeWait := func(left time.Duration) time.Duration {
		c := &call{gateway: g, service: "s", startedAt: time.Now(), deadline: time.Now().Add(left),
			request: &platform.Request{Timeout: left},
			route:   &route.Route{Name: "r", Streaming: true, TargetLatency: 500 * time.Millisecond, TargetEventGap: 120 * time.Millisecond}}
		return c.maxOnTimeWait()
	}
	is.True(onTimeWait(8*time.Second) > 0)
	is.Equal(onTimeWait(5*time.Second), time.Duration(0)) // a retry of the caller
	g.applyLimit(roster.Limit{Service: "s", FencingToken: 1, Share: 5, EmptyPassMillis: 60})
	is.Equal(onTimeWait(5*time.Second), time.Duration(0)) // slow, but requests can be on time
	g.applyLimit(roster.Limit{Service: "s", FencingToken: 1, Share: 5, EmptyPassMillis: 218})
	is.True(onTimeWait(5*time.Second) > 0)
}

// herd_kill: requests wait for a group that is about to form when one more rank crashes. They are
// rejected at that moment and not at the end of their maximum wait.
func TestWaitingRequestsAreRefusedWhenTheyCannotStartInTime(t *testing.T) {
	is := is.New(t)
	p := newPermits()
	for _, service := range []string{"s", "other"} {
		p.setLimit(service, 20)
		p.close(service, 100*time.Millisecond)
	}
	decided := make(chan permit.Decision, 2)
	acquire := func(id, service string, maxWait time.Duration) {
		d, _ := p.acquire(t.Context(), service, permit.Request{ID: id, Organisation: "o", Cost: 1, MaxWait: maxWait, MaxOnTimeWait: time.Minute})
		decided <- d
	}
	go acquire("hasty", "s", time.Second)
	go acquire("patient", "s", time.Minute)
	go acquire("elsewhere", "other", time.Second)
	waitFor(t, "three waiting requests", func() bool { _, n := p.usage("s"); _, m := p.usage("other"); return n == 2 && m == 1 })
	startedAt := time.Now()
	p.close("s", 2*time.Second)
	is.Equal(<-decided, permit.Decision{Outcome: permit.Rejected, Wait: 2 * time.Second})
	is.True(time.Since(startedAt) < 500*time.Millisecond)
	_, waiting := p.usage("s")
	is.Equal(waiting, 1)
	p.setLimit("s", 1)
	is.Equal((<-decided).Outcome, permit.Granted)
}

// srv_crash: one of two groups of a service is stalled. Its work goes to the other group, and the
// service is closed only while both are stalled.
func TestLimitsOfGroupsOfOneServiceAddUp(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 2)
	b.configure("1")
	g := b.gateway
	report := func(group string, fencingToken int64, limit int, stalled bool) {
		worker := b.workers[0]
		if group == "b" {
			worker = b.workers[1]
		}
		g.applyLimit(roster.Limit{Service: "plain", Group: group, FencingToken: fencingToken, Share: limit, Stalled: stalled, ResumesInMillis: 2000,
			Loads: map[string]int{worker.Address(): 0}})
	}
	limit := func() (int, bool) {
		g.permits.mu.Lock()
		defer g.permits.mu.Unlock()
		return g.permits.gates["plain"].Limit(), g.permits.gates["plain"].Closed()
	}
	report("a", 9, 5, false)
	report("b", 1, 7, false)
	n, closed := limit()
	is.Equal(n, 12) // fencing tokens of the groups are independent
	is.True(!closed)
	for range 3 {
		_, _ = g.permits.requestPermit("plain", permit.Request{ID: strconv.Itoa(n), Organisation: "o", MaxWait: time.Second, MaxOnTimeWait: time.Second})
		n++
	}
	response := g.applyLimit(roster.Limit{Service: "plain", Group: "b", FencingToken: 1, Share: -1})
	is.Equal(response.Demand, sharing.Demand{Running: 2}) // the other half is demanded of the other group
	n = 12
	report("a", 9, -1, false)
	n, _ = limit()
	is.Equal(n, 12) // a report without a limit changes nothing
	report("a", 9, 5, true)
	n, closed = limit()
	is.Equal(n, 7)
	is.True(!closed)
	for range 4 {
		target, ok := g.fleet.Choose("plain", nil, time.Now())
		is.True(ok)
		is.Equal(target.ID, b.workers[1].ID)
	}
	report("b", 1, 7, true)
	_, closed = limit()
	is.True(closed)
	report("a", 9, 5, false)
	n, closed = limit()
	is.Equal(n, 5)
	is.True(!closed)
}

// evacuate: a group whose zone is taken out made few passes, and its leader reported a pass time of seconds. Requests were
// rejected as too slow for it although they went to the other groups, and its share of permits went to those as well.
func TestGroupWithoutUsableRanksDoesNotCount(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 2)
	b.configure("1")
	g := b.gateway
	out := b.workers[1]
	b.store.Put(platform.KindUpstreams, out.ID, out.UpstreamSpec("plain", "other"))
	zoneOf := func(id string) (zone string) {
		g.fleet.Update(func(v *inventory.Inventory, _ func(string) time.Duration) { zone = v.Entries()[id].Zone })
		return zone
	}
	waitFor(t, "the new zone", func() bool { return zoneOf(out.ID) == "other" })
	report := func() int {
		g.applyLimit(roster.Limit{Service: "plain", Group: "a", FencingToken: 1, Share: 5, PassMillis: 60, TokensPerPass: 4, Loads: map[string]int{b.workers[0].Address(): 3}})
		g.applyLimit(roster.Limit{Service: "plain", Group: "b", FencingToken: 1, Share: 7, PassMillis: 600, TokensPerPass: 4, Loads: map[string]int{out.Address(): 0}})
		g.permits.mu.Lock()
		defer g.permits.mu.Unlock()
		return g.permits.gates["plain"].Limit()
	}
	is.Equal(report(), 12)
	is.True(g.requiredResponseTime("plain", 100) > 8*time.Second)
	g.fleet.SetZonesOut([]string{"other"})
	is.Equal(report(), 5)
	is.True(g.requiredResponseTime("plain", 100) < 2*time.Second)
	g.fleet.SetZonesOut(nil)
	is.Equal(report(), 12)
}

// power_off_all, roll_term: a gateway had read the configuration and not yet the list of upstreams, or the store was away
// when it started. It rejected requests for want of an upstream, which could have waited for the list.
func TestRequestsWaitForTheListOfUpstreams(t *testing.T) {
	is := is.New(t)
	n := platform.Settings{Name: "edge-1", Zone: "z", RetryLimits: platform.RetryLimits{Ratio: 0.2, Allowance: 94, Window: 10 * time.Second}}
	b := &testbed{t: t, gateway: New(n, NewFleet(n, hclog.NewNullLogger()), hclog.NewNullLogger(), metrics.NewRegistry())}
	b.server = httptest.NewServer(b.gateway)
	t.Cleanup(b.server.Close)
	w := standin.NewWorker("i-a")
	t.Cleanup(w.Close)
	w.SetHandler(w.Stream(3, 0))
	b.gateway.ApplyConfiguration(configuration("1"), "test")
	served := make(chan int)
	go func() {
		status, _, _, _ := b.call("/stream/a", "key-1", "")
		served <- status
	}()
	waitFor(t, "one waiting request", func() bool { _, n := b.gateway.permits.usage("plain"); return n == 1 })
	spec, err := json.Marshal(w.UpstreamSpec("plain", "z"))
	is.NoErr(err)
	(&upstreamFollower{b.gateway}).Replace([]platform.Object{{Name: w.ID, Spec: spec}})
	is.Equal(<-served, http.StatusOK)
}

// hot_key: all requests are for the same path and body. No upstream is bound to it, so all take part.
func TestRequestsForOneKeyAreSpread(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 4)
	b.configure("1")
	for _, w := range b.workers {
		w.SetHandler(func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond) // makes requests overlap
			w.Succeed(rw, r)
		})
	}
	statuses := make(chan int)
	const callers, each = 8, 10
	for range callers {
		go func() {
			for range each {
				status, _, _, _ := b.call("/safe/one-thing", "key-1", "the same body")
				statuses <- status
			}
		}()
	}
	for range callers * each {
		is.Equal(<-statuses, http.StatusOK)
	}
	for _, w := range b.workers {
		is.True(len(w.Requests()) >= callers*each/len(b.workers)/2) // half of an equal share
	}
}
