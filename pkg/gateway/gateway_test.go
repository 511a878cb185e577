package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootpitch/coltsfootpitch/platform"
	"github.com/coltsfootpitch/coltsfootpitch/platform/standin"
)

// requestNumber numbers the requests of the tests.
var requestNumber atomic.Uint64

// testbed is a gateway with stand-ins for the store and the workers.
type testbed struct {
	t       *testing.T
	store   *standin.Store
	gateway *Gateway
	server  *httptest.Server
	workers []*standin.Worker
}

const configurationText = `{"version":%VERSION%,"routes":[
 {"name":"safe","host":"h","path_prefix":"/safe/","type":"safe","service":"plain","max_attempts":2,"timeout_ms":900,"target_latency_ms":100},
 {"name":"once","host":"h","path_prefix":"/once/","type":"unsafe","service":"plain","max_attempts":2,"timeout_ms":900,"target_latency_ms":100},
 {"name":"stream","host":"h","path_prefix":"/stream/","type":"streaming","resumable":true,"service":"plain","max_attempts":2,"timeout_ms":4000,"target_latency_ms":500},
 {"name":"live","host":"h","path_prefix":"/live/","type":"streaming","service":"plain","max_attempts":2,"timeout_ms":4000,"target_latency_ms":500}],
 "services":[{"name":"plain","max_connections":50}],
 "limits":{"max_body_bytes":1000,"idle_timeout_ms":15000},
 "tenants":[{"name":"o","api_keys":["key-1"]}]}`

func configuration(version string) []byte {
	return []byte(strings.Replace(configurationText, "%VERSION%", version, 1))
}

func newTestbed(t *testing.T, workers int) *testbed {
	t.Helper()
	b := newIdleTestbed(t, workers)
	b.followStore()
	return b
}

// followStore lets the gateway read the store.
func (b *testbed) followStore() {
	b.gateway.followStore(b.t.Context(), platform.NewStore(b.store.Address(), b.gateway.metrics, hclog.NewNullLogger()))
}

// newIdleTestbed returns a testbed whose gateway does not read the store yet.
func newIdleTestbed(t *testing.T, workers int) *testbed {
	t.Helper()
	b := &testbed{t: t, store: standin.NewStore()}
	t.Cleanup(b.store.Close)
	n := platform.Settings{
		Name: "edge-1", Zone: "z", StoreAddress: b.store.Address(), StopTimeout: 8 * time.Second,
		RetryLimits: platform.RetryLimits{Ratio: 0.2, Allowance: 94, Window: 10 * time.Second},
	}
	m := metrics.NewRegistry()
	b.gateway = newRunningGateway(n, m)
	b.server = httptest.NewServer(b.gateway)
	t.Cleanup(b.server.Close)
	for i := range workers {
		w := standin.NewWorker("i-" + string(rune('a'+i)))
		t.Cleanup(w.Close)
		b.workers = append(b.workers, w)
		b.store.Put(platform.KindUpstreams, w.ID, w.UpstreamSpec("plain", "z"))
	}
	return b
}

// newRunningGateway returns a gateway that has run for longer than the window of its retry budget.
func newRunningGateway(n platform.Settings, m metrics.Registry) *Gateway {
	g := New(n, NewFleet(n, hclog.NewNullLogger()), hclog.NewNullLogger(), m)
	g.startedAt = time.Now().Add(-time.Hour)
	return g
}

// configure puts a configuration into force and waits until the gateway has it and all workers.
func (b *testbed) configure(version string) {
	b.t.Helper()
	b.store.PutRaw(platform.KindConfiguration, platform.NameConfiguration, configuration(version))
	b.waitUntil("the configuration and the workers", func() bool {
		upstreams, _ := b.gateway.fleet.UsableCapacity("plain")
		return b.gateway.Ready() && upstreams == len(b.workers)
	})
}

func (b *testbed) waitUntil(description string, condition func() bool) {
	b.t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.t.Fatal("timed out waiting for: " + description)
}

// call sends a request. The error is also that of reading an incomplete response.
func (b *testbed) call(path, key, body string) (int, string, http.Header, error) {
	b.t.Helper()
	req, err := http.NewRequest(http.MethodPost, b.server.URL+path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Authorization", "Bearer "+key)
	standin.SetAttemptID(req, "attempt-"+strconv.FormatUint(requestNumber.Add(1), 10))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), resp.Header, err
}

