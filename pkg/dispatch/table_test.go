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

// testTable is a table with a clock that tests move.
type testTable struct {
	*Table
	now    time.Time
	config *configuration.Holder
	list   []instancelist.Instance
}

var modelTarget = workTarget{peer.ModelWork, "intake-llm"}

// newTestTable returns a table with n upstreams in two zones of the own region.
func newTestTable(n int) *testTable {
	b := &testTable{now: time.Unix(1000, 0), config: &configuration.Holder{}}
	b.Table = NewTable(TableOptions{
		Name: "entry-0", Zone: "a", Region: "r", Config: b.config,
		Events: event.NewRecorder("entry-0", event.NewClock(nil), nil),
		Now:    func() time.Time { return b.now },
	})
	b.setZones(1, configuration.ZoneIn, configuration.ZoneIn, configuration.ZoneIn)
	for i := range n {
		b.addInstance(instancelist.Instance{
			ID: fmt.Sprintf("up-%d", i), Role: instancelist.Upstream, Zone: []string{"a", "b"}[i%2], Region: "r", State: instancelist.Live,
		})
	}
	b.reportAll()
	return b
}

// setZones adopts a configuration with states for the setZones a and b of region r and c of region s.
func (b *testTable) setZones(version int64, states ...configuration.ZoneState) {
	d := &configuration.Document{Version: version}
	for i, name := range []string{"a", "b", "c"} {
		region := "r"
		if name == "c" {
			region = "s"
		}
		d.Zones = append(d.Zones, configuration.Zone{Name: name, Region: region, State: states[i]})
	}
	b.config.Adopt(d)
}

func (b *testTable) addInstance(i instancelist.Instance) {
	i.Revision = int64(len(b.list) + 1)
	b.list = append(b.list, i)
	b.SetInstances(b.list)
}

func healthyStatus() peer.Status {
	return peer.Status{Models: []string{"intake-llm"}, Limit: 8, Reachable: true, Incarnation: "one"}
}

// reportAll lets every upstream reportAll that it is idle.
func (b *testTable) reportAll() {
	for _, i := range b.list {
		b.observe(i.ID, healthyStatus(), b.now)
	}
}

func (b *testTable) reportStatus(id string, change func(*peer.Status)) {
	s := healthyStatus()
	change(&s)
	b.observe(id, s, b.now)
}

// An entry that knows an upstream of one service only would refuse the calls of the others.
func TestReadyOnceEveryUpstreamOfTheFirstListWasAsked(t *testing.T) {
	is := is.New(t)
	b := newTestTable(0)
	is.True(!b.Ready()) // no list
	b.addInstance(instancelist.Instance{ID: "plain", Role: instancelist.Upstream, Zone: "a", State: instancelist.Live, Control: "127.0.0.1:1"})
	b.addInstance(instancelist.Instance{ID: "model", Role: instancelist.Upstream, Zone: "a", State: instancelist.Live, Control: "127.0.0.1:2"})
	b.reportStatus("plain", func(*peer.Status) {})
	b.markPolled("plain")
	is.True(!b.Ready()) // the other upstream was not asked
	b.markPolled("model")
	is.True(b.Ready()) // it was asked and did not answer: it keeps nobody waiting
	b.addInstance(instancelist.Instance{ID: "new", Role: instancelist.Upstream, Zone: "a", State: instancelist.Live, Control: "127.0.0.1:3"})
	is.True(b.Ready()) // an upstream that is listed later does not take the entry out
}

func TestPickAvoids(t *testing.T) {
	cases := []struct {
		name   string
		setUp  func(b *testTable)
		expect string
	}{
		{"nothing", func(*testTable) {}, "up-0"},
		{"a zone that is out", func(b *testTable) { b.setZones(2, configuration.ZoneOut, configuration.ZoneIn, configuration.ZoneIn) }, "up-1"},
		{"a zone that its agent knows to be out", func(b *testTable) { b.reportStatus("up-0", func(s *peer.Status) { s.ZoneOut = true }) }, "up-1"},
		{"a leaving agent", func(b *testTable) { b.reportStatus("up-0", func(s *peer.Status) { s.Leaving = true }) }, "up-1"},
		{"an unreachable upstream", func(b *testTable) { b.reportStatus("up-0", func(s *peer.Status) { s.Reachable = false }) }, "up-1"},
		{"another model", func(b *testTable) { b.reportStatus("up-0", func(s *peer.Status) { s.Models = []string{"other"} }) }, "up-1"},
		{"a leaving instance", func(b *testTable) {
			b.list[0].State = instancelist.Leaving
			b.SetInstances(b.list)
		}, "up-1"},
		{"an instance that is gone", func(b *testTable) { b.SetInstances(b.list[1:]) }, "up-1"},
		{"an old status", func(b *testTable) {
			b.now = b.now.Add(StatusAge + 1)
			b.reportStatus("up-1", func(*peer.Status) {})
		}, "up-1"},
		{"a lost agent", func(b *testTable) { b.markLostByID("up-0") }, "up-1"},
		{"nothing after a new status", func(b *testTable) { b.markLostByID("up-0"); b.reportAll() }, "up-0"},
		{"every zone that is out", func(b *testTable) { b.setZones(2, configuration.ZoneOut, configuration.ZoneOut, configuration.ZoneIn) }, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestTable(2)
			c.setUp(b)
			p, _ := b.pick(modelTarget, nil, nil)
			is.New(t).Equal(p.id, c.expect)
		})
	}
}

