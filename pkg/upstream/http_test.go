package upstream

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

// counted serves h and counts the calls.
func counted(t *testing.T, h http.HandlerFunc) (*HTTP, *atomic.Int64) {
	var calls atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		h(w, r)
	}))
	t.Cleanup(s.Close)
	return NewHTTP(s.URL), &calls
}

func post(body string) peer.RunRequest {
	return peer.RunRequest{
		Method: http.MethodPost, Path: "/slips", Body: []byte(body),
		Headers: []peer.Header{{Name: "Idempotency-Key", Value: "k"}},
	}
}

func TestRedirectIsNotFollowed(t *testing.T) {
	is := is.New(t)
	h, calls := counted(t, func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
	})
	resp, err := h.Send(context.Background(), post("x"))
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusTemporaryRedirect)
	is.Equal(calls.Load(), int64(1))
}

func TestCallThatMayNotBeRepeatedIsSentOnceWhenItsConnectionBreaks(t *testing.T) {
	is := is.New(t)
	h, calls := counted(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Break") != "" {
			panic(http.ErrAbortHandler)
		}
	})
	// A first call leaves a connection that could be used again.
	resp, err := h.Send(context.Background(), post("x"))
	is.NoErr(err)
	resp.Body.Close()
	r := post("x")
	r.Headers = append(r.Headers, peer.Header{Name: "Break", Value: "1"})
	_, err = h.Send(context.Background(), r)
	is.True(err != nil)
	is.True(!errors.Is(err, ErrNotSent)) // it may have run
	is.Equal(calls.Load(), int64(2))
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	is := is.New(t)
	_, err := NewHTTP("http://127.0.0.1:1").Send(context.Background(), post("x"))
	is.True(errors.Is(err, ErrNotSent))
}
