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

// entryProcess starts and stops the parts of an entry and handles the requests of other processes.
type entryProcess struct {
	settings       Settings
	platform       *platform.Client
	configStore    *configstore.Store
	config         *configuration.Holder
	instances      *dispatch.InstanceTable
	poller         *dispatch.Poller
	callerServer   *caller.Server
	controlServer  *peer.Server
	credentials    peer.Credentials
	operatorServer *operator.Server
	events         *event.Recorder
	instanceList   *instancelist.Cache
	watch          *news.Watcher
	registry       metrics.Registry
	quarantine     *dispatch.Quarantine

	addressTTLMu sync.Mutex
	// addressTTL tracks until when callers may cache an address list that names this entry.
	addressTTL directory.TTLTracker

	cancelBackground context.CancelFunc
	// background counts the goroutines that run until cancelBackground is called.
	background sync.WaitGroup
}

func (p *entryProcess) start(ctx context.Context) error {
	peer.Handle(p.controlServer, peer.MethodStatus, p.handleStatus)
	peer.Handle(p.controlServer, peer.MethodConfigure, p.handleConfigure)
	p.initWatch()
	l, err := p.credentials.Listen(ctx, p.settings.ControlAddress)
	if err != nil {
		return err
	}
	go func() {
		// Serve ends when the listener is closed at stop.
		_ = p.controlServer.Serve(l)
	}()
	run, cancel := context.WithCancel(context.Background())
	p.cancelBackground = cancel
	p.background.Go(func() { p.instanceList.Run(run, p.platform) })
	p.background.Go(func() { p.watch.Run(run) })
	p.background.Go(func() { p.configStore.FollowWithOptions(run, p.followOptions()) })
	p.background.Go(func() { p.poller.Run(run) })
	p.background.Go(func() { p.pollReadiness(run) })
	return p.callerServer.Start(ctx)
}

// stop performs a planned stop: requests in progress run to their end unless ctx ends first.
func (p *entryProcess) stop(ctx context.Context) error {
	p.events.Record(event.Event{Kind: event.ProcessStopping})
	p.operatorServer.SetReady(false)
	p.callerServer.Leave()
	p.waitForAddressExpiry(ctx)
	err := p.callerServer.Stop(ctx)
	p.cancelBackground()
	p.background.Wait()
	p.controlServer.Close()
	return err
}

// waitForAddressExpiry waits until no caller can have an unexpired address list that names this
// entry. Another entry may return such a list until the last status that it received from this one
// is older than dispatch.MaxStatusAge.
func (p *entryProcess) waitForAddressExpiry(ctx context.Context) {
	p.addressTTLMu.Lock()
	expiry := p.addressTTL.LatestExpiry(time.Now().Add(dispatch.MaxStatusAge))
	p.addressTTLMu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(expiry)):
	}
}

func (p *entryProcess) handleInstancesChanged(instances []instancelist.Instance) {
	p.instances.SetInstances(instances)
	p.watch.SetInstances(instances)
	p.poller.PollNow()
}

func (p *entryProcess) adoptConfiguration(d *configuration.Document) {
	if p.config.Adopt(d) {
		p.handleAdopted(d.Version)
	}
}

// handleAdopted applies the TTL of the configuration that came into force and notifies the other
// processes.
func (p *entryProcess) handleAdopted(version int64) {
	ttl := p.config.View().Document.Limits.DirectoryTTLSeconds
	p.addressTTLMu.Lock()
	p.addressTTL.SetTTL(time.Now(), time.Duration(ttl)*time.Second)
	p.addressTTLMu.Unlock()
	p.events.Record(event.Event{Kind: event.ConfigAdopted, ConfigVersion: version})
	p.watch.DistributeConfig()
	p.poller.PollNow()
}

func (p *entryProcess) recordPlatformLost(err error) {
	p.events.Record(event.Event{Kind: event.PlatformLost, Detail: err.Error()})
}

func (p *entryProcess) recordPlatformRecovered() {
	p.events.Record(event.Event{Kind: event.PlatformRecovered})
}

// readinessPollInterval is the interval at which readiness is updated.
const readinessPollInterval = 50 * time.Millisecond

func (p *entryProcess) pollReadiness(ctx context.Context) {
	ticker := time.NewTicker(readinessPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.operatorServer.SetReady(p.instances.Ready() && !p.callerServer.Leaving())
		}
	}
}

// senderState returns the time stamp and configuration version sent with every response.
func (p *entryProcess) senderState() peer.SenderState {
	return peer.SenderState{Stamp: p.events.Clock().Now(), ConfigVersion: p.config.View().Version()}
}

func (p *entryProcess) handleStatus(_ context.Context, _ *jsonrpc2.Conn, r peer.StatusRequest) (peer.Status, error) {
	p.events.Clock().Observe(r.Stamp)
	return peer.Status{
		SenderState: p.senderState(),
		Upstream:    p.settings.Name,
		Zone:        p.settings.Zone,
		Leaving:     p.callerServer.Leaving(),
		Verdicts:    p.quarantine.RecentVerdicts(),
	}, nil
}

func (p *entryProcess) handleConfigure(_ context.Context, _ *jsonrpc2.Conn, r peer.ConfigureRequest) (peer.ConfigureResult, error) {
	p.events.Clock().Observe(r.Stamp)
	// An update based on another document is not applied; the response carries the version in force.
	if applied, _ := p.config.ApplyUpdate(r.Update); applied {
		p.handleAdopted(r.Update.Version)
	}
	return peer.ConfigureResult{SenderState: p.senderState()}, nil
}
