package news_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/instancelist"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/membership"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/news"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
)

// process is a simulated entry: its configuration, its instance list and its Watcher.
type process struct {
	id       string
	config   *configuration.Holder
	list     *instancelist.Cache
	events   *event.Recorder
	listener net.Listener
	server   *peer.Server
	watch    *news.Watcher
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

func startProcess(is *is.I, id, zone, address string) *process {
	return startProcessWithInterval(is, id, zone, address, 100*time.Millisecond)
}

func startProcessWithInterval(is *is.I, id, zone, address string, interval time.Duration) *process {
	cr, err := peer.NewCredentials(peer.CredentialSettings{})
	is.NoErr(err)
	p := &process{id: id, config: &configuration.Holder{}, events: event.NewRecorder(id, event.NewClock(nil), nil), server: peer.NewServer(cr)}
	p.list = instancelist.New(instancelist.Options{OnChange: func(l []instancelist.Instance) { p.watch.SetInstances(l) }})
	p.watch = news.New(news.Options{
		Name: id, Zone: zone, Region: "r", Config: p.config, List: p.list, Events: p.events, Credentials: cr,
		Membership: membership.Options{ProbeInterval: interval, ProbeTimeout: 2 * time.Second, SuspicionTimeout: 4 * time.Second, MaxConfirmers: 2},
	})
	p.watch.Register(p.server)
	peer.Handle(p.server, peer.MethodConfigure, p.configure)
	var lc net.ListenConfig
	p.listener, err = lc.Listen(context.Background(), "tcp", address)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.done.Go(func() { _ = p.server.Serve(p.listener) })
	p.done.Go(func() { p.watch.Run(ctx) })
	return p
}

func (p *process) configure(_ context.Context, _ *jsonrpc2.Conn, r peer.ConfigureRequest) (peer.ConfigureResult, error) {
	// An update to another base version is not applied; the response carries the current version.
	if applied, _ := p.config.ApplyUpdate(r.Update); applied {
		p.watch.DistributeConfig()
	}
	return peer.ConfigureResult{SenderState: peer.SenderState{ConfigVersion: p.config.View().Version()}}, nil
}

func (p *process) stop() {
	p.cancel()
	p.server.Close()
	p.done.Wait()
}

func (p *process) address() string { return p.listener.Addr().String() }

// setList replaces the instance list of the process as if the platform had sent it.
func (p *process) setList(is *is.I, revision int64, all ...*process) {
	var items []platform.Object
	for i, o := range all {
		value, err := json.Marshal(instancelist.Instance{
			Role: instancelist.RoleEntry, Zone: fmt.Sprintf("zone-%d", i%2), Region: "r", State: instancelist.StateLive, ControlAddress: o.address(),
		})
		is.NoErr(err)
		items = append(items, platform.Object{Kind: instancelist.Kind, Name: o.id, Revision: int64(i + 1), Value: value})
	}
	p.list.Replace(items)
	p.list.SetRevision(revision)
}

// maxWait limits how long eventually waits for a condition.
const maxWait = 30 * time.Second

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(maxWait); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: condition not met after %s", what, maxWait)
		}
	}
}

func (p *process) hasRecorded(kind event.Kind, id string) bool {
	for _, e := range p.events.Events() {
		if e.Kind == kind && (id == "" || e.Upstream == id) {
			return true
		}
	}
	return false
}

// An entry that starts while the platform is down must receive the instance list and the
// configuration from its peers. When an entry stops, a peer must report it as dead, and as back
// after it restarts.
func TestEntriesExchangeUpdates(t *testing.T) {
	is := is.New(t)
	var all []*process
	for i := range 4 {
		all = append(all, startProcess(is, fmt.Sprintf("entry-%d", i), fmt.Sprintf("zone-%d", i%2), "127.0.0.1:0"))
	}
	defer func() {
		for _, p := range all {
			p.stop()
		}
	}()
	for _, p := range all[:3] {
		p.setList(is, 50, all...)
	}
	all[0].config.Adopt(&configuration.Document{Version: 7, EditID: "e", Limits: configuration.DefaultLimits()})
	for _, p := range all {
		eventually(t, p.id+" has version 7", func() bool { return p.config.View().Version() == 7 })
	}
	eventually(t, "entry-3 has the list", func() bool { return len(all[3].list.All()) == 4 })
	is.True(all[3].hasRecorded(event.InstanceListTaken, ""))

	address := all[1].address()
	all[1].stop()
	reporters := func(kind event.Kind) int {
		n := 0
		for _, p := range []*process{all[0], all[2], all[3]} {
			if p.hasRecorded(kind, "entry-1") {
				n++
			}
		}
		return n
	}
	eventually(t, "entry-1 is reported as dead", func() bool { return reporters(event.ProcessDead) > 0 })
	all[1] = startProcess(is, "entry-1", "zone-1", address)
	eventually(t, "entry-1 is reported as back", func() bool { return reporters(event.ProcessBack) > 0 })
	eventually(t, "entry-1 has version 7 again", func() bool { return all[1].config.View().Version() == 7 })
	for _, p := range all {
		is.True(!p.hasRecorded(event.ProcessDead, "entry-0"))
	}
}

// A peer's list must not replace the list while the platform is followed, nor a newer list.
func TestPeerListIsAdoptedOnlyWithoutThePlatform(t *testing.T) {
	is := is.New(t)
	table := instancelist.New(instancelist.Options{})
	older := platform.List{Revision: 10, Items: []platform.Object{{Name: "a", Value: []byte(`{"zone":"z"}`)}}}
	newer := platform.List{Revision: 20, Items: []platform.Object{{Name: "b", Value: []byte(`{"zone":"z"}`)}}}
	is.True(table.AdoptPeerList(newer))
	is.True(!table.AdoptPeerList(older))
	table.Replace(older.Items)
	table.SetRevision(15)
	is.True(!table.AdoptPeerList(newer))
	table.PlatformLost(nil)
	is.True(table.AdoptPeerList(newer))
	is.Equal(table.All()[0].ID, "b")
}

// A configuration change must reach all entries without a probe: each entry forwards it at once.
func TestDistributionDoesNotWaitForProbes(t *testing.T) {
	is := is.New(t)
	var all []*process
	for i := range 6 {
		all = append(all, startProcessWithInterval(is, fmt.Sprintf("entry-%d", i), fmt.Sprintf("zone-%d", i%2), "127.0.0.1:0", time.Hour))
	}
	defer func() {
		for _, p := range all {
			p.stop()
		}
	}()
	first := &configuration.Document{Version: 1, EditID: "a", Limits: configuration.DefaultLimits()}
	for _, p := range all {
		p.config.Adopt(first)
	}
	for _, p := range all {
		p.setList(is, 50, all...)
	}
	for _, p := range all {
		p.watch.ProbeAll(context.Background())
	}
	next := *first
	next.Version, next.EditID = 2, "b"
	var members []membership.Member
	for i, p := range all {
		members = append(members, membership.Member{ID: p.id, Zone: fmt.Sprintf("zone-%d", i%2)})
	}
	relay := membership.NewDistributionTrees("zone-0", members).Relays()[0]
	for _, p := range all {
		if p.id == relay {
			p.config.Adopt(&next)
			p.watch.DistributeConfig()
		}
	}
	for _, p := range all {
		eventually(t, p.id+" has version 2", func() bool { return p.config.View().Version() == 2 })
	}
}
