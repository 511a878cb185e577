package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/caller"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configstore"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/dispatch"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/operator"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/poisonstore"
)

// Module returns the parts of an entry process.
func Module(s Settings) fx.Option {
	return fx.Options(
		fx.Supply(s),
		fx.Provide(
			newPlatform,
			configstore.New,
			newConfigHolder,
			newInstanceTable,
			newPoller,
			newClaimStore,
			newPoisonStore,
			dispatch.NewQuarantine,
			dispatch.New,
			newCallerServer,
			newEntryProcess,
		),
		fx.Invoke(registerClaimHandler, registerVerdictHandler, registerProcess),
	)
}

func newPlatform(s Settings, reg metrics.Registry) *platform.Client {
	return platform.New(platform.Options{URL: s.PlatformURL, Registry: reg})
}

func newPoisonStore(p *platform.Client) *poisonstore.Store {
	return poisonstore.New(p.WithPriority(platform.PrioritySafety), nil)
}

func newConfigHolder(reg metrics.Registry) (*configuration.Holder, error) {
	h := &configuration.Holder{}
	return h, h.Register(reg)
}

func newInstanceTable(s Settings, h *configuration.Holder, rec *event.Recorder, c peer.Credentials, reg metrics.Registry) *dispatch.InstanceTable {
	return dispatch.NewInstanceTable(dispatch.InstanceTableOptions{Name: s.Name, Zone: s.Zone, Region: s.Region, Config: h, Events: rec, Credentials: c, Registry: reg, Now: time.Now})
}

func newPoller(s Settings, t *dispatch.InstanceTable) *dispatch.Poller {
	return dispatch.NewPoller(t, time.Duration(s.StatusMillis)*time.Millisecond)
}

func newCallerServer(s Settings, d *dispatch.Dispatcher, t *dispatch.InstanceTable, h *configuration.Holder) *caller.Server {
	return caller.New(caller.Options{Address: s.CallerAddress, TLS: s.CallerTLS, Dispatcher: d, Directory: t, Config: h})
}

func registerProcess(lc fx.Lifecycle, p *entryProcess, op *operator.Server) {
	p.operatorServer = op
	lc.Append(fx.Hook{OnStart: p.start, OnStop: p.stop})
}

func newEntryProcess(s Settings, p *platform.Client, st *configstore.Store, h *configuration.Holder, t *dispatch.InstanceTable, po *dispatch.Poller, c *caller.Server, rec *event.Recorder, cr peer.Credentials, reg metrics.Registry) *entryProcess {
	return &entryProcess{settings: s, platform: p, configStore: st, config: h, instances: t, poller: po, callerServer: c, events: rec, controlServer: peer.NewServer(cr), credentials: cr, registry: reg}
}
