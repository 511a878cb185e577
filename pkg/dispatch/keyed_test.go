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

// newKeyedDispatcher returns a dispatcher whose claim store uses a platform stand-in.
func newKeyedDispatcher(t *testing.T, stub *agentStub, codes ...code.Code) (*Dispatcher, *objects.Server) {
	store := objects.New()
	srv := httptest.NewServer(store.Handler())
	t.Cleanup(srv.Close)
	d := newTestDispatcherWithStub(t, stub, codes...)
	d.claims.store = claimstore.New(claimstore.Options{Objects: platform.New(platform.Options{URL: srv.URL})})
	return d, store
}

func keyedRequest(body string) Request {
	return Request{
		ID: "r", Kind: peer.ServiceWork, Target: "svc", Method: http.MethodPost, Path: "/", Body: []byte(body),
		Organisation: configuration.Organisation{Name: "o"}, IdempotencyKey: "k",
	}
}

// doKeyed runs a request with an idempotency key and waits until the end of its claim is
// committed.
func doKeyed(d *Dispatcher, body string) (code.Code, *callerStub) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	sink := &callerStub{}
	res := d.Do(ctx, keyedRequest(body), sink)
	d.Drain(ctx)
	return res.Code, sink
}

// A repeated request returns the recorded response without a second run. Another request with
// the same key is rejected.
func TestRepeatReturnsRecordedResponse(t *testing.T) {
	is := is.New(t)
	stub := &agentStub{body: []byte("slip 7")}
	d, _ := newKeyedDispatcher(t, stub, code.OK)
	first, _ := doKeyed(d, "a")
	is.Equal(first, code.OK)
	again, sink := doKeyed(d, "a")
	is.Equal(again, code.Duplicate)
	is.Equal(sink.String(), "slip 7")
	other, _ := doKeyed(d, "b")
	is.Equal(other, code.KeyReused)
	is.Equal(stub.runs, 1)
}

// The run of a request with an idempotency key continues after its caller disconnects, so that a
// repeat does not run it twice.
func TestKeyedRunContinuesAfterCallerDisconnects(t *testing.T) {
	is := is.New(t)
	stub := &agentStub{body: []byte("slip 7"), running: make(chan struct{}), proceed: make(chan struct{})}
	d, _ := newKeyedDispatcher(t, stub, code.OK)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan code.Code)
	go func() { ended <- d.Do(ctx, keyedRequest("a"), &callerStub{}).Code }()
	<-stub.running
	cancel()
	concurrent, _ := doKeyed(d, "a")
	is.Equal(concurrent, code.AlreadyInProgress)
	close(stub.proceed)
	is.Equal(<-ended, code.OK)
	d.Drain(context.Background())
	again, sink := doKeyed(d, "a")
	is.Equal(again, code.Duplicate)
	is.Equal(sink.String(), "slip 7")
}

// A response above the size limit is not recorded; a repeat is rejected instead of run again.
func TestLargeResponseIsNotRecorded(t *testing.T) {
	is := is.New(t)
	d, _ := newKeyedDispatcher(t, &agentStub{body: bytes.Repeat([]byte("x"), idempotency.MaxResponseBytes+1)}, code.OK)
	first, _ := doKeyed(d, "a")
	is.Equal(first, code.OK)
	again, sink := doKeyed(d, "a")
	is.Equal(again, code.AnswerNotKept)
	is.Equal(sink.Len(), 0)
}

// The key of a rejected request is released. The key of a request that may have run is not, as a
// repeat would run it twice.
func TestKeyIsReleasedAfterRefusalButNotAfterLoss(t *testing.T) {
	is := is.New(t)
	d, _ := newKeyedDispatcher(t, &agentStub{}, code.Overloaded, code.Overloaded)
	first, _ := doKeyed(d, "a")
	is.Equal(first.Outcome(), code.NotRun)
	again, _ := doKeyed(d, "a")
	is.Equal(again.Outcome(), code.NotRun) // the claim was released: rejected again, not in progress
	d, _ = newKeyedDispatcher(t, &agentStub{}, code.UpstreamLost)
	first, _ = doKeyed(d, "a")
	is.Equal(first, code.UpstreamLost)
	again, _ = doKeyed(d, "a")
	is.Equal(again, code.ClaimUnsettled)
}

// A request with an idempotency key does not run while its claim cannot be committed.
func TestKeyedRequestNeedsCommittedClaim(t *testing.T) {
	is := is.New(t)
	stub := &agentStub{body: []byte("slip 7")}
	d, store := newKeyedDispatcher(t, stub, code.OK)
	store.SetFaults(objects.Faults{Down: true})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	res := d.Do(ctx, keyedRequest("a"), &callerStub{})
	is.Equal(res.Code, code.ClaimUnavailable)
	is.Equal(stub.runs, 0)
	// A write whose response is lost is confirmed by reading the object back.
	d, store = newKeyedDispatcher(t, stub, code.OK)
	store.SetFaults(objects.Faults{LoseResponses: 1})
	first, _ := doKeyed(d, "a")
	is.Equal(first, code.OK)
}
