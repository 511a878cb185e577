package dispatch

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/claimstore"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/idempotency"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standin/objects"
)

// newKeyed returns a dispatcher with a claim store at a stand-in of the platform.
func newKeyed(t *testing.T, stub *agentStub, codes ...code.Code) (*Dispatcher, *objects.Server) {
	store := objects.New()
	srv := httptest.NewServer(store.Handler())
	t.Cleanup(srv.Close)
	d := newDispatcher(t, stub, codes...)
	d.claims.store = claimstore.New(claimstore.Options{Objects: platform.New(platform.Options{URL: srv.URL})})
	return d, store
}

func keyedCall(body string) Request {
	return Request{
		ID: "r", Kind: peer.ServiceWork, Target: "svc", Method: http.MethodPost, Path: "/", Body: []byte(body),
		Organisation: configuration.Organisation{Name: "o"}, IdempotencyKey: "k",
	}
}

// call runs a keyed request and waits until the end of its claim is committed.
func call(d *Dispatcher, body string) (code.Code, *received) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	sink := &received{}
	res := d.Do(ctx, keyedCall(body), sink)
	d.Drain(ctx)
	return res.Code, sink
}

func TestRepeatGetsTheRecordedAnswer(t *testing.T) {
	is := is.New(t)
	stub := &agentStub{body: []byte("slip 7")}
	d, _ := newKeyed(t, stub, code.OK)
	first, _ := call(d, "a")
	is.Equal(first, code.OK)
	again, sink := call(d, "a")
	is.Equal(again, code.Duplicate)
	is.Equal(sink.String(), "slip 7")
	other, _ := call(d, "b")
	is.Equal(other, code.KeyReused)
	is.Equal(stub.runs, 1)
}

func TestRunOutlivesItsCaller(t *testing.T) {
	is := is.New(t)
	stub := &agentStub{body: []byte("slip 7"), running: make(chan struct{}), goOn: make(chan struct{})}
	d, _ := newKeyed(t, stub, code.OK)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan code.Code)
	go func() { ended <- d.Do(ctx, keyedCall("a"), &received{}).Code }()
	<-stub.running
	cancel()
	meanwhile, _ := call(d, "a")
	is.Equal(meanwhile, code.AlreadyInProgress)
	close(stub.goOn)
	is.Equal(<-ended, code.OK)
	d.Drain(context.Background())
	again, sink := call(d, "a")
	is.Equal(again, code.Duplicate)
	is.Equal(sink.String(), "slip 7")
}

func TestLargeAnswerIsNotKept(t *testing.T) {
	is := is.New(t)
	d, _ := newKeyed(t, &agentStub{body: bytes.Repeat([]byte("x"), idempotency.MaxAnswerBytes+1)}, code.OK)
	first, _ := call(d, "a")
	is.Equal(first, code.OK)
	again, sink := call(d, "a")
	is.Equal(again, code.AnswerNotKept)
	is.Equal(sink.Len(), 0)
}

func TestKeyOfARefusedCallIsFreeAndThatOfALostOneIsNot(t *testing.T) {
	is := is.New(t)
	d, _ := newKeyed(t, &agentStub{}, code.Overloaded, code.Overloaded)
	first, _ := call(d, "a")
	is.Equal(first.Outcome(), code.NotRun)
	again, _ := call(d, "a")
	is.Equal(again.Outcome(), code.NotRun) // refused again, not in progress
	d, _ = newKeyed(t, &agentStub{}, code.UpstreamLost)
	first, _ = call(d, "a")
	is.Equal(first, code.UpstreamLost)
	again, _ = call(d, "a")
	is.Equal(again, code.ClaimUnsettled)
}

func TestNothingRunsWithoutAClaim(t *testing.T) {
	is := is.New(t)
	stub := &agentStub{body: []byte("slip 7")}
	d, store := newKeyed(t, stub, code.OK)
	store.SetFaults(objects.Faults{Down: true})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	res := d.Do(ctx, keyedCall("a"), &received{})
	is.Equal(res.Code, code.ClaimUnavailable)
	is.Equal(stub.runs, 0)
	// An answer that is lost after the write took effect is settled by reading back.
	d, store = newKeyed(t, stub, code.OK)
	store.SetFaults(objects.Faults{LoseAnswers: 1})
	first, _ := call(d, "a")
	is.Equal(first, code.OK)
}
