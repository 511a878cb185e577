package gateway

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// A route whose backends all have no share sent its requests to the last of them.
func TestRouteWithoutSharesRunsNowhere(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 2)
	b.configure("1")
	text := strings.Replace(string(configuration("2")), `"service":"plain"`, `"backends":[{"service":"plain","weight":0}]`, 1)
	b.store.PutRaw(platform.KindConfiguration, platform.NameConfiguration, []byte(text))
	b.waitUntil("the configuration", func() bool { return b.gateway.Version() == 2 })
	status, _, _, err := b.call("/safe/x", "key-1", "body")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(b.requestCount(), 0)
}
