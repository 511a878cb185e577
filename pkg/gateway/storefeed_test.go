package gateway

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/internal/bubble"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/inventory"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/roster"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
	"github.com/coltsfootpitch/coltsfootpitch/platform/standin"
)

// putWorker writes the entry of a worker of the service "plain".
func putWorker(s *standin.Store, i int) {
	s.Put(platform.KindUpstreams, fmt.Sprint("worker-", i), map[string]any{
		"service": "plain", "address": fmt.Sprintf("10.1.0.%d:9000", i), "zone": "zone", "capacity": 6, "state": "ready",
	})
}

// newWorkerStore returns a store with a configuration and some workers.
func newWorkerStore(workers int) *standin.Store {
	s := standin.NewMemoryStore()
	s.PutRaw(platform.KindConfiguration, platform.NameConfiguration, configuration("1"))
	for i := range workers {
		putWorker(s, i)
	}
	return s
}

// seesWorkers reports whether all gateways see a number of workers.
func (f *memoryFleet) seesWorkers(n int) bool {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	for _, p := range f.network.peers {
		if seen, _ := p.gateway.fleet.UsableCapacity("plain"); seen != n {
			return false
		}
	}
	return true
}

// changeTime is the time in which a change of the store must be in force at all gateways.
const changeTime = 2 * time.Second

// SHORT: each gateway watched the store, and each registration of a worker woke all of them: calls grew with the
// product of gateways and changes.
func TestStoreCallsDoNotGrowWithTheNumberOfGateways(t *testing.T) {
	const changes = 20
	calls := map[int]float64{}        // a second without changes
	callsOfChanges := map[int]int64{} // while the changes are made
	for _, n := range []int{10, 40, 160, 640} {
		bubble.TestOnAllProcessors(t, func(t *testing.T) {
			is := is.New(t)
			f := startMemoryFleetWithStore(n, true, newWorkerStore(10))
			defer f.stopAll()
			time.Sleep(5 * time.Second)
			is.True(f.seesWorkers(10))
			const span = 10
			f.storeCalls.Store(0)
			f.resetCount()
			time.Sleep(span * time.Second)
			_, bytes := f.resetCount()
			calls[n] = float64(f.storeCalls.Load()) / span
			f.storeCalls.Store(0)
			for i := range changes {
				putWorker(f.store, 10+i)
				time.Sleep(200 * time.Millisecond)
			}
			time.Sleep(changeTime)
			is.True(f.seesWorkers(10 + changes))
			callsOfChanges[n] = f.storeCalls.Load()
			t.Logf("gateways=%d calls/s=%.1f calls of %d changes=%d bytes/s of a gateway=%.0f", n, calls[n], changes, callsOfChanges[n], float64(bytes)/float64(n)/span)
			is.True(float64(bytes)/float64(n)/span <= maxControlBytes)
		})
	}
	is := is.New(t)
	const tenthOfTheStore = 200 // calls a second
	is.True(calls[640] <= tenthOfTheStore)
	is.True(calls[640] <= 1.2*min(calls[10], calls[40], calls[160]))
	is.True(callsOfChanges[640] <= min(callsOfChanges[40], callsOfChanges[160])+changes) // one call more for each change
}

// platform_down, node_kill: all relays end or lose the store, and the store serves the others. Those must learn of
// changes in time.
func TestChangesArriveWithoutTheRelays(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startMemoryFleetWithStore(40, true, newWorkerStore(10))
		defer f.stopAll()
		time.Sleep(5 * time.Second)
		var entries []roster.Entry
		for _, p := range f.network.peers {
			entries = append(entries, p.table.Self().Entry)
		}
		relays := chooseRelays(entries)
		is.Equal(len(relays), relayCount)
		for _, name := range relays {
			f.kill(name)
		}
		putWorker(f.store, 10)
		time.Sleep(confirmationTTL + feedCheckInterval + 10*networkDelay)
		is.True(f.seesWorkers(11))
	})
}

