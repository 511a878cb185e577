package objects

import (
	"errors"
	"net/http"
	"net/http/httptest"
)

// ErrResponseLost is the error of a call whose response was lost: whether the call took effect is
// unknown to its sender.
var ErrResponseLost = errors.New("objects: the response was lost")

// Transport calls a handler in the same process instead of sending requests over TCP.
type Transport struct {
	Handler http.Handler
}

// RoundTrip implements http.RoundTripper. It returns ErrResponseLost when the handler panics with
// http.ErrAbortHandler.
func (t Transport) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				panic(p)
			}
			resp, err = nil, ErrResponseLost
		}
	}()
	w := httptest.NewRecorder()
	t.Handler.ServeHTTP(w, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return w.Result(), nil
}