func (b *testbed) requestCount() int {
	n := 0
	for _, w := range b.workers {
		n += len(w.Requests())
	}
	return n
}

// setBehaviours sets how the workers respond: the one that receives the first request as first, the
// others as second.
func (b *testbed) setBehaviours(first, second func(w *standin.Worker) func(http.ResponseWriter, *http.Request)) {
	var firstWorker atomic.Pointer[standin.Worker]
	for _, w := range b.workers {
		w.SetHandler(func(rw http.ResponseWriter, r *http.Request) {
			firstWorker.CompareAndSwap(nil, w)
			if firstWorker.Load() == w {
				first(w)(rw, r)
				return
			}
			second(w)(rw, r)
		})
	}
}

type behaviour = func(w *standin.Worker) func(http.ResponseWriter, *http.Request)

var (
	succeed behaviour = func(w *standin.Worker) func(http.ResponseWriter, *http.Request) { return w.Succeed }
	fail    behaviour = func(w *standin.Worker) func(http.ResponseWriter, *http.Request) { return w.Fail }
	shed    behaviour = func(w *standin.Worker) func(http.ResponseWriter, *http.Request) { return w.Shed }
	lose    behaviour = func(w *standin.Worker) func(http.ResponseWriter, *http.Request) { return w.DropConnection }
	stall   behaviour = func(*standin.Worker) func(http.ResponseWriter, *http.Request) {
		return func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // net/http detects a closed connection only once the body was read
			<-r.Context().Done()
		}
	}
)

func TestWithoutConfigurationRequestsGetServiceUnavailable(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 1)
	status, _, head, err := b.call("/safe/x", "key-1", "")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(head.Get("Retry-After") != "")
	is.True(!b.gateway.Ready())
}

func TestRoutesAndAPIKeys(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 1)
	b.configure("1")
	status, text, _, err := b.call("/safe/x?y=1", "key-1", "")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(text, "answer of i-a")
	got := b.workers[0].Requests()[0]
	is.Equal(got.Target, "/safe/x?y=1")
	is.Equal(got.Tenant, "o")
	is.True(!got.HasAPIKey)
	status, _, _, _ = b.call("/safe/x", "key-2", "")
	is.Equal(status, http.StatusUnauthorized)
	status, _, _, _ = b.call("/other/x", "key-1", "")
	is.Equal(status, http.StatusNotFound)
	status, _, _, _ = b.call("/once/x", "key-1", strings.Repeat("x", 1001))
	is.Equal(status, http.StatusRequestEntityTooLarge)
	is.Equal(b.requestCount(), 1)
}

// While the store is unreachable, an unknown key may be in a newer configuration.
func TestUnknownKeysGetServiceUnavailableWhileStoreIsLost(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 1)
	b.configure("1")
	b.gateway.storeLostAt.Store(1)
	b.gateway.startedAt = time.Now().Add(-time.Minute)
	status, _, _, _ := b.call("/safe/x", "key-2", "")
	is.Equal(status, http.StatusServiceUnavailable)
}

func TestIdempotentRequestsAreRetriedOnAnotherUpstream(t *testing.T) {
	for name, first := range map[string]behaviour{"failed": fail, "shed": shed, "lost": lose, "stalled": stall} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(t, 2)
			b.configure("1")
			b.setBehaviours(first, succeed)
			status, _, _, err := b.call("/safe/x", "key-1", "")
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			is.Equal(b.requestCount(), 2)
		})
	}
}

func TestNonIdempotentRequestsRunAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		first  behaviour
		status int
		ran    int
	}{
		{"failed", fail, http.StatusInternalServerError, 1},
		{"lost", lose, http.StatusBadGateway, 1},
		{"stalled", stall, http.StatusGatewayTimeout, 1},
		{"shed", shed, http.StatusOK, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(t, 2)
			b.configure("1")
			b.setBehaviours(c.first, succeed)
			status, _, _, err := b.call("/once/x", "key-1", "body")
			is.NoErr(err)
			is.Equal(status, c.status)
			is.Equal(b.requestCount(), c.ran)
		})
	}
}

func TestUnsignedSuccessIsNotForwarded(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 1)
	b.configure("1")
	b.workers[0].SetHandler(func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "someone else's") })
	status, text, _, err := b.call("/once/x", "key-1", "")
	is.NoErr(err)
	is.Equal(status, http.StatusBadGateway)
	is.Equal(text, "")
}

