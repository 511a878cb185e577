package steward

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
	"github.com/coltsfootpitch/coltsfootpitch/platform/standin"
)

const (
	testRanks   = 4
	testLayers  = 2
	testExperts = 8
)

// bed is a group with a steward for each rank and a store, all on one instance.
type bed struct {
	t        *testing.T
	store    *standin.Store
	group    *standin.Group
	stewards []*Steward
	servers  []*peer.Server
	stops    []context.CancelFunc
	members  []Member
}

func newBed(t *testing.T) *bed {
	t.Helper()
	store := standin.NewStore()
	t.Cleanup(store.Close)
	return newGroupBed(t, store, "g")
}

func newGroupBed(t *testing.T, store *standin.Store, group string) *bed {
	t.Helper()
	b := &bed{t: t, store: store, group: standin.NewGroup(group, testRanks, testLayers, testExperts, 20*time.Millisecond)}
	t.Cleanup(b.group.Close)
	b.store.PutRaw(platform.KindConfiguration, platform.NameConfiguration, []byte(`{"version":1,"services":[{"name":"s","engine":{
		"capacity":12,"stride":4,"step_ms":4.55,"per_seq_ms":0.905,"sets":2,"experts":8,"placements":3,"reserve":2,
		"expert_mb":100,"bandwidth_mbps":180000,"expert_share":0.85}}]}`))
	for i := range testRanks {
		b.start(i)
	}
	return b
}

// start starts the steward of a rank. All of them know the places of all.
func (b *bed) start(i int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	m := metrics.NewRegistry()
	n := platform.Settings{
		Name: "side-" + string(rune('0'+i)), UpstreamAddress: b.group.Ranks[i].Address(), UpstreamService: "s",
		StoreAddress: b.store.Address(),
	}
	s := New(n, platform.NewStore(n.StoreAddress, m), peer.Credentials{}, hclog.NewNullLogger(), m)
	server := peer.NewServer(peer.Credentials{})
	s.register(server)
	go func() { _ = server.Serve(l) }() // it ends with the test
	b.t.Cleanup(func() { _ = server.Close() })
	b.stewards = append(b.stewards, s)
	b.servers = append(b.servers, server)
	b.members = append(b.members, Member{Upstream: n.UpstreamAddress, Steward: l.Addr().String()})
}

// run runs the stewards but some.
func (b *bed) run(but ...int) {
	for i, s := range b.stewards {
		s.members = b.members
		s.listed = func(context.Context) ([]Member, error) { return b.members, nil }
		ctx, cancel := context.WithCancel(b.t.Context())
		b.t.Cleanup(cancel)
		b.stops = append(b.stops, cancel)
		if slices.Contains(but, i) {
			if err := b.servers[i].Close(); err != nil {
				b.t.Fatal(err)
			}
			continue
		}
		go s.run(ctx)
	}
}

func (b *bed) eventually(what string, holds func() bool) {
	b.t.Helper()
	for range 1000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.t.Fatal("not seen in time: " + what)
}

func (b *bed) checkPasses() {
	b.t.Helper()
	if _, mixed := b.group.Passes(); mixed > 0 {
		b.t.Fatalf("%d passes began with two maps", mixed)
	}
}

