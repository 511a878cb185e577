package inventory

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func noWarmup(string) time.Duration { return 0 }

// Entries of live upstreams expire while the store is unavailable, and are listed again within
// seconds of its recovery. The upstreams must not be dropped in between.
func TestUpstreamsMissingAfterAnOutageAreKept(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	v := New()
	v.Put(Upstream{ID: "a"}, 0, now)
	v.Put(Upstream{ID: "b"}, 0, now)
	v.Put(Upstream{ID: "c", Leaving: true}, 0, now)
	v.MarkOutage()
	v.MarkRecovered(now)
	v.Replace([]Upstream{{ID: "b"}}, noWarmup, now)
	is.True(v.Entries()["a"].Unconfirmed)
	is.True(v.Entries()["c"] == nil) // a leaving upstream is removed at once
	v.Put(Upstream{ID: "a"}, 0, now.Add(time.Second))
	is.True(!v.Entries()["a"].Unconfirmed)
	v.Remove("b", now.Add(time.Second))
	v.RemoveUnconfirmed(now.Add(RelistTime - 1))
	is.Equal(len(v.Entries()), 2)
	v.RemoveUnconfirmed(now.Add(RelistTime))
	is.Equal(len(v.Entries()), 1)
	v.Remove("a", now.Add(RelistTime)) // without an outage it is removed at once
	is.Equal(len(v.Entries()), 0)
}

func TestColdUntil(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	v := New()
	startedAt := time.Unix(50, 0)
	is.True(v.Put(Upstream{ID: "a", StartedAt: startedAt, WarmupLeft: 3 * time.Second}, 3*time.Second, now))
	is.True(!v.Put(Upstream{ID: "a", StartedAt: startedAt}, 3*time.Second, now.Add(time.Second)))
	is.Equal(v.Entries()["a"].ColdUntil, now.Add(3*time.Second)) // a shorter remaining time does not end the warm-up early
	is.True(v.Put(Upstream{ID: "a", StartedAt: startedAt.Add(time.Minute)}, 3*time.Second, now))
}

// herd_kill, srv_crash: an upstream restarts at the same address under another ID, while the
// entry of its earlier incarnation stays listed for some heartbeats.
func TestEarlierIncarnationAtTheSameAddressIsSuperseded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	v := New()
	v.Put(Upstream{ID: "old", Address: "a:1", StartedAt: time.Unix(10, 0)}, 0, now)
	v.Put(Upstream{ID: "other", Address: "b:1", StartedAt: time.Unix(10, 0)}, 0, now)
	is.True(!v.IsSuperseded("old"))
	v.Put(Upstream{ID: "new", Address: "a:1", StartedAt: time.Unix(90, 0)}, 0, now)
	is.True(v.IsSuperseded("old"))
	is.True(!v.IsSuperseded("new"))
	is.True(!v.IsSuperseded("other"))
	v.Put(Upstream{ID: "old", Address: "a:1", StartedAt: time.Unix(10, 0)}, 0, now) // a late heartbeat
	is.True(v.IsSuperseded("old"))
	v.Remove("new", now)
	is.True(!v.IsSuperseded("old")) // the entry of "new" may have come from another writer
	v.Put(Upstream{ID: "undated", Address: "a:1"}, 0, now)
	is.True(!v.IsSuperseded("old")) // without a start time the order of the incarnations is unknown
}

// Store restored from a copy: its list shows upstreams that have left as if they had not, and lacks
// those that are new. The former must get no work, the latter must not be dropped.
func TestDeparturesOutliveARewind(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	v := New()
	old := []Upstream{{ID: "drained"}, {ID: "gone"}, {ID: "restarted"}, {ID: "stays"}}
	v.Replace(old, noWarmup, now)
	v.Put(Upstream{ID: "drained", Leaving: true}, 0, now)
	v.Remove("gone", now)
	v.Remove("restarted", now)
	v.Put(Upstream{ID: "new"}, 0, now)
	rewound := now.Add(time.Second)
	v.MarkRewound(rewound)
	old[2].StartedAt = now // another incarnation under the same ID
	v.Replace(old, noWarmup, rewound)
	is.True(v.Entries()["drained"].Leaving)
	is.True(v.Entries()["gone"].Leaving)
	is.True(!v.Entries()["restarted"].Leaving)
	is.True(!v.Entries()["stays"].Leaving)
	is.True(v.Entries()["new"].Unconfirmed)
	v.Put(Upstream{ID: "drained", Leaving: true}, 0, rewound.Add(time.Second)) // written again
	v.RemoveUnconfirmed(rewound.Add(RewriteTime))
	is.True(v.Entries()["drained"].Leaving)
	is.True(!v.Entries()["gone"].Leaving) // still listed, so it is alive
	is.True(v.Entries()["new"] == nil)
}
