package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/fanout"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/sharing"
)

// limitFleet is a set of entries that pass limits on without sockets, and counts what each process sends.
type limitFleet struct {
	mu       sync.Mutex
	shares   map[string]int
	messages map[string]int
	bytes    map[string]int
	names    map[string]string
}

// call returns the function by which the process at an address calls entries.
func (f *limitFleet) call(from string) func(ctx context.Context, address string, l Limit) (LimitResponse, error) {
	return func(ctx context.Context, address string, l Limit) (LimitResponse, error) {
		text, _ := json.Marshal(l)
		f.mu.Lock()
		f.messages[from]++
		f.bytes[from] += len(text)
		f.shares[f.names[address]] += l.Share
		f.mu.Unlock()
		response := LimitResponse{Demand: sharing.Demand{Running: l.Share}}
		if len(l.Part) > 0 {
			tree := fanout.NewCaller(address, hclog.NewNullLogger())
			response.Demands = SendLimit(ctx, tree, fanout.MaxRelayed, l, l.Part, f.call(address))
		}
		return response, nil
	}
}

// SHORT: the leader of a group sent ten limits a second to each gateway, with the loads of all ranks; at 44 gateways
// that took most of its link. Each entry must get its own share once, and its demand must come back.
func TestLimitReachesEachEntryWithItsShare(t *testing.T) {
	is := is.New(t)
	loads := map[string]int{}
	for i := range 72 {
		loads[fmt.Sprintf("10.1.64.%d:8660", i)] = 5
	}
	for _, n := range []int{10, 40, 160, 640} {
		f := &limitFleet{shares: map[string]int{}, messages: map[string]int{}, bytes: map[string]int{}, names: map[string]string{}}
		var entries []EntryShare
		for i := range n {
			e := EntryShare{Name: fmt.Sprint("edge-", i), PeerAddress: fmt.Sprintf("10.1.%d.%d:7340", i/256, i%256), Share: i + 1}
			entries = append(entries, e)
			f.names[e.PeerAddress] = e.Name
		}
		tree := fanout.NewCaller("", hclog.NewNullLogger())
		demands := SendLimit(t.Context(), tree, fanout.MaxDirect, Limit{Service: "s", Group: "g", Loads: loads}, entries, f.call("leader"))
		is.Equal(len(demands), n)
		most := 0
		for i, e := range entries {
			is.Equal(f.shares[e.Name], i+1)
			is.Equal(demands[e.Name].Running, i+1)
			most = max(most, f.messages[e.PeerAddress])
		}
		const perSecond = 10
		t.Logf("entries=%d leader: messages/s=%d bytes/s=%d; entry: messages/s=%d", n, f.messages["leader"]*perSecond, f.bytes["leader"]*perSecond, most*perSecond)
		is.True(max(f.messages["leader"], most) <= fanout.MaxDirect)
		const linkBytes, linkShare = 1_000_000, 0.75 // 8 Mbit/s; polls need the rest
		is.True(float64(f.bytes["leader"]*perSecond) <= linkShare*linkBytes)
	}
}