// like makes the group choose an expert much more often than the others, until the test ends.
func (b *bed) like(expert int) {
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

func (b *bed) switched() bool {
	v := b.group.Versions()
	return v[0] > 0 && slices.Min(v) == slices.Max(v)
}

func TestStewardsBalanceTheirGroup(t *testing.T) {
	b := newBed(t)
	b.run()
	b.like(3)
	b.eventually("a new map in use", b.switched)
	b.checkPasses()
}

// applied_late: some orders are neither answered nor carried out.
func TestLostOrdersAreGivenAgain(t *testing.T) {
	b := newBed(t)
	for _, r := range b.group.Ranks {
		r.DropNextOrders(3)
	}
	b.run()
	b.like(3)
	b.eventually("a new map in use", b.switched)
	b.checkPasses()
}

// node_freeze giver: a steward stands still while its leader's hold is in force, and the
// leader is gone too. The others complete the hold, and reach that rank themselves.
func TestOrphanedHoldIsCompletedWithoutAStewardOfSome(t *testing.T) {
	is := is.New(t)
	b := newBed(t)
	b.group.PrepareAll(7)
	b.group.HoldAt(1, 3)
	b.store.Hang(true) // nobody can take the lead
	b.run(0, 2)
	b.eventually("the hold is completed", b.switched)
	is.Equal(b.group.Versions(), []int64{7, 7, 7, 7})
	b.checkPasses()
}

// node_kill leader: another steward takes over and goes on.
func TestAnotherStewardTakesTheLead(t *testing.T) {
	b := newBed(t)
	b.run()
	b.like(3)
	b.eventually("a new map in use", b.switched)
	b.stops[0]()
	if err := b.servers[0].Close(); err != nil {
		t.Fatal(err)
	}
	b.eventually("a leader with a higher number", func() bool {
		b.stewards[1].mu.Lock()
		defer b.stewards[1].mu.Unlock()
		return b.stewards[1].fence.newest >= 2
	})
	b.checkPasses()
}

// node_freeze giver: the steward of the rank that holds the group stands still right after
// it passed the hold on. The leader goes on without it.
func TestLeaderCompletesAHoldWithoutTheHoldersSteward(t *testing.T) {
	is := is.New(t)
	b := newBed(t)
	b.run()
	b.eventually("a leader that sees all", func() bool {
		b.stewards[3].mu.Lock()
		defer b.stewards[3].mu.Unlock()
		return b.stewards[3].fence.newest > 0
	})
	const victim = 2
	b.group.PrepareAll(7)
	b.group.HoldAt(victim, 3)
	is.NoErr(b.servers[victim].Close())
	b.stops[victim]()
	b.eventually("the group goes on", b.switched)
	is.Equal(b.group.Versions(), []int64{7, 7, 7, 7})
	b.checkPasses()
}

// node_kill: a steward comes back while a leader goes on. It takes orders again.
func TestARestartedStewardTakesOrdersAgain(t *testing.T) {
	b := newBed(t)
	b.run()
	b.like(3)
	b.eventually("a new map in use", b.switched)
	const victim = 3
	s := b.stewards[victim]
	s.mu.Lock()
	s.fence = fence{heard: time.Now()} // what a process has lost at its start
	s.mu.Unlock()
	b.eventually("it knows the newest number", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.fence.known
	})
	before := b.group.Versions()[0]
	b.like(5)
	b.like(5)
	b.like(5)
	b.eventually("a newer map in use", func() bool { return b.switched() && b.group.Versions()[0] > before })
	b.checkPasses()
}

// zone_loss: the connection to a steward that lost power is silent for good, while a new
// one works.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	is := is.New(t)
	b := newBed(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer silent.Close()
	accepted := make(chan struct{}, 10)
	go func() {
		for {
			if _, err := silent.Accept(); err != nil {
				return
			}
			accepted <- struct{}{}
		}
	}()
	m := Member{Upstream: "elsewhere:1", Steward: silent.Addr().String()}
	for range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		_, err := b.stewards[0].observeMember(ctx, m, ObserveRequest{})
		cancel()
		is.True(err != nil)
		<-accepted // each try opens a connection of its own
	}
}

// Two groups serve one service, and its list names the ranks of both. Each has a leader of
// its own, whose number says nothing to the other one's stewards.
func TestGroupsOfOneServiceAreLedApart(t *testing.T) {
	is := is.New(t)
	store := standin.NewStore()
	t.Cleanup(store.Close)
	a, b := newGroupBed(t, store, "a"), newGroupBed(t, store, "b")
	all := slices.Concat(a.members, b.members)
	a.members, b.members = all, all
	// The leaders of a were changed often: its numbers are far above those of b.
	for former := range int64(3) {
		_, won, err := takeTerm(t.Context(), a.stewards[0].store, "a", former, "former", "x")
		is.NoErr(err)
		is.True(won)
	}
	a.run()
	b.run()
	a.like(3)
	b.like(5)
	a.eventually("a new map in use in a", a.switched)
	b.eventually("a new map in use in b", b.switched)
	for range 2 {
		before := b.group.Versions()[0]
		b.like(1)
		b.like(1)
		b.like(1)
		b.eventually("a newer map in use in b", func() bool { return b.switched() && b.group.Versions()[0] > before })
		b.like(6)
	}
	is.True(a.group.Versions()[0]/versionsPerFence >= 4)
	is.Equal(b.group.Versions()[0]/versionsPerFence, int64(1))
	a.checkPasses()
	b.checkPasses()
}

// A rank comes back as part of another group, whose numbers began lower.
func TestFenceOfAFormerGroupIsForgotten(t *testing.T) {
	is := is.New(t)
	s := newBed(t).stewards[0]
	s.group, s.fence = "former", fence{newest: 50, known: true, heard: time.Now()}
	report, err := s.report(t.Context())
	is.NoErr(err)
	is.Equal(report.Group, "g")
	is.Equal(s.fence.newest, int64(0))
	is.True(!s.fenceKnown()) // it takes no order that needs a fence before it was read
	s.fence.read(2, time.Now())
	_, err = s.report(t.Context())
	is.NoErr(err)
	is.Equal(s.fence.newest, int64(2)) // the same group keeps it
}
