package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/guard"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/metric"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// MetricsPort is the port on which a gateway serves its metrics.
const MetricsPort = "9464"

// Module provides the components of the gateway process.
var Module = fx.Options(
	fx.Provide(
		func(m metrics.Registry) peer.Credentials { return peer.Credentials{}.Counted(m) },
		func(n platform.Settings, m metrics.Registry, log hclog.Logger) *platform.Store {
			return platform.NewStore(n.StoreAddress, m, log)
		},
		NewFleet, New, NewPeers, peer.NewServer, newProcess,
	),
	fx.Invoke(func(lc fx.Lifecycle, p *process) {
		lc.Append(fx.Hook{OnStart: p.start, OnStop: p.stop})
	}),
)

// process is the running gateway with its listeners.
type process struct {
	node            platform.Settings
	log             hclog.Logger
	gateway         *Gateway
	peers           *Peers
	store           *platform.Store
	peerServer      *peer.Server
	callerServer    *http.Server
	callerListener  net.Listener
	internalServers []*http.Server
	guards          *guards
	cancel          context.CancelFunc
}

func newProcess(n platform.Settings, log hclog.Logger, g *Gateway, p *Peers, s *platform.Store, server *peer.Server) *process {
	p.register(server)
	guards := newGuards(n.Resources, log, g.metrics)
	g.onConfiguration = guards.applyLimits
	return &process{node: n, log: log, gateway: g, peers: p, store: s, peerServer: server, guards: guards}
}

func (p *process) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.gateway.followStore(ctx, p.store)
	p.callerServer = newCallerServer(p.gateway, p.log)
	listener, err := startServer(p.guards.callers, p.callerServer, p.node.CallerAddress)
	if err != nil {
		return err
	}
	p.callerListener = listener
	if err := p.startInternalServers(); err != nil {
		return err
	}
	l, err := net.Listen("tcp", p.node.PeerAddress)
	if err != nil {
		return err
	}
	go func() {
		if err := p.peerServer.Serve(p.guards.control.Listener(l)); err != nil {
			p.log.Error("peer-listener-failed", "error", err.Error())
		}
	}()
	go p.peers.run(ctx, p.store)
	go p.runMaintenance(ctx)
	go metric.LogCounters(ctx, p.gateway.metrics, p.log, "control-traffic", metric.ControlPrefixes...)
	return nil
}

// startInternalServers opens the listeners of the directory, of readiness and of metrics.
func (p *process) startInternalServers() error {
	gin.SetMode(gin.ReleaseMode)
	started := map[string]bool{"": true}
	for _, l := range []struct {
		address string
		guard   *guard.Guard
	}{
		{p.node.DirectoryAddress, p.guards.directory},
		{p.node.ReadyAddress, p.guards.readiness},
		{net.JoinHostPort(p.node.Address, MetricsPort), p.guards.metrics},
	} {
		if started[l.address] {
			continue
		}
		started[l.address] = true
		s := newInternalServer(p.internalHandler(), p.log)
		if _, err := startServer(l.guard, s, l.address); err != nil {
			return err
		}
		p.internalServers = append(p.internalServers, s)
	}
	return nil
}

// internalHandler serves the directory, readiness and metrics on each internal listener.
func (p *process) internalHandler() http.Handler {
	e := gin.New()
	e.Use(refuseBodies)
	e.GET(platform.PathDirectory, func(c *gin.Context) {
		q := platform.ReadDirectoryQuery(c.Request.URL.Query())
		addresses := p.peers.callerAddresses(q.Region)
		if len(addresses) == 0 {
			c.Status(http.StatusServiceUnavailable)
			return
		}
		ttl := min(directoryTTL, p.node.MaxDirectoryTTL)
		c.JSON(http.StatusOK, platform.NewDirectoryResponse(addresses, ttl))
	})
	e.GET(platform.PathReady, func(c *gin.Context) {
		if !p.gateway.Ready() {
			c.Status(http.StatusServiceUnavailable)
			return
		}
		c.Status(http.StatusOK)
	})
	e.GET("/metrics", func(c *gin.Context) {
		c.Header("Content-Type", metric.ContentType)
		if err := metric.Write(c.Writer, p.gateway.metrics); err != nil {
			p.log.Warn("metrics-failed", "error", err.Error())
		}
	})
	return e
}

// startServer serves the connections of an address, which g accounts for.
func startServer(g *guard.Guard, s *http.Server, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() {
		if err := g.Serve(s, l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			panic(err)
		}
	}()
	return l, nil
}

// maintenanceInterval is the time between two runs of the periodic maintenance.
const maintenanceInterval = 500 * time.Millisecond

func (p *process) runMaintenance(ctx context.Context) {
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			p.gateway.pool.CloseExpired(now)
			p.gateway.RefreshLimits()
			p.gateway.fleet.Prune(now)
			p.guards.sweep(now)
		}
	}
}
