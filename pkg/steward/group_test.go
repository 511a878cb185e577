package steward

import (
	"context"
	"net"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
	"github.com/coltsfootpitch/coltsfootpitch/platform/standin"
)

const (
	testRanks   = 4
	testLayers  = 2
	testExperts = 8

	// firstToken is the first fencing token in the first era of the store.
	firstToken = fencingTokensPerEra
)

// testbed is a group with a steward for each rank and a store, all on one instance.
type testbed struct {
	t        *testing.T
	store    *standin.Store
	group    *standin.Group
	stewards []*Steward
	servers  []*peer.Server
	cancels  []context.CancelFunc
	members  []Member
}

func newTestbed(t *testing.T) *testbed {
	t.Helper()
	store := standin.NewStore()
	t.Cleanup(store.Close)
	return newGroupTestbed(t, store, "g")
}

func newGroupTestbed(t *testing.T, store *standin.Store, group string) *testbed {
	t.Helper()
	b := &testbed{t: t, store: store, group: standin.NewGroup(group, testRanks, testLayers, testExperts, 20*time.Millisecond)}
	t.Cleanup(b.group.Close)
	b.store.PutRaw(platform.KindConfiguration, platform.NameConfiguration, []byte(`{"version":1,"services":[{"name":"s","engine":{
		"capacity":12,"stride":4,"step_ms":4.55,"per_seq_ms":0.905,"sets":2,"experts":8,"placements":3,"reserve":2,
		"expert_mb":100,"bandwidth_mbps":180000,"expert_share":0.85}}]}`))
	for i := range testRanks {
		b.startSteward(i)
	}
	return b
}

// startSteward starts the RPC server of the steward of a rank.
func (b *testbed) startSteward(i int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	m := metrics.NewRegistry()
	n := platform.Settings{
		Name: "side-" + string(rune('0'+i)), UpstreamAddress: b.group.Ranks[i].Address(), UpstreamService: "s",
		StoreAddress: b.store.Address(),
	}
	s := New(n, platform.NewStore(n.StoreAddress, m, hclog.NewNullLogger()), peer.Credentials{}, hclog.NewNullLogger(), m)
	server := peer.NewServer(peer.Credentials{})
	s.register(server)
	go func() { _ = server.Serve(l) }() // returns when the test closes the server
	b.t.Cleanup(func() { _ = server.Close() })
	b.stewards = append(b.stewards, s)
	b.servers = append(b.servers, server)
	b.members = append(b.members, Member{Upstream: n.UpstreamAddress, Steward: l.Addr().String()})
}

// runStewards runs the stewards except some, whose servers it stops. All stewards get the
// complete list of members.
func (b *testbed) runStewards(except ...int) {
	for i, s := range b.stewards {
		s.members = b.members
		s.fetchMembers = func(context.Context) ([]Member, error) { return b.members, nil }
		ctx, cancel := context.WithCancel(b.t.Context())
		b.t.Cleanup(cancel)
		b.cancels = append(b.cancels, cancel)
		if slices.Contains(except, i) {
			if err := b.servers[i].Close(); err != nil {
				b.t.Fatal(err)
			}
			continue
		}
		go s.run(ctx)
	}
}

// eventually fails the test unless a condition holds within ten seconds.
func (b *testbed) eventually(what string, holds func() bool) {
	b.t.Helper()
	for range 1000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.t.Fatal("condition not met in time: " + what)
}

// checkPasses fails the test if a pass began while ranks used different maps.
func (b *testbed) checkPasses() {
	b.t.Helper()
	if _, mixed := b.group.Passes(); mixed > 0 {
		b.t.Fatalf("%d passes began with two maps", mixed)
	}
}

// favourExpert makes the group choose one expert much more often than the others until the test
// ends.
func (b *testbed) favourExpert(expert int) {
	ctx := b.t.Context()
	go func() {
		for ctx.Err() == nil {
			for e := range testExperts {
				b.group.AddSelections(e, 200)
			}
			b.group.AddSelections(expert, 5000)
			time.Sleep(20 * time.Millisecond)
		}
	}()
}

// hasSwitched reports whether all ranks use the same new map.
func (b *testbed) hasSwitched() bool {
	v := b.group.Versions()
	return v[0] > 0 && slices.Min(v) == slices.Max(v)
}

func TestStewardsBalanceTheGroup(t *testing.T) {
	b := newTestbed(t)
	b.runStewards()
	b.favourExpert(3)
	b.eventually("a new map in use", b.hasSwitched)
	b.checkPasses()
}

// applied_late: some orders get no response and have no effect. The leader sends them again.
func TestLostOrdersAreRetried(t *testing.T) {
	b := newTestbed(t)
	for _, r := range b.group.Ranks {
		r.DropNextOrders(3)
	}
	b.runStewards()
	b.favourExpert(3)
	b.eventually("a new map in use", b.hasSwitched)
	b.checkPasses()
}

