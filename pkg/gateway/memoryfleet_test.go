package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/gossip"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/roster"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
	"github.com/coltsfootpitch/coltsfootpitch/platform/standin"
)

// memoryNetwork connects gateways of one process without sockets and counts what they send.
type memoryNetwork struct {
	mu sync.Mutex
	// peers has the gateways by their address, and side the part of the network in which an address is.
	peers map[string]*Peers
	side  map[string]int
	// listed are the entries in the store, by name.
	listed   map[string]roster.Entry
	messages int
	bytes    int
}

var errUnreachable = errors.New("unreachable")

// networkDelay is the time that a message takes.
const networkDelay = time.Millisecond

// count adds one message.
func (n *memoryNetwork) count(message any) {
	text, _ := json.Marshal(message)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messages++
	n.bytes += len(text)
}

// find returns the gateway at an address, or nil if it cannot be reached.
func (n *memoryNetwork) find(from, address string) *Peers {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.side[from] != n.side[address] {
		return nil
	}
	return n.peers[address]
}

// memoryTransport is the transport of the gateway at an address.
type memoryTransport struct {
	*memoryNetwork
	from string
}

// heartbeat implements transport.
func (n memoryTransport) heartbeat(ctx context.Context, address string, h Heartbeat) (Heartbeat, error) {
	n.count(h)
	time.Sleep(networkDelay)
	p := n.find(n.from, address)
	if p == nil {
		<-ctx.Done()
		return Heartbeat{}, errUnreachable
	}
	response := p.answerHeartbeat(h, time.Now())
	n.count(response)
	time.Sleep(networkDelay)
	return response, nil
}

// changes implements transport.
func (n memoryTransport) changes(ctx context.Context, address string, r ChangesRequest) (ChangesResponse, error) {
	n.count(r)
	time.Sleep(networkDelay)
	p := n.find(n.from, address)
	if p == nil {
		<-ctx.Done()
		return ChangesResponse{}, errUnreachable
	}
	response := p.gateway.feed.handleChanges(r)
	n.count(response)
	time.Sleep(networkDelay)
	return response, nil
}

// snapshot implements transport.
func (n memoryTransport) snapshot(ctx context.Context, address string) (Snapshot, error) {
	p := n.find(n.from, address)
	if p == nil {
		<-ctx.Done()
		return Snapshot{}, errUnreachable
	}
	s := p.gateway.snapshot()
	n.count(s)
	time.Sleep(10 * networkDelay) // it is large
	return s, nil
}

// isHeard implements transport.
func (n memoryTransport) isHeard(ctx context.Context, address, name string) (bool, error) {
	n.count(name)
	p := n.find(n.from, address)
	if p == nil {
		<-ctx.Done()
		return false, errUnreachable
	}
	return p.isHeard(name), nil
}

// memoryFleet is a fleet of gateways in one process.
type memoryFleet struct {
	network *memoryNetwork
	stop    map[string]context.CancelFunc
	// store is the store that the gateways follow, nil for none.
	store      *standin.Store
	storeCalls atomic.Int64
	running    sync.WaitGroup
}

func memoryName(i int) string { return fmt.Sprintf("edge-%03d", i) }

// startMemoryFleet starts n gateways. They know each other already if known is set, and otherwise only
// the first, by their settings.
func startMemoryFleet(n int, known bool) *memoryFleet {
	return startMemoryFleetWithStore(n, known, nil)
}

// startMemoryFleetWithStore starts gateways that follow a store.
func startMemoryFleetWithStore(n int, known bool, store *standin.Store) *memoryFleet {
	f := &memoryFleet{store: store, network: &memoryNetwork{peers: map[string]*Peers{}, side: map[string]int{}, listed: map[string]roster.Entry{}}, stop: map[string]context.CancelFunc{}}
	var records []gossip.Record
	for i := range n {
		f.add(memoryName(i), known)
		p := f.network.peers[memoryName(i)]
		records = append(records, p.table.Self())
	}
	for _, p := range f.network.peers {
		if known {
			p.table.Merge("", records, time.Now())
		}
	}
	for name := range f.network.peers {
		f.run(name)
	}
	return f
}

// add adds a gateway whose address is its name.
func (f *memoryFleet) add(name string, ready bool) {
	n := platform.Settings{Name: name, PeerAddress: name, CallerAddress: name, Zone: "zone", Region: "region", Seeds: []string{memoryName(0)},
		RetryLimits: platform.RetryLimits{Ratio: 0.2, Allowance: 94, Window: 10 * time.Second},
	}
	g := New(n, NewFleet(n, hclog.NewNullLogger()), hclog.NewNullLogger(), metrics.NewRegistry())
	g.ApplyConfiguration(configuration("1"), "test")
	p := NewPeers(n, g, peer.Credentials{}, hclog.NewNullLogger())
	p.transport = memoryTransport{f.network, name}
	if ready {
		p.table.SetReady(true)
	}
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	f.network.peers[name] = p
}

func (f *memoryFleet) run(name string) {
	ctx, cancel := context.WithCancel(context.Background())
	f.stop[name] = cancel
	p := f.network.peers[name]
	self := p.table.Self().Entry
	if f.store != nil {
		p.gateway.followStore(ctx, f.newStoreClient())
	}
	f.running.Go(func() { p.exchangeHeartbeats(ctx) })
	f.running.Go(func() {
		for ctx.Err() == nil && !p.hasMembers() {
			p.introduce(f.listed(self), time.Now())
			sleep(ctx, listInterval)
		}
	})
}

// newStoreClient returns a client of the store that is counted.
func (f *memoryFleet) newStoreClient() *platform.Store {
	s := platform.NewStore("10.0.0.1:1", metrics.NewRegistry(), hclog.NewNullLogger())
	s.SetTransport(countedStore{f})
	return s
}

// countedStore counts the calls to the store of a fleet.
type countedStore struct{ fleet *memoryFleet }

// RoundTrip implements http.RoundTripper.
func (c countedStore) RoundTrip(r *http.Request) (*http.Response, error) {
	c.fleet.storeCalls.Add(1)
	time.Sleep(networkDelay)
	return c.fleet.store.RoundTrip(r)
}

// listed adds an entry to those in the store, and returns all of them.
func (f *memoryFleet) listed(self roster.Entry) []roster.Entry {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	f.network.listed[self.Name] = self
	return slices.Collect(maps.Values(f.network.listed))
}

// setSide moves a gateway to a part of the network.
func (f *memoryFleet) setSide(name string, side int) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	f.network.side[name] = side
}

// kill ends a gateway without a word.
func (f *memoryFleet) kill(name string) {
	f.stop[name]()
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	delete(f.network.peers, name)
}

func (f *memoryFleet) stopAll() {
	for _, stop := range f.stop {
		stop()
	}
	f.running.Wait()
	time.Sleep(time.Second) // heartbeats in progress end
}

// knownEverywhere reports whether all gateways name the same number of gateways in their directories.
func (f *memoryFleet) knownEverywhere(n int) bool {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	for _, p := range f.network.peers {
		if len(p.callerAddresses("region")) != n {
			return false
		}
	}
	return true
}

// resetCount returns the messages and bytes of all gateways since the last call.
func (f *memoryFleet) resetCount() (messages, bytes int) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	messages, bytes = f.network.messages, f.network.bytes
	f.network.messages, f.network.bytes = 0, 0
	return messages, bytes
}
