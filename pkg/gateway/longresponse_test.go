package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A long response to an idempotent request was cut off when the time limit of attempts that can be
// repeated ran out, although its beginning had been sent and the call had time left.
func TestLongResponseIsNotCutByTheTimeLimitOfRepeatableAttempts(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 2)
	b.configure("1")
	const beginning, rest = 300 << 10, 10 << 10
	for _, w := range b.workers {
		w.SetHandler(func(rw http.ResponseWriter, _ *http.Request) {
			w.Sign(rw)
			rw.Header().Set("Content-Length", fmt.Sprint(beginning+rest))
			_, _ = io.WriteString(rw, strings.Repeat("x", beginning))
			_ = http.NewResponseController(rw).Flush()
			time.Sleep(450 * time.Millisecond) // longer than a third of the route's 900 ms
			_, _ = io.WriteString(rw, strings.Repeat("y", rest))
		})
	}
	_, text, _, err := b.call("/safe/x", "key-1", "")
	is.NoErr(err)
	is.Equal(len(text), beginning+rest)
}
