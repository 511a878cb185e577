package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/dispatch"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

// brokenDispatcher writes one frame and loses the upstream.
type brokenDispatcher struct{ frame peer.Frame }

func (d brokenDispatcher) Do(_ context.Context, _ dispatch.Request, sink dispatch.Sink) dispatch.Result {
	if err := sink.WriteFrame(d.frame); err != nil {
		return dispatch.Result{Code: code.CallerGone}
	}
	return dispatch.Result{Code: code.UpstreamLost}
}

// requestStream sends a request for a stream to an entry whose upstream is lost after the frame. It
// returns the body of the response and the error that ended it.
func requestStream(t *testing.T, frame peer.Frame) (string, error) {
	t.Helper()
	key := sha256.Sum256([]byte("key"))
	document := &configuration.Document{
		Version: 1, Limits: configuration.DefaultLimits(), Models: []configuration.Model{{Name: "m"}},
		Organisations: []configuration.Organisation{{Name: "o", KeySHA256: hex.EncodeToString(key[:])}},
	}
	var holder configuration.Holder
	holder.Adopt(document)
	s := httptest.NewServer(New(Options{Dispatcher: brokenDispatcher{frame}, Config: &holder}).httpServer.Handler)
	defer s.Close()
	const body = `{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true}`
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer key")
	resp, err := s.Client().Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

// TestBrokenErrorResponseDoesNotLookComplete guards against the error response of an upstream that
// breaks off and is ended with an event, as if it were a stream: its caller cannot tell the cut.
func TestBrokenErrorResponseDoesNotLookComplete(t *testing.T) {
	is := is.New(t)
	text, err := requestStream(t, peer.Frame{Status: http.StatusBadRequest, Data: []byte(`{"error":"the first ha`)})
	is.True(err != nil)
	is.True(!strings.Contains(text, "event: error"))
}

// TestBrokenStreamEndsWithAnErrorEvent guards against a stream that breaks off and does not tell its
// caller why.
func TestBrokenStreamEndsWithAnErrorEvent(t *testing.T) {
	is := is.New(t)
	text, err := requestStream(t, peer.Frame{Status: http.StatusOK, Data: []byte("data: {}\n\n")})
	is.NoErr(err)
	is.True(strings.HasPrefix(text, "data: {}\n\nevent: error\n"))
}