func TestResponseToAnEarlierRequestIsNotForwarded(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 1)
	b.configure("1")
	b.workers[0].SetHandler(b.workers[0].RespondTwice)
	for range 5 {
		status, text, _, err := b.call("/once/x", "key-1", "")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.Equal(text, "ok")
	}
	is.Equal(b.requestCount(), 5)
}

func TestStreamResumesOnAnotherUpstream(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 2)
	b.configure("1")
	b.setBehaviours(
		func(w *standin.Worker) func(http.ResponseWriter, *http.Request) { return w.Stream(6, 3) },
		func(w *standin.Worker) func(http.ResponseWriter, *http.Request) { return w.Stream(6, 0) },
	)
	status, text, _, err := b.call("/stream/x", "key-1", "")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	want := ""
	for _, id := range []string{"1", "2", "3", "4", "5", "6"} {
		want += "id: " + id + "\ndata: token " + id + "\n\n"
	}
	is.Equal(text, want)
}

func TestNonResumableStreamFailsVisibly(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 2)
	b.configure("1")
	b.setBehaviours(
		func(w *standin.Worker) func(http.ResponseWriter, *http.Request) { return w.Stream(6, 3) },
		func(w *standin.Worker) func(http.ResponseWriter, *http.Request) { return w.Stream(6, 0) },
	)
	_, _, _, err := b.call("/live/x", "key-1", "")
	is.True(err != nil)
	is.Equal(b.requestCount(), 1)
}

func TestStoreUpdatesTakeEffect(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 2)
	b.configure("1")
	b.store.Put(platform.KindEvacuations, "z", struct{}{})
	b.waitUntil("the zone to be taken out", func() bool { n, _ := b.gateway.fleet.UsableCapacity("plain"); return n == 0 })
	status, _, _, _ := b.call("/safe/x", "key-1", "")
	is.Equal(status, http.StatusServiceUnavailable)
	b.store.Remove(platform.KindEvacuations, "z")
	b.waitUntil("the zone to be back in use", func() bool { n, _ := b.gateway.fleet.UsableCapacity("plain"); return n == 2 })
	leaving := b.workers[0].UpstreamSpec("plain", "z")
	leaving["state"] = "draining"
	b.store.Put(platform.KindUpstreams, "i-a", leaving)
	b.waitUntil("the draining worker to be excluded", func() bool { n, _ := b.gateway.fleet.UsableCapacity("plain"); return n == 1 })
	b.store.PutRaw(platform.KindUpstreams, "i-b", []byte(`{"odd":true}`))
	b.waitUntil("the worker with an unreadable entry to be removed", func() bool { n, _ := b.gateway.fleet.UsableCapacity("plain"); return n == 0 })
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 1)
	b.configure("5")
	b.gateway.ApplyConfiguration(configuration("4"), "test")
	is.Equal(b.gateway.Version(), int64(5))
	b.gateway.ApplyConfiguration([]byte("{"), "test")
	is.Equal(b.gateway.Version(), int64(5))
}

// A gateway that starts while the store is unreachable serves with the state of a peer.
func TestPeerSnapshotServesWithoutTheStore(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 1)
	b.configure("3")
	n := platform.Settings{Name: "edge-2", Zone: "z"}
	other := New(n, NewFleet(n, hclog.NewNullLogger()), hclog.NewNullLogger(), metrics.NewRegistry())
	is.True(other.needsSnapshot(3, time.Now()))
	other.applySnapshot(b.gateway.snapshot(), "edge-1")
	is.Equal(other.Version(), int64(3))
	upstreams, _ := other.fleet.UsableCapacity("plain")
	is.Equal(upstreams, 1)
}

func TestRequestsOfDisconnectedCallersAreCancelled(t *testing.T) {
	b := newTestbed(t, 1)
	b.configure("1")
	started, ended := make(chan struct{}), make(chan struct{})
	b.workers[0].SetHandler(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	req, err := http.NewRequest(http.MethodGet, b.server.URL+"/once/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Authorization", "Bearer key-1")
	client := &http.Client{Timeout: 200 * time.Millisecond}
	go func() {
		if _, err := client.Do(req); err == nil {
			t.Error("the disconnected caller got a response")
		}
	}()
	<-started
	select {
	case <-ended:
	case <-time.After(700 * time.Millisecond): // half a second after the caller disconnected
		t.Fatal("the request of the disconnected caller was not cancelled in time")
	}
}
