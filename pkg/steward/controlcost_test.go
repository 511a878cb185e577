package steward

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootpitch/coltsfootpitch/internal/bubble"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/fanout"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standstill"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
	"github.com/coltsfootpitch/coltsfootpitch/platform/standin"
)

const (
	// stewardLinkBytes is the link of an instance with a steward, 8 Mbit/s, in bytes a second.
	stewardLinkBytes = 1_000_000
	// largeLayers, largeExperts and largeSlots are those of a large model.
	largeLayers, largeExperts, largeSlots = 12, 144, 3
)

// memoryRank is a rank in memory.
type memoryRank struct {
	mu     sync.Mutex
	report platform.RankReport
	counts []int64
	orders []mapswitch.Order
}

// Report implements ownRank.
func (r *memoryRank) Report(context.Context) (platform.RankReport, error) { return r.report, nil }

// ExpertCounts implements ownRank. Each expert is chosen some hundred times between two calls.
func (r *memoryRank) ExpertCounts(context.Context) ([]int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.counts {
		r.counts[i] += int64(200 + i%100)
	}
	return slices.Clone(r.counts), nil
}

// LoadedExperts implements ownRank.
func (r *memoryRank) LoadedExperts(context.Context) (int64, [][]int, error) {
	return 0, make([][]int, largeLayers), nil
}

// Order implements ownRank.
func (r *memoryRank) Order(_ context.Context, o mapswitch.Order, _ int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, o)
	return nil
}

// memoryStewards connects the stewards of one process without sockets and counts what each sends and receives.
type memoryStewards struct {
	stewards []*Steward
	ranks    []*memoryRank
	members  []Member

	// connectTime is how long a process takes to open a connection to another one.
	connectTime time.Duration

	mu        sync.Mutex
	connected map[[2]string]bool
	down      map[string]bool
	messages  map[string]int
	sent      map[string]int
	received  map[string]int
}

func newMemoryStewards(n int) *memoryStewards {
	f := &memoryStewards{connected: map[[2]string]bool{}, down: map[string]bool{}, messages: map[string]int{}, sent: map[string]int{}, received: map[string]int{}}
	for i := range n {
		address := fmt.Sprintf("10.1.%d.%d:9000", i/256, i%256)
		m := Member{Upstream: address, Steward: fmt.Sprintf("10.1.%d.%d:7340", i/256, i%256), Zone: fmt.Sprintf("zone-%d", i*4/n)}
		settings := platform.Settings{Name: fmt.Sprintf("side-%d", i), UpstreamAddress: address, UpstreamService: "s"}
		registry := metrics.NewRegistry()
		s := New(settings, platform.NewStore("10.0.0.1:1", registry, hclog.NewNullLogger()), peer.Credentials{}, hclog.NewNullLogger(), registry)
		r := &memoryRank{counts: make([]int64, largeLayers*largeExperts), report: platform.RankReport{
			Group: "group", Index: i, Size: n, Running: 5, StartedAtMillis: 1 << 40, Slowdown: 1,
			State: mapswitch.RankState{
				Known: true, GroupFormed: true, Epoch: 3, Pass: 100_000, PreparedVersion: mapswitch.None, LoadingVersion: mapswitch.None,
				ArmedVersion: mapswitch.None, ArmedPass: mapswitch.None, HeldPass: mapswitch.None,
			},
		}}
		s.rank, s.transport, s.group = r, memoryTransport{f, m.Steward}, "group"
		s.fence.loaded = true
		f.stewards, f.ranks, f.members = append(f.stewards, s), append(f.ranks, r), append(f.members, m)
	}
	return f
}

// memoryTransport is the transport of the steward at an address.
type memoryTransport struct {
	*memoryStewards
	from string
}

var errUnreachable = errors.New("unreachable")

// carry counts a message from one steward to another.
func (f *memoryStewards) carry(from, to string, message any) {
	text, _ := json.Marshal(message)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range []string{from, to} {
		f.messages[address]++
	}
	f.sent[from] += len(text)
	f.received[to] += len(text)
}

// connect opens a connection unless there is one. It reports whether that was in time.
func (t memoryTransport) connect(ctx context.Context, to string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	pair := [2]string{t.from, to}
	if t.connectTime == 0 || t.connected[pair] {
		return true
	}
	t.mu.Unlock()
	time.Sleep(t.connectTime)
	t.mu.Lock()
	t.connected[pair] = ctx.Err() == nil // a connection without a response in time is closed
	return t.connected[pair]
}

