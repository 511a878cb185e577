package dispatch

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/instancelist"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/prefix"
)

// testTable is a table with a manual clock.
type testTable struct {
	*InstanceTable
	now    time.Time
	config *configuration.Holder
	list   []instancelist.Instance
}

var modelTarget = workTarget{peer.ModelWork, "intake-llm"}

// newTestTable returns a table with n idle upstreams in two zones of the own region.
func newTestTable(n int) *testTable {
	tab := &testTable{now: time.Unix(1000, 0), config: &configuration.Holder{}}
	tab.InstanceTable = NewInstanceTable(InstanceTableOptions{
		Name: "entry-0", Zone: "a", Region: "r", Config: tab.config,
		Events: event.NewRecorder("entry-0", event.NewClock(nil), nil),
		Now:    func() time.Time { return tab.now },
	})
	tab.setZones(1, configuration.ZoneIn, configuration.ZoneIn, configuration.ZoneIn)
	for i := range n {
		tab.addInstance(instancelist.Instance{
			ID: fmt.Sprintf("up-%d", i), Role: instancelist.RoleUpstream, Zone: []string{"a", "b"}[i%2], Region: "r", State: instancelist.StateLive,
		})
	}
	tab.reportAll()
	return tab
}

// setZones adopts a configuration with these states of the zones a and b of region r and c of
// region s.
func (tab *testTable) setZones(version int64, states ...configuration.ZoneState) {
	d := &configuration.Document{Version: version}
	for i, name := range []string{"a", "b", "c"} {
		region := "r"
		if name == "c" {
			region = "s"
		}
		d.Zones = append(d.Zones, configuration.Zone{Name: name, Region: region, State: states[i]})
	}
	tab.config.Adopt(d)
}

// addInstance appends an instance to the list.
func (tab *testTable) addInstance(i instancelist.Instance) {
	i.Revision = int64(len(tab.list) + 1)
	tab.list = append(tab.list, i)
	tab.SetInstances(tab.list)
}

// healthyStatus returns the status of a reachable, idle upstream.
func healthyStatus() peer.Status {
	return peer.Status{Models: []string{"intake-llm"}, Limit: 8, Reachable: true, Incarnation: "one"}
}

// reportAll stores an idle status for every upstream.
func (tab *testTable) reportAll() {
	for _, i := range tab.list {
		tab.observe(i.ID, healthyStatus(), tab.now)
	}
}

// reportStatus stores a healthy status with the change for an upstream.
func (tab *testTable) reportStatus(id string, change func(*peer.Status)) {
	s := healthyStatus()
	change(&s)
	tab.observe(id, s, tab.now)
}

// An entry that is ready after the status of one upstream would reject the requests for all
// models and services of the other upstreams.
func TestReadyOnceEveryUpstreamOfTheFirstListWasPolled(t *testing.T) {
	is := is.New(t)
	tab := newTestTable(0)
	is.True(!tab.Ready()) // no list
	tab.addInstance(instancelist.Instance{ID: "plain", Role: instancelist.RoleUpstream, Zone: "a", State: instancelist.StateLive, ControlAddress: "127.0.0.1:1"})
	tab.addInstance(instancelist.Instance{ID: "model", Role: instancelist.RoleUpstream, Zone: "a", State: instancelist.StateLive, ControlAddress: "127.0.0.1:2"})
	tab.reportStatus("plain", func(*peer.Status) {})
	tab.markPolled("plain")
	is.True(!tab.Ready()) // the other upstream was not polled
	tab.markPolled("model")
	is.True(tab.Ready()) // it was polled without a response, which does not delay readiness
	tab.addInstance(instancelist.Instance{ID: "new", Role: instancelist.RoleUpstream, Zone: "a", State: instancelist.StateLive, ControlAddress: "127.0.0.1:3"})
	is.True(tab.Ready()) // an upstream that is listed later does not end readiness
}