// Other regions serve only when no usable upstream is left in the own one.
func TestPickStaysInRegion(t *testing.T) {
	is := is.New(t)
	b := newTestTable(2)
	b.addInstance(instancelist.Instance{ID: "far", Role: instancelist.Upstream, Zone: "c", Region: "s", State: instancelist.Live})
	b.reportAll()
	for range 100 {
		p, ok := b.pick(modelTarget, nil, nil)
		is.True(ok && p.id != "far")
	}
	_, ok := b.pick(modelTarget, nil, []string{"up-0", "up-1"})
	is.True(!ok) // a refusal is no reason to load another region
	b.setZones(2, configuration.ZoneOut, configuration.ZoneOut, configuration.ZoneIn)
	p, _ := b.pick(modelTarget, nil, nil)
	is.Equal(p.id, "far")
}

// Attempts in progress count until they are released, whatever reports come in between.
func TestPickCountsAttemptsInProgress(t *testing.T) {
	is := is.New(t)
	b := newTestTable(2)
	var selections []selection
	for range 8 {
		p, _ := b.pick(modelTarget, nil, nil)
		selections = append(selections, p)
		b.reportAll()
	}
	count := map[string]int{}
	for _, p := range selections {
		count[p.id]++
	}
	is.Equal(count["up-0"], 4) // idle reports that miss the attempts must not hide them
	for _, p := range selections {
		b.releaseAttempt(p)
	}
	for _, m := range b.members {
		is.Equal(m.inProgress, int32(0))
	}
}

// An answer that was overtaken by a newer one changes nothing.
func TestObserveDropsOutOfOrderStatus(t *testing.T) {
	is := is.New(t)
	b := newTestTable(1)
	b.reportStatus("up-0", func(s *peer.Status) { s.Stamp = event.Stamp{Wall: 20}; s.Leaving = true })
	b.reportStatus("up-0", func(s *peer.Status) { s.Stamp = event.Stamp{Wall: 10} })
	_, ok := b.pick(modelTarget, nil, nil)
	is.True(!ok)
}

// Requests with the same beginning follow each other while the upstream has room.
func TestPickFollowsThePrefix(t *testing.T) {
	is := is.New(t)
	b := newTestTable(16)
	prompt := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	first, _ := b.pick(modelTarget, prompt, nil)
	b.addPrefix(first, prompt)
	b.releaseAttempt(first)
	for range 5 {
		p, _ := b.pick(modelTarget, prompt, nil)
		b.releaseAttempt(p)
		is.Equal(p.id, first.id)
	}
	b.reportStatus(first.id, func(s *peer.Status) { s.Running = 8 })
	p, _ := b.pick(modelTarget, prompt, nil)
	is.True(p.id != first.id) // a full upstream is no better for its cache
	for _, c := range b.pools[modelTarget].candidates {
		is.Equal(c.CachedBlocks, int32(0)) // marks of a decision do not stay
	}
}

// What other entries sent reaches this one by the cache events of the upstream; a doubled
// or overtaken answer changes nothing, and a new incarnation ends what was known.
func TestPickFollowsCacheEvents(t *testing.T) {
	is := is.New(t)
	b := newTestTable(16)
	prompt := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	for i := range b.list {
		b.list[i].Control = "127.0.0.1:1"
	}
	b.SetInstances(b.list)
	b.reportAll()
	polled := b.probes(nil)[6]
	e := prefix.Events{First: 0, Next: 8, Stored: prompt}
	b.applyCacheEvents(polled, e)
	b.applyCacheEvents(polled, prefix.Events{First: 0, Next: 9, Removed: prompt})
	p, _ := b.pick(modelTarget, prompt, nil)
	is.Equal(p.id, polled.id)
	is.Equal(b.probes(nil)[6].cacheAfter, int64(8))
	b.releaseAttempt(p)
	b.now = b.now.Add(time.Second)
	b.reportStatus(polled.id, func(s *peer.Status) { s.Incarnation = "two" })
	is.Equal(b.probes(nil)[6].cacheAfter, int64(0))
	b.prefixes.Look(prompt, b.sinceCreated(b.now), &b.matches)
	is.Equal(len(b.matches.All()), 0)
}

func TestPickAllocatesNothing(t *testing.T) {
	b := newTestTable(200)
	tried := []string{"up-3"}
	prompt := []uint64{1, 2, 3}
	is.New(t).Equal(testing.AllocsPerRun(100, func() {
		p, _ := b.pick(modelTarget, prompt, tried)
		b.releaseAttempt(p)
	}), 0.0)
}

// BenchmarkPick is a whole decision of an entry: the table and the choice.
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

// cpuTime returns the processor time of this process, which other work on the
// machine lengthens less than the time on the clock.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
