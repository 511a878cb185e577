package platform

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// TestResponseWithoutResultIsAnError guards against a body without the fields of a list or an object
// that is taken for an empty list, or for an object at revision 0.
func TestResponseWithoutResultIsAnError(t *testing.T) {
	for _, body := range []string{"", "{}", "null"} {
		t.Run(body, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, body)
			}))
			defer s.Close()
			c := New(Options{URL: s.URL})
			_, listErr := c.List(t.Context(), "things")
			_, watchErr := c.Watch(t.Context(), "things", 1, 0)
			_, getErr := c.Get(t.Context(), "things", "a")
			_, putErr := c.Put(t.Context(), "things", "a", 1, 1)
			t.Log(listErr, watchErr, getErr, putErr)
			is.True(listErr != nil && watchErr != nil && getErr != nil && putErr != nil)
		})
	}
}
