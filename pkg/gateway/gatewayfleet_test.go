package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
	"github.com/coltsfootpitch/coltsfootpitch/platform/standin"
)

// gatewayFleet is a fleet of gateways that know each other, with a store.
type gatewayFleet struct {
	t        *testing.T
	store    *standin.Store
	gateways []*fleetGateway
}

// fleetGateway is one gateway of a gatewayFleet.
type fleetGateway struct {
	*Gateway
	url  string
	stop func()
}

func newGatewayFleet(t *testing.T) *gatewayFleet {
	t.Helper()
	f := &gatewayFleet{t: t, store: standin.NewStore()}
	t.Cleanup(f.store.Close)
	return f
}

// startAll starts gateways and waits until they know each other and the workers in the store.
func (f *gatewayFleet) startAll(gateways, workers int) {
	f.t.Helper()
	f.store.PutRaw(platform.KindConfiguration, platform.NameConfiguration, configuration("1"))
	for i := range gateways {
		f.gateways = append(f.gateways, f.start(i))
	}
	f.waitUntil("the gateways to know each other and the workers", func() bool {
		for _, g := range f.gateways {
			upstreams, _ := g.fleet.UsableCapacity("plain")
			g.mu.Lock()
			known := g.gatewayCount
			g.mu.Unlock()
			if !g.Ready() || upstreams < workers || known < gateways {
				return false
			}
		}
		return true
	})
}

// start starts a gateway with its own listeners.
func (f *gatewayFleet) start(i int) *fleetGateway {
	f.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	n := platform.Settings{
		Name: fmt.Sprintf("edge-%d", i), Zone: "z", StoreAddress: f.store.Address(), StopTimeout: 8 * time.Second,
		PeerAddress: l.Addr().String(),
		RetryLimits: platform.RetryLimits{Ratio: 0.2, Allowance: 94, Window: 10 * time.Second},
	}
	m := metrics.NewRegistry()
	store := platform.NewStore(n.StoreAddress, m, hclog.NewNullLogger())
	g := newRunningGateway(n, m)
	p := NewPeers(n, g, peer.Credentials{}, hclog.NewNullLogger())
	peerServer := peer.NewServer(peer.Credentials{})
	p.register(peerServer)
	ctx, cancel := context.WithCancel(context.Background())
	g.followStore(ctx, store)
	go func() { _ = peerServer.Serve(l) }()
	go p.run(ctx, store)
	callers := httptest.NewServer(g)
	stop := func() {
		cancel()
		callers.CloseClientConnections()
		callers.Close()
		_ = peerServer.Close()
	}
	f.t.Cleanup(stop)
	return &fleetGateway{Gateway: g, url: callers.URL, stop: stop}
}

func (f *gatewayFleet) waitUntil(description string, condition func() bool) {
	f.t.Helper()
	b := testbed{t: f.t}
	b.waitUntil(description, condition)
}
