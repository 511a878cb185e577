package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/standstill"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// herd_kill: gateways restart next to a group that has yet to form and have no report of a leader.
// All ranks reject; callers that retry before the ranks are back would use up their retries.
func TestRetryAfterOfRefusingGroupCoversItsReturn(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 2)
	b.store.PutRaw(platform.KindConfiguration, platform.NameConfiguration, []byte(strings.Replace(string(configuration("1")),
		`"max_connections":50`, `"max_connections":50,"engine":{"capacity":12,"stride":4,"step_ms":4.55,"sets":2,"experts":8}`, 1)))
	b.waitUntil("the workers", func() bool { n, _ := b.gateway.fleet.UsableCapacity("plain"); return b.gateway.Ready() && n == 2 })
	b.setBehaviours(shed, shed)
	status, _, head, err := b.call("/stream/a", "key-1", "")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(head.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after >= standstill.RankReturnTime.Seconds())
}
