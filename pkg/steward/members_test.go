package steward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/route"
)

// Deployments differ in the pauses that their callers bear; the strictest route of a group
// decides how long its passes may be.
func TestShortestGap(t *testing.T) {
	is := is.New(t)
	to := func(service string, gap time.Duration) route.Route {
		return route.Route{TargetEventGap: gap, Backends: []route.Backend{{Service: "other"}, {Service: service}}}
	}
	is.Equal(shortestGap(nil, "s"), usualGap)
	is.Equal(shortestGap([]route.Route{to("s", 0)}, "s"), usualGap)
	is.Equal(shortestGap([]route.Route{to("s", 200*time.Millisecond), to("s", 150*time.Millisecond), to("t", 50*time.Millisecond)}, "s"),
		150*time.Millisecond)
}
