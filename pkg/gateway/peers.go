package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/crashcause"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/fanout"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/gossip"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/intake"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/roster"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

const (
	// heartbeatInterval is the time between two heartbeats to a neighbour, and heartbeatTimeout limits one.
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = 400 * time.Millisecond
	// minTellInterval is the shortest time between two rounds of heartbeats that pass on changes.
	minTellInterval = 20 * time.Millisecond
	// evidenceInterval is the shortest time between two requests for the evidence of peers on crashes.
	evidenceInterval = 100 * time.Millisecond
	// listInterval is the time between two reads of the store for unknown gateways.
	listInterval = 5 * time.Second
	// maxIntroductions limits the gateways that are known from the store only and that get a heartbeat in
	// one round.
	maxIntroductions = 3
	// clientIdleTime is how long the connection to a gateway is kept without a call.
	clientIdleTime = 30 * time.Second
	// directoryTTL is the longest time that callers may cache a directory response.
	directoryTTL = time.Second
)

const (
	methodHeartbeat = "gateway.heartbeat"
	methodIsHeard   = "gateway.is_heard"
	methodSnapshot  = "gateway.snapshot"
	methodCrashes   = "gateway.crashes"
	methodAdmit     = "gateway.admit"
	methodChanges   = "gateway.changes"
)

// transport calls other gateways.
type transport interface {
	heartbeat(ctx context.Context, address string, h Heartbeat) (Heartbeat, error)
	isHeard(ctx context.Context, address, name string) (bool, error)
	changes(ctx context.Context, address string, r ChangesRequest) (ChangesResponse, error)
	snapshot(ctx context.Context, address string) (Snapshot, error)
}

// Peers tracks the other gateways. It is safe for concurrent use.
type Peers struct {
	seeds     []string
	gateway   *Gateway
	clients   *peerClients
	tree      *fanout.Caller
	transport transport
	log       hclog.Logger
	// wake requests a round of heartbeats that passes on changes.
	wake chan struct{}

	mu    sync.Mutex
	table *gossip.Table
	// listed are gateways that are known from the store only, in turn for the next heartbeat, and listedAt is
	// when the store was read.
	listed   []roster.Entry
	listedAt time.Time
	// inProgress are the addresses to which a heartbeat is in progress.
	inProgress map[string]bool
	// toldAll is set while changes other than records are to be passed on.
	toldAll bool
	// evidenceAt is when evidence on crashes was last requested.
	evidenceAt time.Time
	// fetchingSnapshot is set while the state of a peer is fetched: all neighbours tell of a new version at
	// once, and it may be large.
	fetchingSnapshot atomic.Bool
}

// NewPeers returns a view without other gateways.
func NewPeers(n platform.Settings, g *Gateway, c peer.Credentials, log hclog.Logger) *Peers {
	self := roster.Entry{
		Name: n.Name, Incarnation: uuid.NewString(), CallerAddress: n.CallerAddress,
		PeerAddress: n.PeerAddress, Region: n.Region, Zone: n.Zone,
	}
	clients := newPeerClients(c, intake.NewGatewayPlan(n.Resources).PeerConnections)
	p := &Peers{
		seeds: n.Seeds, gateway: g, clients: clients, tree: fanout.NewCaller(n.PeerAddress, log), transport: clients, log: log, wake: make(chan struct{}, 1),
		table: gossip.NewTable(self, time.Now()), inProgress: map[string]bool{},
	}
	g.crashes.onCrash, g.onSilence = p.tell, p.tell
	g.fleet.limits.peers = p
	g.feed.onChange = p.tell
	return p
}

