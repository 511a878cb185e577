package steward

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/fanout"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/route"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
	"github.com/coltsfootpitch/coltsfootpitch/platform/standin"
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

// power_off_all: for three seconds the store lists all ranks twice, under their old IDs and the new ones. A leader polled
// each steward twice, through twice as many relays, and its polls took longer than they may.
func TestMembersAreListedOnce(t *testing.T) {
	is := is.New(t)
	s := standin.NewMemoryStore()
	for _, id := range []string{"old", "new"} {
		for _, address := range []string{"10.1.0.1:9000", "10.1.0.2:9000"} {
			s.Put(platform.KindUpstreams, id+"-"+address, map[string]any{"service": "s", "address": address, "zone": "z", "capacity": 12, "state": "ready"})
		}
	}
	store := platform.NewStore("10.0.0.1:1", metrics.NewRegistry(), hclog.NewNullLogger())
	store.SetTransport(s)
	members, err := listMembers(t.Context(), store, platform.Settings{UpstreamService: "s"})
	is.NoErr(err)
	is.Equal(len(members), 2)
	is.Equal(upstreams(members), []string{"10.1.0.1:9000", "10.1.0.2:9000"})
}

// power_off_all: a leader sends its list of members to all stewards of a group that has started again. With the names of all fields it took
// the link of the leader longer than a poll may.
func TestListOfMembersFitsIntoAPoll(t *testing.T) {
	is := is.New(t)
	f := newMemoryStewards(72)
	for i := range f.members {
		f.members[i].Zone = ""
	}
	packed := packMembers(f.members)
	is.Equal(unpackMembers(packed), f.members)
	text, err := json.Marshal(packed)
	is.NoErr(err)
	relays := len(f.members)/fanout.MaxRelayed + 1
	took := time.Duration(float64(relays*len(text)) / stewardLinkBytes * float64(time.Second))
	t.Logf("%d bytes to each of %d relays, %v", len(text), relays, took)
	is.True(took <= observeTimeout/5)
	is.Equal(len(unpackMembers([]string{"", "x", "10.1.0.1:9000", "10.1.0.1/7340"})), 0)
}