// pick avoids upstreams that are taken out, leaving, lost, out of date or without the target.
func TestPickAvoids(t *testing.T) {
	cases := []struct {
		name   string
		setUp  func(tab *testTable)
		expect string
	}{
		{"nothing", func(*testTable) {}, "up-0"},
		{"a zone that is out", func(tab *testTable) {
			tab.setZones(2, configuration.ZoneOut, configuration.ZoneIn, configuration.ZoneIn)
		}, "up-1"},
		{"a zone that its agent reports as out", func(tab *testTable) { tab.reportStatus("up-0", func(s *peer.Status) { s.ZoneOut = true }) }, "up-1"},
		{"a leaving agent", func(tab *testTable) { tab.reportStatus("up-0", func(s *peer.Status) { s.Leaving = true }) }, "up-1"},
		{"an unreachable upstream", func(tab *testTable) { tab.reportStatus("up-0", func(s *peer.Status) { s.Reachable = false }) }, "up-1"},
		{"another model", func(tab *testTable) { tab.reportStatus("up-0", func(s *peer.Status) { s.Models = []string{"other"} }) }, "up-1"},
		{"a leaving instance", func(tab *testTable) {
			tab.list[0].State = instancelist.StateLeaving
			tab.SetInstances(tab.list)
		}, "up-1"},
		{"an instance that is gone", func(tab *testTable) { tab.SetInstances(tab.list[1:]) }, "up-1"},
		{"an old status", func(tab *testTable) {
			tab.now = tab.now.Add(MaxStatusAge + 1)
			tab.reportStatus("up-1", func(*peer.Status) {})
		}, "up-1"},
		{"a lost agent", func(tab *testTable) { tab.markLostByID("up-0") }, "up-1"},
		{"nothing after a new status", func(tab *testTable) { tab.markLostByID("up-0"); tab.reportAll() }, "up-0"},
		{"every zone that is out", func(tab *testTable) {
			tab.setZones(2, configuration.ZoneOut, configuration.ZoneOut, configuration.ZoneIn)
		}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tab := newTestTable(2)
			c.setUp(tab)
			p, _ := tab.pick(modelTarget, nil, nil)
			is.New(t).Equal(p.id, c.expect)
		})
	}
}

// Other regions are used only when the own region has no eligible upstream.
func TestPickStaysInRegion(t *testing.T) {
	is := is.New(t)
	tab := newTestTable(2)
	tab.addInstance(instancelist.Instance{ID: "far", Role: instancelist.RoleUpstream, Zone: "c", Region: "s", State: instancelist.StateLive})
	tab.reportAll()
	for range 100 {
		p, ok := tab.pick(modelTarget, nil, nil)
		is.True(ok && p.id != "far")
	}
	_, ok := tab.pick(modelTarget, nil, []string{"up-0", "up-1"})
	is.True(!ok) // rejections by all upstreams do not move load to another region
	tab.setZones(2, configuration.ZoneOut, configuration.ZoneOut, configuration.ZoneIn)
	p, _ := tab.pick(modelTarget, nil, nil)
	is.Equal(p.id, "far")
}

// Attempts in progress count until they are released, even if statuses received in between do
// not include them.
func TestPickCountsAttemptsInProgress(t *testing.T) {
	is := is.New(t)
	tab := newTestTable(2)
	var selections []selection
	for range 8 {
		p, _ := tab.pick(modelTarget, nil, nil)
		selections = append(selections, p)
		tab.reportAll()
	}
	count := map[string]int{}
	for _, p := range selections {
		count[p.id]++
	}
	is.Equal(count["up-0"], 4) // idle statuses without the attempts must not hide them
	for _, p := range selections {
		tab.releaseAttempt(p)
	}
	for _, m := range tab.members {
		is.Equal(m.inProgress, int32(0))
	}
}

