package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

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
	internalServers []*http.Server
	idleConns       *idleConns
	cancel          context.CancelFunc
}

func newProcess(n platform.Settings, log hclog.Logger, g *Gateway, p *Peers, s *platform.Store, server *peer.Server) *process {
	p.register(server)
	return &process{node: n, log: log, gateway: g, peers: p, store: s, peerServer: server, idleConns: newIdleConns()}
}

// headerTimeout limits the time to read a request's header; operators specify 3 s.
const headerTimeout = 3 * time.Second

func (p *process) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.gateway.followStore(ctx, p.store)
	p.callerServer = &http.Server{
		Handler: p.gateway, ReadHeaderTimeout: headerTimeout, ConnState: p.idleConns.recordState,
		ErrorLog: p.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	if err := startServer(p.callerServer, p.node.CallerAddress); err != nil {
		return err
	}
	if err := p.startInternalServers(); err != nil {
		return err
	}
	l, err := net.Listen("tcp", p.node.PeerAddress)
	if err != nil {
		return err
	}
	go func() {
		if err := p.peerServer.Serve(l); err != nil {
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
	addresses := []string{p.node.DirectoryAddress, p.node.ReadyAddress, net.JoinHostPort(p.node.Address, MetricsPort)}
	slices.Sort(addresses)
	for _, address := range slices.Compact(addresses) {
		if address == "" {
			continue
		}
		s := &http.Server{Handler: p.internalHandler(), ReadHeaderTimeout: headerTimeout}
		if err := startServer(s, address); err != nil {
			return err
		}
		p.internalServers = append(p.internalServers, s)
	}
	return nil
}

// internalHandler serves the directory, readiness and metrics on each internal listener.
func (p *process) internalHandler() http.Handler {
	e := gin.New()
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

func startServer(s *http.Server, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	}()
	return nil
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
			if t := p.gateway.table.Load(); t != nil && t.Limits().IdleTimeout > 0 {
				p.idleConns.closeIdle(now, t.Limits().IdleTimeout)
			}
		}
	}
}

// drainDelay is how long a stopping gateway still accepts new connections: callers cache a
// directory response for a second, and some of them three times as long.
const drainDelay = 3 * time.Second

// stop announces the stop to peers, serves for drainDelay, waits for the responses in progress and
// closes the listeners.
func (p *process) stop(ctx context.Context) error {
	p.gateway.stopping.Store(true)
	p.peers.tellNeighbours(ctx)
	select {
	case <-time.After(drainDelay):
	case <-ctx.Done():
	}
	err := p.callerServer.Shutdown(ctx)
	p.cancel()
	for _, s := range p.internalServers {
		err = errors.Join(err, s.Close())
	}
	return errors.Join(err, p.peerServer.Close())
}