// node_freeze giver: two stewards are down while a hold of a failed leader is in force. The
// other stewards complete the hold and reach the ranks of the two directly.
func TestOrphanedHoldIsCompletedWithSomeStewardsDown(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t)
	b.group.PrepareAll(7)
	b.group.HoldAt(1, 3)
	b.store.Hang(true) // no steward can become leader
	b.runStewards(0, 2)
	b.eventually("the hold is completed", b.hasSwitched)
	is.Equal(b.group.Versions(), []int64{7, 7, 7, 7})
	b.checkPasses()
}

// Hold by a frozen owner: the instance of the leader freezes while another rank holds the group for
// it. Neither the steward nor the rank of that instance responds, so the switch cannot be completed;
// the steward of the holding rank abandons the hold and the group runs on with its map.
func TestOrphanedHoldIsAbandonedWhenARankIsUnreachable(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t)
	v := mapswitch.VersionOf(1, 1)
	b.group.PrepareAll(v)
	b.stewards[1].prepared = mapswitch.Target{Version: v, Epoch: 1, Map: mapswitch.Map{{{0, 4}, {1, 5}, {2, 6}, {3, 7}}, {{0, 4}, {1, 5}, {2, 6}, {3, 7}}}}
	b.group.HoldAt(1, 3)
	b.store.Hang(true) // no steward can become leader
	b.group.Ranks[0].StopResponding()
	b.runStewards(0)
	held, _ := b.group.Passes()
	b.eventually("the group runs on", func() bool { pass, _ := b.group.Passes(); return pass > held+5 })
	is.Equal(b.group.Versions(), []int64{0, 0, 0, 0})
	b.checkPasses()
}

// The leader orders a hold at the rank of another instance and sends the order itself, so that its
// own instance can freeze without taking the hold along.
func TestHoldIsOrderedAtAnotherInstance(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t)
	s := b.stewards[0]
	s.fence.recordStored(1, time.Now())
	b.stewards[1].fence.recordStored(2, time.Now())
	b.stewards[2].fence.recordStored(1, time.Now())
	hold := mapswitch.Order{Op: mapswitch.Hold, Epoch: 1, Pass: 1000}
	r, err := s.sendOrder(t.Context(), b.members[1], OrderRequest{FencingToken: 1, Order: hold})
	is.NoErr(err)
	is.True(r.Refused) // the steward of the rank has seen a newer leader
	r, err = s.sendOrder(t.Context(), b.members[2], OrderRequest{FencingToken: 1, Order: hold})
	is.NoErr(err)
	is.True(r.Accepted)
	report, err := b.stewards[2].readOwnRank(t.Context())
	is.NoErr(err)
	is.Equal(report.State.HeldPass, int64(1000))
}

// node_kill leader: another steward takes over leadership and continues.
func TestAnotherStewardBecomesLeader(t *testing.T) {
	b := newTestbed(t)
	b.runStewards()
	b.favourExpert(3)
	b.eventually("a new map in use", b.hasSwitched)
	b.cancels[0]()
	if err := b.servers[0].Close(); err != nil {
		t.Fatal(err)
	}
	b.eventually("a leader with a higher fencing token", func() bool {
		b.stewards[1].mu.Lock()
		defer b.stewards[1].mu.Unlock()
		return b.stewards[1].fence.newestFencingToken > firstToken
	})
	b.checkPasses()
}

// node_freeze giver: the steward of the rank that has the hold stops right after it forwarded
// the hold. The leader completes the hold without that steward.
func TestLeaderCompletesHoldWhenHoldersStewardIsDown(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t)
	b.runStewards()
	b.eventually("a leader that reaches all ranks", func() bool {
		b.stewards[3].mu.Lock()
		defer b.stewards[3].mu.Unlock()
		return b.stewards[3].fence.newestFencingToken > 0
	})
	const victim = 2
	b.group.PrepareAll(7)
	b.group.HoldAt(victim, 3)
	is.NoErr(b.servers[victim].Close())
	b.cancels[victim]()
	b.eventually("the group continues", b.hasSwitched)
	is.Equal(b.group.Versions(), []int64{7, 7, 7, 7})
	b.checkPasses()
}

// node_kill: a steward restarts while a leader is active. It accepts orders again once it has
// read the newest fencing token.
func TestRestartedStewardAcceptsOrdersAgain(t *testing.T) {
	b := newTestbed(t)
	b.runStewards()
	b.favourExpert(3)
	b.eventually("a new map in use", b.hasSwitched)
	const victim = 3
	s := b.stewards[victim]
	s.mu.Lock()
	s.fence = fenceState{lastContact: time.Now()} // a restart loses this state
	s.mu.Unlock()
	b.eventually("the newest fencing token is loaded", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.fence.loaded
	})
	before := b.group.Versions()[0]
	b.favourExpert(5)
	b.favourExpert(5)
	b.favourExpert(5)
	b.eventually("a newer map in use", func() bool { return b.hasSwitched() && b.group.Versions()[0] > before })
	b.checkPasses()
}