// register adds the methods that peers call.
func (p *Peers) register(s *peer.Server) {
	peer.Handle(s, methodHeartbeat, func(_ context.Context, _ *jsonrpc2.Conn, h Heartbeat) (Heartbeat, error) {
		return p.answerHeartbeat(h, time.Now()), nil
	})
	peer.Handle(s, methodIsHeard, func(_ context.Context, _ *jsonrpc2.Conn, name string) (bool, error) {
		return p.isHeard(name), nil
	})
	peer.Handle(s, methodSnapshot, func(context.Context, *jsonrpc2.Conn, struct{}) (Snapshot, error) {
		return p.gateway.snapshot(), nil
	})
	peer.Handle(s, methodCrashes, func(context.Context, *jsonrpc2.Conn, struct{}) ([]crashcause.Crash, error) {
		return p.gateway.crashes.evidence(time.Now()), nil
	})
	peer.Handle(s, methodAdmit, func(_ context.Context, _ *jsonrpc2.Conn, r AdmitRequest) (AdmitResponse, error) {
		return p.gateway.fleet.limits.handleAdmit(r), nil
	})
	peer.Handle(s, methodChanges, func(_ context.Context, _ *jsonrpc2.Conn, r ChangesRequest) (ChangesResponse, error) {
		return p.gateway.feed.handleChanges(r), nil
	})
	peer.Handle(s, roster.MethodLimit, func(ctx context.Context, _ *jsonrpc2.Conn, l roster.Limit) (roster.LimitResponse, error) {
		return p.handleLimit(ctx, l), nil
	})
}

// tell passes a change of this gateway's state on to its neighbours, which pass it on in turn.
func (p *Peers) tell() {
	p.mu.Lock()
	p.toldAll = true
	p.mu.Unlock()
	p.wakeUp()
}

// wakeUp requests a round of heartbeats that passes on changes.
func (p *Peers) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default: // one is requested already
	}
}

// run announces this gateway and exchanges heartbeats until ctx ends.
func (p *Peers) run(ctx context.Context, s *platform.Store) {
	go p.announce(ctx, s)
	// The entry in the store is lost with other recent changes.
	s.OnRewind(func() { p.announce(ctx, s) })
	p.exchangeHeartbeats(ctx)
}

// exchangeHeartbeats exchanges heartbeats with the neighbours until ctx ends.
func (p *Peers) exchangeHeartbeats(ctx context.Context) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		p.beginRound(ctx, time.Now())
		if !p.passOnChanges(ctx, tick.C) {
			return
		}
	}
}

// passOnChanges passes on changes as they come until the next tick. It returns false when ctx ends.
func (p *Peers) passOnChanges(ctx context.Context, tick <-chan time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-tick:
			return true
		case <-p.wake:
			p.tellNeighbours(ctx)
			sleep(ctx, minTellInterval)
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// beginRound sends the heartbeats of a round, checks the neighbours that are silent and counts the gateways that
// share limits.
func (p *Peers) beginRound(ctx context.Context, now time.Time) {
	p.mu.Lock()
	p.table.SetReady(p.gateway.Ready())
	targets := p.table.Tick(now)
	suspects := p.table.Suspects(now)
	targets = append(targets, p.introductions(now)...)
	isAlone := p.isAlone()
	recent, sharing := p.table.Recent(now), p.sharingCount(now)
	running := p.table.Running()
	live := p.table.Live()
	self := p.table.Self().Name
	p.mu.Unlock()
	p.gateway.SetGatewayCount(recent, sharing)
	p.gateway.fleet.SetGateways(live)
	p.gateway.feed.SetGateways(self, running)
	p.clients.closeIdle(now)
	for _, t := range targets {
		p.startHeartbeat(ctx, t.Name, t.PeerAddress)
	}
	if isAlone {
		for _, address := range p.seeds {
			p.startHeartbeat(ctx, "", address)
		}
	}
	for _, s := range suspects {
		go p.checkSuspect(ctx, s)
	}
}

// sharingCount returns the number of gateways that may spend what all of them share: those that are known, and those that the
// store lists and that were not heard from yet. It is 0 while neither the store nor another gateway has told of any. The
// caller holds p.mu.
func (p *Peers) sharingCount(now time.Time) int {
	if p.isAlone() && p.listedAt.IsZero() {
		return 0
	}
	return p.view(now).Sharing() + len(p.listed)
}

// introductions returns the next gateways that are known from the store only. They may be reachable later only,
// and what other gateways know of them may be cut off with them. The caller holds p.mu.
func (p *Peers) introductions(now time.Time) []roster.Entry {
	p.listed = slices.DeleteFunc(p.listed, func(e roster.Entry) bool {
		return p.table.Knows(e.Name) || now.Sub(p.listedAt) > gossip.ForgetAfter
	})
	next := p.listed[:min(maxIntroductions, len(p.listed))]
	p.listed = append(slices.Clone(p.listed[len(next):]), next...)
	return next
}

// introduce adds the gateways that the store lists, and sends some of them heartbeats at once if no other gateway
// is known.
func (p *Peers) introduce(entries []roster.Entry, now time.Time) {
	p.mu.Lock()
	p.listed, p.listedAt = nil, now
	for _, i := range rand.Perm(len(entries)) {
		if !p.table.Knows(entries[i].Name) {
			p.listed = append(p.listed, entries[i])
		}
	}
	p.mu.Unlock()
	p.wakeUp()
}

// tellNeighbours sends a heartbeat to all neighbours that lack news.
func (p *Peers) tellNeighbours(ctx context.Context) {
	p.mu.Lock()
	p.table.SetReady(p.gateway.Ready())
	var targets []roster.Entry
	for _, n := range p.table.Neighbours() {
		if p.toldAll || p.table.HasNewsFor(n.Name) {
			targets = append(targets, n)
		}
	}
	p.toldAll = false
	if p.isAlone() {
		targets = p.introductions(time.Now())
	}
	p.mu.Unlock()
	for _, t := range targets {
		p.startHeartbeat(ctx, t.Name, t.PeerAddress)
	}
}

// checkSuspect marks a gateway as down that neither this gateway nor a witness hears from.
func (p *Peers) checkSuspect(ctx context.Context, s gossip.Suspect) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	for _, w := range s.Witnesses {
		// A witness that does not respond confirms nothing.
		if heard, err := p.transport.isHeard(ctx, w.PeerAddress, s.Name); err == nil && heard {
			return
		}
	}
	p.mu.Lock()
	marked := p.table.MarkDown(s.Record, time.Now())
	p.mu.Unlock()
	if marked {
		p.log.Info("peer-changed", "peer", s.Name, "status", gossip.Down.String(), "sequence", s.Sequence, "source", "silence")
		p.wakeUp()
	}
}

