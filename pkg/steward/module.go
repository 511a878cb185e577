package steward

import (
	"context"
	"net"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/metric"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// Module provides the components of the steward process.
var Module = fx.Options(
	fx.Provide(
		func(m metrics.Registry) peer.Credentials { return peer.Credentials{}.Counted(m) },
		func(settings platform.Settings, m metrics.Registry, log hclog.Logger) *platform.Store {
			return platform.NewStore(settings.StoreAddress, m, log)
		},
		New, peer.NewServer,
	),
	fx.Invoke(register),
)

// register starts the RPC server and the leader watch with the application and stops them with
// it.
func register(lc fx.Lifecycle, settings platform.Settings, s *Steward, server *peer.Server, log hclog.Logger) {
	s.register(server)
	guard := newGuard(settings.Resources, log, s.metrics)
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := net.Listen("tcp", settings.PortAddress(settings.Address, 0))
			if err != nil {
				return err
			}
			go func() {
				if err := server.Serve(guard.Listener(l)); err != nil {
					log.Error("listener-failed", "error", err.Error())
				}
			}()
			go s.run(ctx)
			go sweep(ctx, guard)
			go metric.LogCounters(ctx, s.metrics, log, "control-traffic", metric.ControlPrefixes...)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return server.Close()
		},
	})
}