// call carries a request and its response.
func call[P, R any](ctx context.Context, t memoryTransport, m Member, params P, handle func(*Steward, P) (R, error)) (R, error) {
	if !t.connect(ctx, m.Steward) {
		var none R
		return none, errUnreachable
	}
	t.carry(t.from, m.Steward, params)
	t.mu.Lock()
	down := t.down[m.Steward]
	t.mu.Unlock()
	if down {
		<-ctx.Done()
		var none R
		return none, errUnreachable
	}
	i := slices.IndexFunc(t.members, func(o Member) bool { return o.Steward == m.Steward })
	result, err := handle(t.stewards[i], params)
	t.carry(m.Steward, t.from, result)
	return result, err
}

func (t memoryTransport) observe(ctx context.Context, m Member, r ObserveRequest) (Observation, error) {
	return call(ctx, t, m, r, func(s *Steward, r ObserveRequest) (Observation, error) { return s.observe(ctx, r) })
}

func (t memoryTransport) relayObserve(ctx context.Context, m Member, r RelayedObserveRequest) (RelayedObservations, error) {
	return call(ctx, t, m, r, func(s *Steward, r RelayedObserveRequest) (RelayedObservations, error) {
		return s.relayObserve(ctx, r), nil
	})
}

func (t memoryTransport) order(ctx context.Context, m Member, r OrderRequest) (OrderResult, error) {
	return call(ctx, t, m, r, func(s *Steward, r OrderRequest) (OrderResult, error) { return s.applyOrder(ctx, r), nil })
}

func (t memoryTransport) relayOrders(ctx context.Context, m Member, r RelayedOrderRequest) ([]*OrderResult, error) {
	return call(ctx, t, m, r, func(s *Steward, r RelayedOrderRequest) ([]*OrderResult, error) { return s.relayOrders(ctx, r), nil })
}

// most returns the largest count of any steward, and forgets the counts.
func (f *memoryStewards) most() (messages, bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, n := range f.messages {
		messages, bytes = max(messages, n), max(bytes, f.sent[address], f.received[address])
	}
	clear(f.messages)
	clear(f.sent)
	clear(f.received)
	return messages, bytes
}

// observed returns the number of members that were observed, and the sum of all choices.
func (f *memoryStewards) observed(ctx context.Context) (seen int, choices int64) {
	responses, sum := f.stewards[0].observeMembers(ctx, observeTimeout, f.members, ObserveRequest{FencingToken: 7, Leader: "side-0", Group: "group", IncludeChoices: true})
	for i, o := range responses {
		if o != nil && o.Report.Index == i {
			seen++
		}
	}
	for _, n := range sum {
		choices += n
	}
	return seen, choices
}

func largeMap(ranks int) mapswitch.Map {
	m := make(mapswitch.Map, largeLayers)
	for layer := range m {
		m[layer] = make([][]int, ranks)
		for r := range m[layer] {
			for k := range largeSlots {
				m[layer][r] = append(m[layer][r], (r*largeSlots+k+layer)%largeExperts)
			}
		}
	}
	return m
}

// SHORT: the leader of 72 ranks read the counts of each rank and told each of all members; a poll took longer
// on its link than it may, so that the group counted as not fully seen and no map was changed.
func TestPollOfAGroupFitsTheLinkOfItsLeader(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{10, 40, 160, 640} {
		f := newMemoryStewards(n)
		f.observed(t.Context())
		f.most()
		seen, choices := f.observed(t.Context())
		is.Equal(seen, n)
		is.True(choices >= int64(n*largeLayers*largeExperts*200)) // those of all ranks
		messages, bytes := f.most()
		perSecond := 1 / pollInterval(n).Seconds()
		t.Logf("ranks=%d messages/s=%.0f bytes/s=%.0f", n, float64(messages)*perSecond, float64(bytes)*perSecond)
		is.True(float64(bytes)*perSecond <= stewardLinkBytes)
		is.True(messages <= 2*(fanout.MaxDirect+1)) // a steward calls so many and is called by one
	}
}

// power_off_all: all processes had started again and had no connections. The first poll of a large group through
// relays was too short for that, the relays were replaced by others without connections, and for half a second no poll
// reached all ranks; entries did not learn that the group ran.
func TestNewLeaderReachesAllRanksOfALargeGroup(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		const ranks = 160
		f := newMemoryStewards(ranks)
		f.connectTime = 40 * time.Millisecond
		f.stewards[0].members = f.members
		l := &leader{steward: f.stewards[0], fencingToken: 7, rankCount: ranks, group: "group", loads: NewExpertLoads(largeLayers), foreignSeenAt: map[string]time.Time{}}
		begun := time.Now()
		observations, _ := l.observeAll(t.Context(), false)
		is.Equal(len(observations), ranks)
		is.True(time.Since(begun) <= firstObserveTimeout)
		is.Equal(l.observeTimeout(time.Now()), observeTimeout) // the connections are open
	})
}

