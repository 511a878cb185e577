package agent

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/engine"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/operator"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/service"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/upstream"
)

// Module returns the components of an agent process.
func Module(s Settings) fx.Option {
	return fx.Options(
		fx.Supply(s),
		fx.Provide(newClient, newAgent, newServer),
		fx.Invoke(register),
	)
}

// newClient returns the client for the kind of the upstream.
func newClient(s Settings) upstream.Client {
	if s.Upstream.Kind == PlainService {
		return service.New(s.Upstream.URL)
	}
	return engine.New(s.Upstream.URL)
}

func newAgent(s Settings, c upstream.Client, rec *event.Recorder, reg metrics.Registry) (*Agent, error) {
	a := New(Options{Settings: s, Client: c, Recorder: rec, Registry: reg})
	return a, a.config.Register(reg)
}

func newServer(a *Agent, c peer.Credentials) *peer.Server {
	s := peer.NewServer(c)
	peer.Handle(s, peer.MethodCancel, a.Cancel)
	peer.Handle(s, peer.MethodStatus, a.ServeStatus)
	peer.Handle(s, peer.MethodConfigure, a.Configure)
	peer.Handle(s, peer.MethodProbe, a.ServeProbe)
	peer.Handle(s, peer.MethodVerdict, a.ServeVerdicts)
	return s
}

func register(lc fx.Lifecycle, a *Agent, srv *peer.Server, op *operator.Server, rec *event.Recorder, c peer.Credentials) {
	n := &lifecycle{agent: a, credentials: c, controlServer: srv, operator: op, events: rec}
	lc.Append(fx.Hook{OnStart: n.start, OnStop: n.stop})
}
