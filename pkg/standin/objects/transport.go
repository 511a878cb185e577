package objects

import (
	"errors"
	"net/http"
	"net/http/httptest"
)

// ErrLost is the fault of a call whose answer was lost.
var ErrLost = errors.New("objects: the answer was lost")

// Transport calls a handler in the same process in place of HTTP over TCP.
type Transport struct {
	Handler http.Handler
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (resp *http.Response, err error) {
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				panic(p)
			}
			resp, err = nil, ErrLost
		}
	}()
	w := httptest.NewRecorder()
	t.Handler.ServeHTTP(w, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return w.Result(), nil
}
