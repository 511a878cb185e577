package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/caller"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configstore"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/directory"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/dispatch"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/instancelist"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/news"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/operator"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
)

// node is the life cycle of an entry process.
type node struct {
	settings    Settings
	platform    *platform.Client
	store       *configstore.Store
	config      *configuration.Holder
	table       *dispatch.InstanceTable
	poller      *dispatch.Poller
	callers     *caller.Server
	control     *peer.Server
	credentials peer.Credentials
	operator    *operator.Server
	events      *event.Recorder
	list        *instancelist.Cache
	watch       *news.Watcher
	registry    metrics.Registry
	quarantine  *dispatch.Quarantine

	lifeMu sync.Mutex
	life   directory.TTLTracker

	cancel context.CancelFunc
	loops  sync.WaitGroup
}

func (n *node) start(ctx context.Context) error {
	peer.Handle(n.control, peer.MethodStatus, n.answerStatus)
	peer.Handle(n.control, peer.MethodConfigure, n.configure)
	n.startNews()
	l, err := n.credentials.Listen(ctx, n.settings.ControlAddress)
	if err != nil {
		return err
	}
	go func() {
		// Serve ends when the listener is closed at stop.
		_ = n.control.Serve(l)
	}()
	run, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.loops.Go(func() { n.list.Run(run, n.platform) })
	n.loops.Go(func() { n.watch.Run(run) })
	n.loops.Go(func() { n.store.FollowWithOptions(run, n.followOptions()) })
	n.loops.Go(func() { n.poller.Run(run) })
	n.loops.Go(func() { n.watchReady(run) })
	return n.callers.Start(ctx)
}

// stop is a planned stop: no request in progress is cut off unless ctx ends first.
func (n *node) stop(ctx context.Context) error {
	n.events.Record(event.Event{Kind: event.ProcessStopping})
	n.operator.SetReady(false)
	n.callers.Leave()
	n.linger(ctx)
	err := n.callers.Stop(ctx)
	n.cancel()
	n.loops.Wait()
	n.control.Close()
	return err
}

// linger waits until no caller holds an address answer that names this entry. Another
// entry may give such an answer until its last status of this one is too old.
func (n *node) linger(ctx context.Context) {
	n.lifeMu.Lock()
	end := n.life.LatestExpiry(time.Now().Add(dispatch.MaxStatusAge))
	n.lifeMu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(end)):
	}
}

func (n *node) instancesChanged(list []instancelist.Instance) {
	n.table.SetInstances(list)
	n.watch.SetInstances(list)
	n.poller.PollNow()
}

func (n *node) adopt(d *configuration.Document) {
	if n.config.Adopt(d) {
		n.adopted(d.Version)
	}
}

func (n *node) adopted(version int64) {
	ttl := n.config.View().Document.Limits.DirectoryTTLSeconds
	n.lifeMu.Lock()
	n.life.SetTTL(time.Now(), time.Duration(ttl)*time.Second)
	n.lifeMu.Unlock()
	n.events.Record(event.Event{Kind: event.ConfigAdopted, ConfigVersion: version})
	n.watch.DistributeConfig()
	n.poller.PollNow()
}

func (n *node) platformLost(err error) {
	n.events.Record(event.Event{Kind: event.PlatformLost, Detail: err.Error()})
}

func (n *node) platformRecovered() {
	n.events.Record(event.Event{Kind: event.PlatformRecovered})
}

// readyPoll is the interval at which readiness is looked at.
const readyPoll = 50 * time.Millisecond

func (n *node) watchReady(ctx context.Context) {
	tick := time.NewTicker(readyPoll)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			n.operator.SetReady(n.table.Ready() && !n.callers.Leaving())
		}
	}
}

func (n *node) news() peer.SenderState {
	return peer.SenderState{Stamp: n.events.Clock().Now(), ConfigVersion: n.config.View().Version()}
}

func (n *node) answerStatus(_ context.Context, _ *jsonrpc2.Conn, r peer.StatusRequest) (peer.Status, error) {
	n.events.Clock().Observe(r.Stamp)
	return peer.Status{
		SenderState: n.news(),
		Upstream:    n.settings.Name,
		Zone:        n.settings.Zone,
		Leaving:     n.callers.Leaving(),
		Verdicts:    n.quarantine.RecentVerdicts(),
	}, nil
}

func (n *node) configure(_ context.Context, _ *jsonrpc2.Conn, r peer.ConfigureRequest) (peer.ConfigureResult, error) {
	n.events.Clock().Observe(r.Stamp)
	// An update that builds on another document is answered with the version in force here.
	if took, _ := n.config.ApplyUpdate(r.Update); took {
		n.adopted(r.Update.Version)
	}
	return peer.ConfigureResult{SenderState: n.news()}, nil
}