// A rank that does not respond must not make all polls of a new leader long.
func TestPollsOfALeaderAreShortAfterItsFirstSecond(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newMemoryStewards(72)
		f.stewards[0].members = f.members
		f.down[f.members[40].Steward] = true
		l := &leader{steward: f.stewards[0], fencingToken: 7, rankCount: 72, group: "group", loads: NewExpertLoads(largeLayers), foreignSeenAt: map[string]time.Time{}}
		for begun := time.Now(); time.Since(begun) < standstill.FirstContactTime; {
			observations, _ := l.observeAll(t.Context(), false)
			is.Equal(len(observations), 71)
		}
		time.Sleep(time.Millisecond)
		begun := time.Now()
		l.observeAll(t.Context(), false)
		is.True(time.Since(begun) <= observeTimeout)
	})
}

// SHORT: each rank got a whole map from the leader, which took its link longer than an order may take.
func TestOrdersReachALargeGroupInTime(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{10, 40, 72, 160} {
		f := newMemoryStewards(n)
		m := largeMap(n)
		var orders []mapswitch.Order
		memberByRank := map[int]Member{}
		for i := range n {
			orders = append(orders, mapswitch.Order{Rank: i, Op: mapswitch.Prepare, Epoch: 3, Version: 9, Map: m})
			memberByRank[i] = f.members[i]
		}
		results := f.stewards[0].sendOrders(t.Context(), orders, memberByRank, 7)
		for i, r := range results {
			is.True(r != nil && r.Accepted)
			is.Equal(f.ranks[i].orders, []mapswitch.Order{{Rank: i, Op: mapswitch.Prepare, Epoch: 3, Version: 9, Map: m}})
		}
		_, bytes := f.most()
		t.Logf("ranks=%d bytes=%d", n, bytes)
		is.True(time.Duration(float64(bytes)/stewardLinkBytes*float64(time.Second)) <= observeTimeout)
	}
}

// A steward that relays for others ended; its part counted as not seen, so that a hold lasted on.
func TestPartOfARelayThatIsDownIsReachedDirectly(t *testing.T) {
	is := is.New(t)
	const n = 72
	f := newMemoryStewards(n)
	f.down[f.members[1].Steward] = true // the first of a part, which relays
	seen, _ := f.observed(t.Context())
	is.Equal(seen, n-1)
	begun := time.Now()
	seen, _ = f.observed(t.Context()) // another one relays now
	is.Equal(seen, n-1)
	is.True(time.Since(begun) <= observeTimeout+10*time.Millisecond)

	orders := []mapswitch.Order{}
	memberByRank := map[int]Member{}
	for i := range n {
		orders = append(orders, mapswitch.Order{Rank: i, Op: mapswitch.Prepare, Epoch: 3, Version: 9, Map: largeMap(n)})
		memberByRank[i] = f.members[i]
	}
	f.stewards[0].tree = fanout.NewCaller(f.members[0].Upstream, hclog.NewNullLogger())
	accepted := 0
	for _, r := range f.stewards[0].sendOrders(t.Context(), orders, memberByRank, 7) {
		if r != nil && r.Accepted {
			accepted++
		}
	}
	is.Equal(accepted, n-1)
}

// power_off_all, platform_down: all stewards start while the store is away. Each asked it ten times a second for the fencing token.
func TestStewardsAskALostStoreSeldom(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newMemoryStewards(1)
		s := f.stewards[0]
		s.fence.loaded = false
		store := &countingStore{Store: standin.NewMemoryStore()}
		store.FailAll(503)
		s.store.SetTransport(store)
		ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
		defer cancel()
		s.run(ctx)
		t.Logf("%d calls in 6 s", store.calls)
		is.True(store.calls >= 6 && store.calls <= 6*4)
	})
}

// countingStore counts the calls to a store.
type countingStore struct {
	*standin.Store
	calls int
}

// RoundTrip implements http.RoundTripper.
func (c *countingStore) RoundTrip(r *http.Request) (*http.Response, error) {
	c.calls++
	return c.Store.RoundTrip(r)
}
