package dispatch

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/instancelist"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

// agentStub responds to each attempt with the next of its codes. Both agents of a test use the
// same stub. It implements peer.Runner.
type agentStub struct {
	codes chan code.Code
	// body is the response body of a run that ends with OK.
	body []byte
	// silent makes a run end with OK without a response.
	silent bool
	// running is closed at the first run, which then waits for proceed; nil for no wait.
	running, proceed chan struct{}
	// runs counts the runs that end with OK.
	runs int
}

func (a *agentStub) Run(_ context.Context, s peer.FrameSender, r peer.RunRequest) peer.RunResult {
	res := peer.RunResult{Code: <-a.codes, CallID: r.CallID, Attempt: r.Attempt, Incarnation: r.Incarnation, Checksum: xxhash.Sum64(nil)}
	if res.Code != code.OK {
		return res
	}
	a.runs++
	if a.silent {
		return res
	}
	if a.running != nil {
		close(a.running)
		<-a.proceed
	}
	if s.Send(peer.Frame{Status: http.StatusOK, Data: a.body}) != nil {
		res.Code = code.UpstreamLost
	}
	res.Length = int64(len(a.body))
	res.Checksum = xxhash.Sum64(a.body)
	return res
}

// newTestDispatcher returns a dispatcher with two agents that respond with the codes in turn.
func newTestDispatcher(t *testing.T, codes ...code.Code) *Dispatcher {
	return newTestDispatcherWithStub(t, &agentStub{}, codes...)
}

// newTestDispatcherWithStub returns a dispatcher with two agents that the stub implements.
func newTestDispatcherWithStub(t *testing.T, stub *agentStub, codes ...code.Code) *Dispatcher {
	is := is.New(t)
	stub.codes = make(chan code.Code, len(codes))
	for _, c := range codes {
		stub.codes <- c
	}
	doc := &configuration.Document{
		Version: 1, Limits: configuration.DefaultLimits(),
		Zones:    []configuration.Zone{{Name: "z", Region: "r", State: configuration.ZoneIn}},
		Services: []configuration.Service{{Name: "svc"}},
	}
	holder := &configuration.Holder{}
	holder.Adopt(doc)
	rec := event.NewRecorder("entry", event.NewClock(nil), nil)
	table := NewInstanceTable(InstanceTableOptions{Name: "entry", Zone: "z", Region: "r", Config: holder, Events: rec, Now: time.Now})
	var list []instancelist.Instance
	for _, id := range []string{"a", "b"} {
		work := listen(t)
		srv := &http.Server{Handler: peer.WorkHandler(stub, peer.Credentials{})}
		go func() { _ = srv.Serve(work) }()
		t.Cleanup(func() { srv.Close() })
		control := listen(t)
		ctl := peer.NewServer(peer.Credentials{})
		status := peer.Status{Upstream: id, Zone: "z", Incarnation: "i", WorkAddress: work.Addr().String(), Services: []string{"svc"}, Limit: 1, Reachable: true}
		peer.Handle(ctl, peer.MethodStatus, func(context.Context, *jsonrpc2.Conn, peer.StatusRequest) (peer.Status, error) {
			return status, nil
		})
		go func() { _ = ctl.Serve(control) }()
		t.Cleanup(func() { ctl.Close() })
		list = append(list, instancelist.Instance{ID: id, Role: instancelist.RoleUpstream, Zone: "z", State: instancelist.StateLive, ControlAddress: control.Addr().String()})
	}
	table.SetInstances(list)
	for id := range table.peerClients() {
		table.observe(id, statusOf(is, table, id), time.Now())
	}
	registry := metrics.NewRegistry()
	return New(table, holder, rec, nil, NewQuarantine(table, nil, registry), registry)
}

func statusOf(is *is.I, t *InstanceTable, id string) peer.Status {
	s, err := peer.Call[peer.Status](context.Background(), t.peerClients()[id], peer.MethodStatus, peer.StatusRequest{})
	is.NoErr(err)
	return s
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// The result of a request is "not run" only when no attempt ran. A lost attempt may have run, even
// if the next one was rejected.
func TestResultIsNotRunOnlyIfEveryAttemptDidNotRun(t *testing.T) {
	request := Request{ID: "r", Kind: peer.ServiceWork, Target: "svc", Method: http.MethodGet, Path: "/", Organisation: configuration.Organisation{Name: "o"}}
	for _, c := range []struct {
		name       string
		idempotent bool
		codes      []code.Code
		want       code.Code
	}{
		{"refused by both", false, []code.Code{code.Overloaded, code.ZoneOut}, code.ZoneOut},
		{"lost and then refused", true, []code.Code{code.UpstreamLost, code.Overloaded}, code.UpstreamLost},
		{"lost and not idempotent", false, []code.Code{code.UpstreamLost}, code.UpstreamLost},
		{"refused and then lost", false, []code.Code{code.Overloaded, code.UpstreamLost}, code.UpstreamLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := request
			r.Idempotent = c.idempotent
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			got := newTestDispatcher(t, c.codes...).Do(ctx, r, &callerStub{})
			is.Equal(got.Code, c.want)
		})
	}
}

// TestResultIsOKOnlyForAWholeResponse guards against an attempt that ends with OK although its response
// has no header, or its stream no closing event: the caller got an empty 200, or a stream that looked
// complete.
func TestResultIsOKOnlyForAWholeResponse(t *testing.T) {
	for _, c := range []struct {
		name   string
		stub   agentStub
		stream bool
		want   code.Code
	}{
		{"no response", agentStub{silent: true}, false, code.AnswerNotWhole},
		{"empty response", agentStub{}, false, code.OK},
		{"empty stream", agentStub{}, true, code.AnswerNotWhole},
		{"stream without closing event", agentStub{body: []byte("data: {}\n\n")}, true, code.AnswerNotWhole},
		{"whole stream", agentStub{body: []byte("data: {}\n\ndata: [DONE]\n\n")}, true, code.OK},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			r := Request{ID: "r", Kind: peer.ServiceWork, Target: "svc", Method: http.MethodPost, Path: "/", Stream: c.stream, Organisation: configuration.Organisation{Name: "o"}}
			var caller callerStub
			got := newTestDispatcherWithStub(t, &c.stub, code.OK).Do(ctx, r, &caller)
			is.Equal(got.Code, c.want)
			is.True(got.Code == code.OK || !strings.Contains(caller.String(), "[DONE]"))
		})
	}
}
