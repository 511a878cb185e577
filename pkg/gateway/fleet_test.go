package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/inventory"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/route"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

func newFleet(now time.Time, ids ...string) *Fleet {
	f := NewFleet(platform.Settings{Zone: "z"}, hclog.NewNullLogger())
	f.Update(func(v *inventory.Inventory, _ func(string) time.Duration) {
		for _, id := range ids {
			v.Put(inventory.Upstream{ID: id, Service: "s", Address: id + ":1", Zone: "z", Capacity: 12}, 0, now)
		}
	})
	return f
}

// chooseCounts chooses an upstream n times and returns how often each was chosen.
func chooseCounts(f *Fleet, n int, now time.Time) map[string]int {
	got := map[string]int{}
	for range n {
		if t, ok := f.Choose("s", nil, now); ok {
			got[t.ID]++
		}
	}
	return got
}

// zone_loss: all ranks of a group failed together, some more often than others. They must share the
// work again within seconds, although few attempts show that they have recovered.
func TestRecoveredUpstreamsShareWorkAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	f := newFleet(now, "a", "b")
	for range 20 {
		f.Release("a", ResultFailed, time.Second, now)
		f.observation("a").running++
	}
	is.True(chooseCounts(f, 10, now)["a"] <= 1) // it is avoided while it fails
	later := now.Add(6 * time.Second)
	f.observation("a").running, f.observation("b").running = 0, 0
	is.True(chooseCounts(f, 10, later)["a"] >= 4)
}

// burst: many gateways start work on the same group, and each sees the load from the others
// only in the reports of the group's leader.
func TestReportedLoadOfOtherEntriesCounts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	f := newFleet(now, "a", "b")
	f.SetLoads(map[string]int{"a:1": 10, "b:1": 4}, nil, now)
	got := chooseCounts(f, 6, now)
	is.Equal(got["b"], 6)
	is.Equal(chooseCounts(f, 10, now.Add(loadTTL/2))["a"], 5)  // own starts since the report count too
	is.True(chooseCounts(f, 10, now.Add(2*loadTTL))["a"] >= 7) // an expired report does not
}

// evacuate, zone_loss: the leader does not see every rank. One that it does not report must not
// attract all work because this gateway has little running there.
func TestUpstreamWithoutReportedLoadIsNotTreatedAsIdle(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	f := newFleet(now, "a", "b")
	f.SetGatewayCount(9, 9)
	f.SetLoads(map[string]int{"a:1": 9}, nil, now)
	is.True(chooseCounts(f, 8, now)["b"] <= 4)
}

// srv_slow: a pass lasts as long as its slowest rank, so a slow rank gets less of the work.
func TestSlowRankGetsLessWork(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	f := newFleet(now, "a", "b")
	f.SetLoads(map[string]int{"a:1": 0, "b:1": 0}, map[string]float64{"a:1": 4}, now)
	got := chooseCounts(f, 10, now)
	is.Equal(got["a"], 2)
	f.SetLoads(map[string]int{"a:1": 0, "b:1": 0}, nil, now)
	is.Equal(chooseCounts(f, 10, now)["a"], 5) // it recovered
}

// herd_kill: an upstream has restarted at its address, and its former entry is still listed.
func TestFormerIncarnationIsLastResort(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	f := NewFleet(platform.Settings{Zone: "z"}, hclog.NewNullLogger())
	f.Update(func(v *inventory.Inventory, _ func(string) time.Duration) {
		v.Put(inventory.Upstream{ID: "old", Service: "s", Address: "a:1", Zone: "z", Capacity: 12, StartedAt: time.Unix(10, 0)}, 0, now)
		v.Put(inventory.Upstream{ID: "new", Service: "s", Address: "a:1", Zone: "z", Capacity: 12, StartedAt: time.Unix(90, 0)}, 0, now)
	})
	is.Equal(chooseCounts(f, 10, now)["old"], 0)
	target, ok := f.Choose("s", []string{"new"}, now)
	is.True(ok) // clocks of upstreams may jump, so it may be the live one
	is.Equal(target.ID, "old")
}

// Frozen instance: it accepts connections and answers nobody, so no attempt there fails for seconds,
// while the other ranks of its group go on. New work goes to those until it sends something again. A
// group that stands still as a whole is no reason to prefer any of its ranks.
func TestSilentUpstreamGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	const gap = 120 * time.Millisecond
	now := time.Unix(100, 0)
	f := newFleet(now, "a", "b")
	event := func(id string) { f.RecordEvent("s", id, gap, now) }
	is.Equal(chooseCounts(f, 4, now)["a"], 2)
	for range 10 { // both send events
		now = now.Add(50 * time.Millisecond)
		event("a")
		event("b")
	}
	is.Equal(chooseCounts(f, 2, now)["a"], 1)
	for now = now.Add(silentEventGaps*gap + time.Millisecond); now.Before(time.Unix(104, 0)); now = now.Add(50 * time.Millisecond) {
		event("b")
		is.Equal(chooseCounts(f, 1, now)["a"], 0)
		f.Release("b", ResultSucceeded, time.Second, now)
	}
	event("a")
	event("b")
	is.Equal(chooseCounts(f, 2, now)["a"], 1)
	now = now.Add(2 * time.Second) // neither sends anything
	is.True(chooseCounts(f, 10, now)["a"] >= 4)
}