// power_off_all, platform_down: all gateways start at once and know no other one. Each watched the store until it did and was woken by
// each registration, and while the store was away each tried three kinds five times a second.
func TestStoreCallsOfGatewaysThatStartTogether(t *testing.T) {
	const gateways, kinds = 40, 3
	callsOfStart := func(t *testing.T, isAway bool) float64 {
		store := newWorkerStore(10)
		if isAway {
			store.FailAll(503)
		}
		f := startMemoryFleetWithStore(gateways, false, store)
		defer f.stopAll()
		for i := range 30 {
			putWorker(store, 10+i)
			time.Sleep(100 * time.Millisecond)
		}
		if !isAway {
			time.Sleep(changeTime)
			is.New(t).True(f.seesWorkers(40))
		}
		calls := float64(f.storeCalls.Load()) / gateways
		t.Logf("store away: %v, calls of a gateway: %.1f", isAway, calls)
		return calls
	}
	bubble.Test(t, func(t *testing.T) {
		const lists, watchesOfRelays = kinds, relayCount * kinds * 5.0 / gateways
		is.New(t).True(callsOfStart(t, false) <= lists+kinds+2*watchesOfRelays) // a list of each kind and about one watch
	})
	bubble.Test(t, func(t *testing.T) {
		const seconds, perSecond = 3, 6 // the retries of one kind, and some of the others
		is.New(t).True(callsOfStart(t, true) <= seconds*perSecond)
	})
}

// A store that was away must be followed again by all, also by those that learn of it from others.
func TestGatewaysRecoverWithTheStore(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startMemoryFleetWithStore(40, true, newWorkerStore(10))
		defer f.stopAll()
		time.Sleep(5 * time.Second)
		f.store.FailAll(503)
		time.Sleep(6 * time.Second)
		for _, p := range f.network.peers {
			is.True(p.gateway.storeLostAt.Load() != 0)
		}
		f.store.FailAll(0)
		putWorker(f.store, 10)
		time.Sleep(changeTime)
		is.True(f.seesWorkers(11))
		for _, p := range f.network.peers {
			is.Equal(p.gateway.storeLostAt.Load(), int64(0))
		}
	})
}

// A store that was restored from a copy gives out the same revisions again for other changes; what a relay has read
// since must not be taken for what others had before.
func TestGatewaysFollowARewoundStore(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startMemoryFleetWithStore(40, true, newWorkerStore(10))
		defer f.stopAll()
		time.Sleep(5 * time.Second)
		copied := f.store.Copy()
		putWorker(f.store, 10)
		time.Sleep(changeTime)
		is.True(f.seesWorkers(11))
		f.store.Restore(copied)
		f.store.Remove(platform.KindUpstreams, "worker-0")
		putWorker(f.store, 11)
		putWorker(f.store, 12)
		time.Sleep(changeTime)
		for _, p := range f.network.peers {
			is.True(p.gateway.fleet.IsInService("worker-12"))
		}
		time.Sleep(inventory.RewriteTime) // until then others may write again what was lost
		f.store.Remove(platform.KindUpstreams, "worker-11")
		time.Sleep(2 * changeTime)
		for _, p := range f.network.peers {
			p.gateway.fleet.Choose("plain", nil, time.Now()) // removes what was not written again
			is.True(!p.gateway.fleet.IsInService("worker-0"))
			is.True(!p.gateway.fleet.IsInService("worker-10"))
			is.True(!p.gateway.fleet.IsInService("worker-11"))
		}
	})
}

// Changes that are too large for heartbeats between zones are read from the store by each gateway.
func TestLargeChangesAreReadFromTheStore(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startMemoryFleetWithStore(40, true, newWorkerStore(10))
		defer f.stopAll()
		time.Sleep(5 * time.Second)
		large := append(configuration("2"), slices.Repeat([]byte(" "), maxRelayedBytes)...)
		f.store.PutRaw(platform.KindConfiguration, platform.NameConfiguration, large)
		f.resetCount()
		time.Sleep(changeTime)
		_, bytes := f.resetCount()
		is.True(bytes < 40*maxRelayedBytes)
		for _, p := range f.network.peers {
			is.Equal(p.gateway.Version(), int64(2))
		}
	})
}

// platform_down: a configuration that few gateways have read before the store went away passes on from gateway to gateway. Each
// fetched it from all of its neighbours at once, which took more of its link than all else.
func TestConfigurationOfPeersIsFetchedOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		const gateways, size = 40, 300 << 10
		f := startMemoryFleetWithStore(gateways, true, newWorkerStore(10))
		defer f.stopAll()
		time.Sleep(5 * time.Second)
		f.store.FailAll(503)
		time.Sleep(5 * time.Second)
		f.resetCount()
		large := append([]byte(`{"other":"`+strings.Repeat("x", size)+`",`), configuration("2")[1:]...)
		f.network.peers[memoryName(0)].gateway.ApplyConfiguration(large, "test")
		f.network.peers[memoryName(0)].tell()
		time.Sleep(3 * time.Second)
		_, bytes := f.resetCount()
		for _, p := range f.network.peers {
			is.Equal(p.gateway.Version(), int64(2))
		}
		t.Logf("%.2f copies for each gateway", float64(bytes)/size/gateways)
		is.True(bytes <= gateways*size*6/5)
	})
}
