package steward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/route"
)

// Routes differ in the pause between events that callers accept. The strictest route of a group
// determines how long its passes may take.
func TestShortestEventGap(t *testing.T) {
	is := is.New(t)
	to := func(service string, gap time.Duration) route.Route {
		return route.Route{TargetEventGap: gap, Backends: []route.Backend{{Service: "other"}, {Service: service}}}
	}
	is.Equal(shortestEventGap(nil, "s"), defaultEventGap)
	is.Equal(shortestEventGap([]route.Route{to("s", 0)}, "s"), defaultEventGap)
	is.Equal(shortestEventGap([]route.Route{to("s", 200*time.Millisecond), to("s", 150*time.Millisecond), to("t", 50*time.Millisecond)}, "s"),
		150*time.Millisecond)
}
