package gateway

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// configureTenants puts a configuration with these tenants, and with a public route, into force.
func (b *testbed) configureTenants(tenants string) {
	b.t.Helper()
	text := strings.Replace(string(configuration("2")), `[{"name":"o","api_keys":["key-1"]}]`, tenants, 1)
	text = strings.Replace(text, `"routes":[`, `"routes":[
 {"name":"open","host":"h","path_prefix":"/open/","type":"safe","service":"plain","public":true,"max_attempts":2,"timeout_ms":900,"target_latency_ms":100},`, 1)
	b.store.PutRaw(platform.KindConfiguration, platform.NameConfiguration, []byte(text))
	b.waitUntil("the tenants", func() bool { return b.gateway.Version() == 2 })
}

// Once the last API key was taken away, requests ran with keys that never were, with dropped keys and without a
// key.
func TestRequestsNeedAKeyWhenNoKeyIsLeft(t *testing.T) {
	for _, tenants := range []string{
		`[{"name":"o","api_keys":[]}]`, `[{"name":"o"}]`, `[{"name":"o","api_keys":null}]`, `[{"name":"o","api_keys":[""]}]`, `[]`, `null`,
	} {
		t.Run(tenants, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(t, 2)
			b.configure("1")
			b.configureTenants(tenants)
			before := b.requestCount()
			for _, path := range []string{"/safe/x", "/once/x", "/stream/x", "/live/x"} {
				for _, key := range []string{"key-1", "key-that-never-was", ""} {
					status, _, _, err := b.call(path, key, "body")
					is.NoErr(err)
					is.Equal(status, http.StatusUnauthorized)
				}
			}
			is.Equal(b.requestCount(), before)
			status, _, _, err := b.call("/open/x", "", "body")
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
		})
	}
}