// zone_loss: the connection to a steward that lost power never responds again, while a new
// connection works.
func TestUnresponsiveConnectionsAreReplaced(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t)
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer unresponsive.Close()
	accepted := make(chan struct{}, 10)
	go func() {
		for {
			if _, err := unresponsive.Accept(); err != nil {
				return
			}
			accepted <- struct{}{}
		}
	}()
	m := Member{Upstream: "elsewhere:1", Steward: unresponsive.Addr().String()}
	for range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		_, err := b.stewards[0].observeMember(ctx, m, ObserveRequest{})
		cancel()
		is.True(err != nil)
		<-accepted // each attempt opens its own connection
	}
}

// Fencing after a rewind: the store has forgotten the newest terms, and a steward that restarts reads
// an older one. No token may be given out twice, whoever still knows the forgotten ones.
func TestFencingTokensAreUniqueAcrossRewinds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := standin.NewStore()
		defer b.Close()
		s := platform.NewStore(b.Address(), metrics.NewRegistry(), hclog.NewNullLogger())
		owners := map[int64]int{}
		known := make([]int64, 3)
		saved := b.Copy()
		for n := range rapid.IntRange(5, 25).Draw(rt, "actions") {
			i := rapid.IntRange(0, len(known)-1).Draw(rt, "steward")
			switch rapid.IntRange(0, 5).Draw(rt, "action") {
			case 0:
				saved = b.Copy()
			case 1:
				b.Restore(saved)
			case 2: // the steward restarts
				known[i] = 0
				if stored, _, err := readTerm(t.Context(), s, "g"); err == nil {
					known[i] = stored.FencingToken
				}
			default:
				token, won, err := acquireTerm(t.Context(), s, "g", known[i], "l", strconv.Itoa(n))
				if err != nil {
					continue
				}
				if former, found := owners[token]; won && found {
					rt.Fatalf("token %d was given to leaders %d and %d", token, former, n)
				}
				if won {
					owners[token] = n
				}
				known[i] = max(known[i], token)
			}
		}
	})
}

// Two groups serve one service, and the list of upstreams has the ranks of both. Each group has
// its own leader, and the fencing tokens of one do not affect the stewards of the other.
func TestGroupsOfOneServiceHaveSeparateLeaders(t *testing.T) {
	is := is.New(t)
	store := standin.NewStore()
	t.Cleanup(store.Close)
	a, b := newGroupTestbed(t, store, "a"), newGroupTestbed(t, store, "b")
	all := slices.Concat(a.members, b.members)
	a.members, b.members = all, all
	// Group a has had several leaders: its fencing tokens are far above those of b.
	for former := range int64(3) {
		_, won, err := acquireTerm(t.Context(), a.stewards[0].store, "a", firstToken+former-1, "former", "x")
		is.NoErr(err)
		is.True(won)
	}
	a.runStewards()
	b.runStewards()
	a.favourExpert(3)
	b.favourExpert(5)
	a.eventually("a new map in use in a", a.hasSwitched)
	b.eventually("a new map in use in b", b.hasSwitched)
	for range 2 {
		before := b.group.Versions()[0]
		b.favourExpert(1)
		b.favourExpert(1)
		b.favourExpert(1)
		b.eventually("a newer map in use in b", func() bool { return b.hasSwitched() && b.group.Versions()[0] > before })
		b.favourExpert(6)
	}
	is.True(a.group.Versions()[0] >= mapswitch.VersionOf(firstToken+3, 0))
	is.True(b.group.Versions()[0] < mapswitch.VersionOf(firstToken+1, 0))
	a.checkPasses()
	b.checkPasses()
}

// A rank comes back as part of another group, whose fencing tokens are lower.
func TestFenceIsResetOnGroupChange(t *testing.T) {
	is := is.New(t)
	s := newTestbed(t).stewards[0]
	s.group, s.fence = "former", fenceState{newestFencingToken: 50, loaded: true, lastContact: time.Now()}
	report, err := s.readOwnRank(t.Context())
	is.NoErr(err)
	is.Equal(report.Group, "g")
	is.Equal(s.fence.newestFencingToken, int64(0))
	is.True(!s.isFenceLoaded()) // fenced orders are rejected until the fencing token is read
	s.fence.recordStored(2, time.Now())
	_, err = s.readOwnRank(t.Context())
	is.NoErr(err)
	is.Equal(s.fence.newestFencingToken, int64(2)) // unchanged within the same group
}