// An instance froze: each gateway without a stream at the rank beside it sent one request there before
// it noticed, and the rank read them after their callers had left.
func TestUpstreamThatIsSilentAtAPeerGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	const gap = 120 * time.Millisecond
	now := time.Unix(100, 0)
	f, peer := newFleet(now, "a", "b"), newFleet(now, "a", "b")
	is.Equal(chooseCounts(peer, 2, now)["a"], 1)
	peer.RecordEvent("s", "a", gap, now)
	is.Equal(len(peer.silentUpstreams(now)), 0)
	now = now.Add(silentEventGaps*gap + time.Millisecond)
	peer.RecordEvent("s", "b", gap, now)
	is.Equal(peer.silentUpstreams(now), []string{"a"})
	silent := peer.silentFor(now)
	is.Equal(silent, map[string]int64{"a": toldSilenceTTL.Milliseconds()})

	f.SetSilent(silent, now)
	is.Equal(chooseCounts(f, 4, now)["a"], 0)
	f.RecordEvent("s", "a", gap, now) // it goes on here
	is.True(chooseCounts(f, 4, now)["a"] > 0)
	f.SetSilent(silent, now)
	now = now.Add(toldSilenceTTL + time.Millisecond) // the peer no longer says so
	is.True(chooseCounts(f, 8, now)["a"] > 0)
}

// power_off_all: all ranks of a group came back under new IDs, and the list still had the old ones. While the group stood
// still all counted as a last resort, and half of the first requests went to IDs that no longer exist.
func TestStalledUpstreamsAreChosenBeforeSupersededOnes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	f := newFleet(now)
	f.Update(func(v *inventory.Inventory, _ func(string) time.Duration) {
		for i, id := range []string{"old", "new"} {
			v.Put(inventory.Upstream{ID: id, Service: "s", Address: "a:1", Zone: "z", Capacity: 12, StartedAt: now.Add(time.Duration(i) * time.Second)}, 0, now)
		}
	})
	f.SetStalled(map[string]int{"a:1": 0}, now.Add(stalledTTL))
	is.Equal(chooseCounts(f, 20, now), map[string]int{"new": 20})
}

// A plain upstream had one slow response and was not chosen again while the others were idle, so that nothing showed that it
// was fast. A limit that it had named was not used up for that.
func TestUpstreamIsTriedAgainAfterASlowResponse(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	f := newFleet(now, "a", "b", "c")
	random := rand.New(rand.NewPCG(1, 2))
	serve := func(slow string) string {
		target, ok := f.Choose("s", nil, now)
		is.True(ok)
		took := time.Millisecond + time.Duration(random.Int64N(int64(time.Millisecond)))
		if target.ID == slow {
			took = 200 * time.Millisecond
		}
		f.Release(target.ID, ResultSucceeded, took, now)
		now = now.Add(25 * time.Millisecond)
		return target.ID
	}
	for serve("a") != "a" {
	}
	counts := map[string]int{}
	for range 40 * 3 {
		counts[serve("")]++
	}
	is.True(counts["a"] <= 5) // it is avoided at first
	clear(counts)
	now = now.Add(5 * slowdownDecayTime)
	for range 40 * 10 {
		counts[serve("")]++
	}
	is.True(counts["a"] >= 2) // further responses show that it is fast
}

// FAILBACK: the starts that a gateway had used at a cold upstream were counted anew when the upstream left the list for a
// moment.
func TestStartsAtAColdUpstreamOutliveAGapInTheList(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	cold := inventory.Upstream{ID: "a", Service: "s", Address: "a:1", Zone: "z", Capacity: 12, WarmupLeft: time.Minute}
	f := newFleet(now)
	f.SetServices(map[string]*route.Service{"s": {WarmupRate: 1}})
	put := func(v *inventory.Inventory, _ func(string) time.Duration) { v.Put(cold, time.Minute, now) }
	f.Update(put)
	is.Equal(len(chooseCounts(f, 5, now)), 1)
	_, ok := f.Choose("s", nil, now)
	is.True(!ok) // the start is used
	f.Unreserve(Target{ID: "a"}, now)
	f.Update(func(v *inventory.Inventory, _ func(string) time.Duration) { v.Remove("a", now) })
	f.Update(put)
	_, ok = f.Choose("s", nil, now)
	is.True(!ok)
}
