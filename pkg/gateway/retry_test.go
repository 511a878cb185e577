package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/roster"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standstill"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
	"github.com/coltsfootpitch/coltsfootpitch/platform/standin"
)

// herd_kill: gateways restart next to a group that has yet to form and have no report of a leader.
// All ranks reject; callers that retry before the ranks are back would use up their retries.
func TestRetryAfterOfRefusingGroupCoversItsReturn(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 2)
	b.configureGroup()
	b.setBehaviours(shed, shed)
	status, _, head, err := b.call("/stream/a", "key-1", "")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(head.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after >= standstill.RankReturnTime.Seconds())
}

// configureGroup puts a configuration into force whose workers are the ranks of a group.
func (b *testbed) configureGroup() {
	b.t.Helper()
	b.store.PutRaw(platform.KindConfiguration, platform.NameConfiguration, []byte(strings.Replace(string(configuration("1")),
		`"max_connections":50`, `"max_connections":50,"engine":{"capacity":12,"stride":4,"step_ms":4.55,"sets":2,"experts":8,"form_ms":600}`, 1)))
	b.waitUntil("the workers", func() bool { n, _ := b.gateway.fleet.UsableCapacity("plain"); return b.gateway.Ready() && n == 2 })
}

// Thundering herd after a restart: gateways are back before the group has formed, and no leader has
// reported yet. One refusal shows that the group does not run. The call waits for it and does not use
// up its retry, and calls that arrive meanwhile wait without an attempt.
func TestCallsWaitForAGroupThatRefuses(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 2)
	b.configureGroup()
	b.setBehaviours(shed, shed)
	statuses := make(chan int, 2)
	call := func() {
		status, _, _, _ := b.call("/stream/a", "key-1", "")
		statuses <- status
	}
	go call()
	waiting := func() int { _, n := b.gateway.permits.usage("plain"); return n }
	waitFor(t, "the refused call to wait", func() bool { return waiting() == 1 })
	go call()
	waitFor(t, "the next call to wait", func() bool { return waiting() == 2 })
	is.Equal(b.requestCount(), 1)
	for _, w := range b.workers {
		w.SetHandler(w.Stream(3, 0))
	}
	b.gateway.applyLimit(roster.Limit{Service: "plain", Group: "g", FencingToken: 1, Share: 5})
	is.Equal(<-statuses, http.StatusOK)
	is.Equal(<-statuses, http.StatusOK)
	is.Equal(b.requestCount(), 3)
}

// power_off_all: a group forms for longer than a suspension without a leader lasts. All waiting calls were sent to it
// then, were refused, and had no attempt left when it ran; and each refusal counted the time to form anew, so that calls
// that could have waited were rejected.
func TestGroupThatIsFormingIsTriedWithOneCall(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 2)
	b.configureGroup()
	b.setBehaviours(shed, shed)
	const calls = 8
	statuses := make(chan int, calls)
	call := func() {
		status, _, _, _ := b.call("/stream/a", "key-1", "")
		statuses <- status
	}
	begin := time.Now()
	for range calls - 1 {
		go call()
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Until(begin.Add(stalledTTL * 6 / 5)))
	go call()
	time.Sleep(time.Until(begin.Add(stalledTTL * 3 / 2)))
	is.True(b.requestCount() <= 2) // the first one, and one when the suspension ended
	for _, w := range b.workers {
		w.SetHandler(w.Stream(3, 0))
	}
	served := 0
	for range calls {
		if <-statuses == http.StatusOK {
			served++
		}
	}
	is.True(served >= calls-1) // the call that was refused twice has no attempt left
}

// srv_grey: a group runs again, and the one request that finds out gets no response. The others must not wait for further
// ones.
func TestSuspendedServiceOpensWithoutARefusal(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 2)
	b.configureGroup()
	b.setBehaviours(shed, shed)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _, _, _ = b.call("/stream/a", "key-1", "")
	}()
	waitFor(t, "the refused call to wait", func() bool { _, n := b.gateway.permits.usage("plain"); return n == 1 })
	tried := make(chan struct{}, 9)
	for _, w := range b.workers {
		w.SetHandler(func(_ http.ResponseWriter, r *http.Request) {
			tried <- struct{}{}
			<-r.Context().Done()
		})
	}
	<-tried
	closed := func() bool {
		b.gateway.permits.mu.Lock()
		defer b.gateway.permits.mu.Unlock()
		return b.gateway.permits.gates["plain"].Closed()
	}
	is.True(closed())
	b.gateway.expireStalled("plain", time.Now().Add(stalledTTL))
	is.True(!closed())
	<-done
}

// A rank that has as much work as it can run rejects more of it for that reason, and other ranks are
// tried as usual.
func TestFullRankDoesNotSuspendTheService(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 2)
	b.configureGroup()
	for _, w := range b.workers {
		loads := map[string]int{w.Address(): 12}
		b.gateway.fleet.SetLoads(loads, nil, time.Now())
	}
	b.setBehaviours(shed, func(w *standin.Worker) func(http.ResponseWriter, *http.Request) { return w.Stream(3, 0) })
	status, _, _, err := b.call("/stream/a", "key-1", "")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(b.requestCount(), 2)
}

// power_off_all: all upstreams of a service came back cold. A gateway that had used up its starts for the moment rejected a
// request at once, or sent it to an ID that no longer existed, although it could start it some milliseconds later.
func TestRequestsWaitForAStartAtAColdUpstream(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 0)
	const rate = 10
	b.store.PutRaw(platform.KindConfiguration, platform.NameConfiguration, []byte(strings.Replace(string(configuration("1")),
		`"max_connections":50`, `"max_connections":50,"warmup_s":60,"warmup_per_s":10`, 1)))
	w := standin.NewWorker("new")
	t.Cleanup(w.Close)
	w.SetHandler(w.Stream(3, 0))
	b.workers = append(b.workers, w)
	for i, id := range []string{"old", "new"} {
		spec := w.UpstreamSpec("plain", "z")
		spec["born"], spec["warmup_left_ms"] = 1_000_000+i, 60_000
		b.store.Put(platform.KindUpstreams, id, spec)
	}
	b.waitUntil("the workers", func() bool { n, _ := b.gateway.fleet.UsableCapacity("plain"); return b.gateway.Ready() && n == 2 })
	begin := time.Now()
	const calls = 5
	for range calls {
		status, _, _, err := b.call("/stream/a", "key-1", "")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
	is.Equal(b.requestCount(), calls) // none was sent to the old ID, which the worker would have got too
	is.True(time.Since(begin) >= (calls-2)*time.Second/rate)
}