// isHeard reports whether this gateway heard from another one lately.
func (p *Peers) isHeard(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.HeardLately(name, time.Now())
}

// announce writes this gateway's entry to the store and reads those of the others, until the entry
// is written and another gateway is known.
func (p *Peers) announce(ctx context.Context, s *platform.Store) {
	written := false
	for ctx.Err() == nil {
		if !written {
			written = p.writeEntry(ctx, s)
		}
		p.addListed(ctx, s)
		pause := listInterval
		if !written {
			pause = heartbeatInterval
		}
		sleep(ctx, pause)
		if written && p.hasMembers() {
			return
		}
	}
}

func (p *Peers) hasMembers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.isAlone()
}

// isAlone reports whether no other gateway is known to run. The caller holds p.mu.
func (p *Peers) isAlone() bool { return len(p.table.Live()) == 1 }

// writeEntry creates or replaces this gateway's entry in the store.
func (p *Peers) writeEntry(ctx context.Context, s *platform.Store) bool {
	p.mu.Lock()
	self := p.table.Self().Entry
	p.mu.Unlock()
	_, err := s.Create(ctx, roster.KindEntries, self.Name, self)
	if err != nil {
		_, err = s.Replace(ctx, roster.KindEntries, self.Name, 0, self)
	}
	if err != nil {
		p.log.Warn("announce-failed", "error", err.Error())
	}
	return err == nil
}

func (p *Peers) addListed(ctx context.Context, s *platform.Store) {
	entries, unreadable, err := roster.List(ctx, s)
	if err != nil {
		p.log.Warn("peer-list-failed", "error", err.Error())
		return
	}
	if len(unreadable) > 0 {
		p.log.Warn("peers-unreadable", "objects", unreadable)
	}
	p.introduce(entries, time.Now())
}

// callerAddresses returns the caller addresses of the gateways that are ready: those in the region,
// or all if it has none.
func (p *Peers) callerAddresses(region string) []string {
	p.mu.Lock()
	entries := p.table.Ready()
	if p.gateway.Ready() {
		entries = append(entries, p.table.Self().Entry)
	}
	p.mu.Unlock()
	var sameRegion, all []string
	for _, e := range entries {
		all = append(all, e.CallerAddress)
		if e.Region == region {
			sameRegion = append(sameRegion, e.CallerAddress)
		}
	}
	if len(sameRegion) > 0 {
		return sameRegion
	}
	return all
}