// A status that arrives after a newer one is dropped.
func TestObserveDropsOutOfOrderStatus(t *testing.T) {
	is := is.New(t)
	tab := newTestTable(1)
	tab.reportStatus("up-0", func(s *peer.Status) { s.Stamp = event.Stamp{Wall: 20}; s.Leaving = true })
	tab.reportStatus("up-0", func(s *peer.Status) { s.Stamp = event.Stamp{Wall: 10} })
	_, ok := tab.pick(modelTarget, nil, nil)
	is.True(!ok)
}

// Requests with the same prefix go to the same upstream while it has capacity.
func TestPickFollowsThePrefix(t *testing.T) {
	is := is.New(t)
	tab := newTestTable(16)
	prompt := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	first, _ := tab.pick(modelTarget, prompt, nil)
	tab.addPrefix(first, prompt)
	tab.releaseAttempt(first)
	for range 5 {
		p, _ := tab.pick(modelTarget, prompt, nil)
		tab.releaseAttempt(p)
		is.Equal(p.id, first.id)
	}
	tab.reportStatus(first.id, func(s *peer.Status) { s.Running = 8 })
	p, _ := tab.pick(modelTarget, prompt, nil)
	is.True(p.id != first.id) // a full upstream is not preferred for its cache
	for _, c := range tab.pools[modelTarget].candidates {
		is.Equal(c.CachedBlocks, int32(0)) // each decision resets the cached blocks
	}
}

// The cache events of an upstream report prefixes that other entries sent. A duplicate or late
// response changes nothing, and a new incarnation removes the known prefixes.
func TestPickFollowsCacheEvents(t *testing.T) {
	is := is.New(t)
	tab := newTestTable(16)
	prompt := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	for i := range tab.list {
		tab.list[i].ControlAddress = "127.0.0.1:1"
	}
	tab.SetInstances(tab.list)
	tab.reportAll()
	polled := tab.probes(nil)[6]
	e := prefix.Events{First: 0, Next: 8, Stored: prompt}
	tab.applyCacheEvents(polled, e)
	tab.applyCacheEvents(polled, prefix.Events{First: 0, Next: 9, Removed: prompt})
	p, _ := tab.pick(modelTarget, prompt, nil)
	is.Equal(p.id, polled.id)
	is.Equal(tab.probes(nil)[6].cacheAfter, int64(8))
	tab.releaseAttempt(p)
	tab.now = tab.now.Add(time.Second)
	tab.reportStatus(polled.id, func(s *peer.Status) { s.Incarnation = "two" })
	is.Equal(tab.probes(nil)[6].cacheAfter, int64(0))
	tab.prefixes.Lookup(prompt, tab.sinceCreated(tab.now), &tab.matches)
	is.Equal(len(tab.matches.All()), 0)
}

// A decision does not allocate memory.
func TestPickAllocatesNothing(t *testing.T) {
	tab := newTestTable(200)
	tried := []string{"up-3"}
	prompt := []uint64{1, 2, 3}
	is.New(t).Equal(testing.AllocsPerRun(100, func() {
		p, _ := tab.pick(modelTarget, prompt, tried)
		tab.releaseAttempt(p)
	}), 0.0)
}

// BenchmarkPick measures a complete decision of an entry, including the table.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{16, 50, 200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := newTestTable(n)
			prompt := make([]uint64, 16)
			for i := range prompt {
				prompt[i] = uint64(i + 1)
			}
			p, _ := t.pick(modelTarget, prompt, nil)
			t.addPrefix(p, prompt)
			t.releaseAttempt(p)
			b.ReportAllocs()
			startCPU := cpuTime()
			for b.Loop() {
				p, _ := t.pick(modelTarget, prompt, nil)
				t.releaseAttempt(p)
			}
			b.ReportMetric(float64(cpuTime()-startCPU)/float64(b.N), "cpu-ns/op")
		})
	}
}

// cpuTime returns the CPU time of this process. Other load on the machine affects it less than
// wall-clock time.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
