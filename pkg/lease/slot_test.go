package lease_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/internal/bubble"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/lease"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standin/objects"
)

func controllerNames(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("controller-%d", i)
	}
	return out
}

// Guards against reassignment of shards whose owner stays when another holder leaves.
func TestShardMovesOnlyWhenItsOwnerLeaves(t *testing.T) {
	is := is.New(t)
	holders := controllerNames(12)
	moved, maxOwned := 0, 0
	owned := map[string]int{}
	for i := range 750 {
		shard := fmt.Sprintf("group-%d", i)
		before := lease.Owner(shard, holders)
		owned[before]++
		after := lease.Owner(shard, holders[1:])
		if before != after {
			moved++
			is.Equal(before, holders[0])
		}
	}
	for _, n := range owned {
		maxOwned = max(maxOwned, n)
	}
	t.Logf("750 shards, 12 holders: at most %d for each holder, %d move when one leaves", maxOwned, moved)
	is.True(maxOwned < 2*750/12)
}

// Guards against a reused fencing token when another holder claims a shard or its object was
// removed.
func TestClaimRaisesFencingTokenOnlyOnTakeover(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := platform.New(platform.Options{URL: "http://platform", Transport: objects.Transport{Handler: objects.New().Handler()}})
	a := lease.New(p, lease.SlotName(0), "a", duration)
	b := lease.New(p, lease.SlotName(1), "b", duration)
	is.NoErr(a.AcquireOrRenew(ctx, time.Now()))
	is.NoErr(b.AcquireOrRenew(ctx, time.Now()))
	first, err := lease.ClaimShard(ctx, a, "group-1")
	is.NoErr(err)
	again, err := lease.ClaimShard(ctx, a, "group-1")
	is.NoErr(err)
	is.Equal(first, again)
	taken, err := lease.ClaimShard(ctx, b, "group-1")
	is.NoErr(err)
	is.True(taken > first)
	// After the object is removed, fencing tokens continue from the revision of the platform.
	o, err := p.Get(ctx, lease.ShardKind, "group-1")
	is.NoErr(err)
	is.NoErr(p.Delete(ctx, lease.ShardKind, "group-1", o.Revision))
	recreated, err := lease.ClaimShard(ctx, a, "group-1")
	is.NoErr(err)
	is.True(recreated > taken)
}

// Guards against platform calls that grow with the number of controllers: they must grow only
// with the number of slots.
func TestPlatformCallsOfSlots(t *testing.T) {
	for _, c := range []struct{ controllers, shards int }{{9, 10}, {9, 750}, {90, 750}, {400, 750}} {
		bubble.Test(t, func(t *testing.T) {
			is := is.New(t)
			server := objects.New()
			handler := server.Handler()
			controllers := controllerNames(c.controllers)
			slots := lease.SlotCount(c.shards)
			var leases []*lease.Lease
			for _, name := range controllers {
				p := platform.New(platform.Options{URL: "http://platform", Transport: objects.Transport{Handler: handler}})
				for _, s := range lease.SlotsOf(name, slots, controllers) {
					leases = append(leases, lease.New(p, lease.SlotName(s), name, duration))
				}
			}
			runRounds := func(rounds int) {
				for range rounds {
					for _, l := range leases {
						is.NoErr(l.AcquireOrRenew(context.Background(), time.Now()))
					}
					time.Sleep(duration / 3)
				}
			}
			runRounds(2)
			before := server.Counts()
			runRounds(12)
			after := server.Counts()
			seconds := 12 * (duration / 3).Seconds()
			t.Logf("%d controllers, %d shards, %d slots: %.1f writes/s and %.1f reads/s",
				c.controllers, c.shards, slots, float64(after.Writes-before.Writes)/seconds, float64(after.Reads-before.Reads)/seconds)
			is.Equal(after.Writes-before.Writes, int64(12*slots))
			is.True(after.Reads-before.Reads <= int64(12*slots*(lease.CandidatesPerSlot-1)))
		})
	}
}
