package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/crashcause"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/inventory"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/requestlimit"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/roster"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

const (
	// probeInterval is the time between two probes of a peer, and probeTimeout limits one probe.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// unresponsiveAfter is the time without a report after which a peer is left out of the
	// directory: two probes in a row have failed.
	unresponsiveAfter = 1300 * time.Millisecond
	// uncountedAfter is the time without a report after which a peer no longer counts among the
	// gateways that share limits. It is longer, as a peer that is cut off from this gateway may
	// still serve callers.
	uncountedAfter = 10 * time.Second
	// evidenceInterval is the shortest time between two requests for the evidence of one peer.
	evidenceInterval = 100 * time.Millisecond
	// removeAfter is the time without a report after which a peer is no longer probed; it is added
	// again when it probes this gateway.
	removeAfter = time.Minute
	// forgetAfter is the time without a report after which a peer is no longer one that may be running and
	// cut off.
	forgetAfter = 10 * time.Minute
	// listInterval is the time between two reads of the store for unknown peers.
	listInterval = 5 * time.Second
	// directoryTTL is the longest time that callers may cache a directory response.
	directoryTTL = time.Second
)

// Hello is the state that gateways exchange in each probe and its response.
type Hello struct {
	From  roster.Entry `json:"from"`
	Ready bool         `json:"ready"`
	// Version is the version of the configuration in force.
	Version int64 `json:"version"`
	// Peers are the gateways that reported to the sender recently.
	Peers []roster.Entry `json:"others,omitempty"`
	// CrashDigest identifies the sender's evidence on crashes, 0 for none.
	CrashDigest uint64 `json:"crash_digest,omitempty"`
	// Silent are the IDs of the upstreams that have work of the sender and send nothing while others do.
	Silent []string `json:"silent,omitempty"`
	// Limits are the statements of upstreams on their limits that the sender knows.
	Limits []requestlimit.Statement `json:"limits,omitempty"`
}

// Snapshot passes the state of a gateway to one that cannot reach the store.
type Snapshot struct {
	Configuration json.RawMessage      `json:"configuration,omitempty"`
	Upstreams     []inventory.Upstream `json:"upstreams,omitempty"`
	ZonesOut      []string             `json:"zones_out,omitempty"`
}

const (
	methodHello    = "gateway.hello"
	methodSnapshot = "gateway.snapshot"
	methodCrashes  = "gateway.crashes"
	methodAdmit    = "gateway.admit"
)

// member is another gateway. lastReport is zero until its first report.
type member struct {
	roster.Entry
	client     *peer.Client
	lastReport time.Time
	ready      bool
	// evidenceAt is when the evidence of the member was last requested.
	evidenceAt time.Time
}

// Peers tracks the other gateways. It is safe for concurrent use.
type Peers struct {
	self        roster.Entry
	seeds       []string
	gateway     *Gateway
	credentials peer.Credentials
	log         hclog.Logger

	mu      sync.Mutex
	members map[string]*member
	// knownAt is when each gateway that may be running was last heard of, by name.
	knownAt map[string]time.Time
}

// NewPeers returns a view without other gateways.
func NewPeers(n platform.Settings, g *Gateway, c peer.Credentials, log hclog.Logger) *Peers {
	p := &Peers{
		self: roster.Entry{
			Name: n.Name, Incarnation: uuid.NewString(), CallerAddress: n.CallerAddress,
			PeerAddress: n.PeerAddress, Region: n.Region, Zone: n.Zone,
		},
		seeds: n.Seeds, gateway: g, credentials: c, log: log, members: map[string]*member{}, knownAt: map[string]time.Time{},
	}
	g.crashes.onCrash, g.onSilence = p.tell, p.tell
	g.fleet.limits.peers = p
	return p
}

// tell sends this gateway's state to all peers.
func (p *Peers) tell() { p.probeMembers(context.Background()) }

// register adds the methods that peers call.
func (p *Peers) register(s *peer.Server) {
	peer.Handle(s, methodHello, func(_ context.Context, _ *jsonrpc2.Conn, h Hello) (Hello, error) {
		p.handleHello(h, time.Now())
		return p.buildHello(), nil
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
	peer.Handle(s, roster.MethodLimit, func(_ context.Context, _ *jsonrpc2.Conn, l roster.Limit) (roster.LimitResponse, error) {
		return p.gateway.applyLimit(l), nil
	})
}

func (p *Peers) buildHello() Hello {
	h := Hello{From: p.self, Ready: p.gateway.Ready(), Version: p.gateway.Version(), CrashDigest: p.gateway.crashes.digest()}
	now := time.Now()
	h.Silent = p.gateway.fleet.silentUpstreams(now)
	h.Limits = p.gateway.fleet.limits.statements(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		if now.Sub(m.lastReport) < unresponsiveAfter {
			h.Peers = append(h.Peers, m.Entry)
		}
	}
	return h
}

// handleHello records the report of a peer and adds the peers that it names.
func (p *Peers) handleHello(h Hello, now time.Time) {
	p.gateway.fleet.SetSilent(h.Silent, now)
	p.gateway.fleet.limits.merge(h.Limits, now)
	p.mu.Lock()
	m := p.addMember(h.From)
	if m != nil {
		if now.Sub(m.lastReport) >= unresponsiveAfter || m.ready != h.Ready {
			p.log.Info("peer-reported", "peer", m.Name, "ready", h.Ready, "config_version", h.Version)
		}
		m.lastReport = now
		m.ready = h.Ready
		p.knownAt[m.Name] = now
	}
	for _, o := range h.Peers {
		p.addMember(o)
	}
	needsEvidence := m != nil && h.CrashDigest != 0 && h.CrashDigest != p.gateway.crashes.digest() && now.Sub(m.evidenceAt) >= evidenceInterval
	if needsEvidence {
		m.evidenceAt = now
	}
	p.mu.Unlock()
	if m != nil && p.gateway.needsSnapshot(h.Version, now) {
		go p.fetchSnapshot(m)
	}
	if needsEvidence {
		go p.fetchEvidence(m)
	}
}

// fetchEvidence requests and merges the evidence of a peer on crashes.
func (p *Peers) fetchEvidence(m *member) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	evidence, err := peer.Call[[]crashcause.Crash](ctx, m.client, methodCrashes, struct{}{})
	if err != nil {
		p.log.Debug("crash-evidence-failed", "peer", m.Name, "error", err.Error())
		return
	}
	p.gateway.crashes.merge(evidence, time.Now())
}

// addMember returns the member for an entry, which it adds if it is new; nil for this gateway
// itself. The caller holds p.mu.
func (p *Peers) addMember(entry roster.Entry) *member {
	if entry.Name == p.self.Name || entry.PeerAddress == "" {
		return nil
	}
	m := p.members[entry.Name]
	if m == nil || m.Incarnation != entry.Incarnation && m.PeerAddress != entry.PeerAddress {
		m = &member{Entry: entry, client: peer.NewClient(entry.PeerAddress, p.credentials)}
		p.members[entry.Name] = m
		if _, known := p.knownAt[entry.Name]; !known {
			p.knownAt[entry.Name] = time.Now()
		}
		return m
	}
	// Requests to the peer read the entry without the lock.
	updated := *m
	updated.Entry = entry
	p.members[entry.Name] = &updated
	return &updated
}

// fetchSnapshot requests and applies the state of a peer while the store is unreachable.
func (p *Peers) fetchSnapshot(m *member) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	s, err := peer.Call[Snapshot](ctx, m.client, methodSnapshot, struct{}{})
	if err != nil {
		p.log.Debug("snapshot-failed", "peer", m.Name, "error", err.Error())
		return
	}
	p.gateway.applySnapshot(s, m.Name)
}

// run probes the peers until ctx ends.
func (p *Peers) run(ctx context.Context, s *platform.Store) {
	go p.announce(ctx, s)
	// The entry in the store is lost with other recent changes.
	s.OnRewind(func() { p.announce(ctx, s) })
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	p.probeSeeds(ctx)
	for {
		p.probeMembers(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p.updateMembers(time.Now())
	}
}

// probeMembers sends a probe to every member without waiting for the responses.
func (p *Peers) probeMembers(ctx context.Context) {
	p.mu.Lock()
	members := make([]*member, 0, len(p.members))
	for _, m := range p.members {
		members = append(members, m)
	}
	p.mu.Unlock()
	h := p.buildHello()
	for _, m := range members {
		go p.sendHello(ctx, m.client, h)
	}
}

func (p *Peers) probeSeeds(ctx context.Context) {
	h := p.buildHello()
	for _, address := range p.seeds {
		if address != p.self.PeerAddress {
			go func() {
				c := peer.NewClient(address, p.credentials)
				p.sendHello(ctx, c, h)
				c.Close()
			}()
		}
	}
}

func (p *Peers) sendHello(ctx context.Context, c *peer.Client, h Hello) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	response, err := peer.Call[Hello](ctx, c, methodHello, h)
	if err != nil {
		// The connection may be broken for good; the next probe opens another.
		c.Close()
		p.log.Debug("probe-failed", "peer", c.Address(), "error", err.Error())
		return
	}
	p.handleHello(response, time.Now())
}

// updateMembers counts the gateways that share limits and removes those without reports for long.
func (p *Peers) updateMembers(now time.Time) {
	p.mu.Lock()
	counted := 1
	var hasNoMembers = len(p.members) == 0
	for name, m := range p.members {
		switch sinceReport := now.Sub(m.lastReport); {
		case m.lastReport.IsZero():
			// It was only named by others and has never reported.
		case sinceReport < uncountedAfter:
			counted++
		case sinceReport > removeAfter:
			m.client.Close()
			delete(p.members, name)
		case !m.ready:
			delete(p.knownAt, name) // it was about to stop
		}
	}
	for name, at := range p.knownAt {
		if now.Sub(at) > forgetAfter {
			delete(p.knownAt, name)
		}
	}
	p.mu.Unlock()
	p.gateway.SetGatewayCount(counted)
	if hasNoMembers {
		p.probeSeeds(context.Background())
	}
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
			pause = probeInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		if written && p.hasMembers() {
			return
		}
	}
}

func (p *Peers) hasMembers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.members) > 0
}

// writeEntry creates or replaces this gateway's entry in the store.
func (p *Peers) writeEntry(ctx context.Context, s *platform.Store) bool {
	_, err := s.Create(ctx, roster.KindEntries, p.self.Name, p.self)
	if err != nil {
		_, err = s.Replace(ctx, roster.KindEntries, p.self.Name, 0, p.self)
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
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range entries {
		p.addMember(e)
	}
}

// callerAddresses returns the caller addresses of the gateways that are ready: those in the region,
// or all if it has none.
func (p *Peers) callerAddresses(region string) []string {
	var sameRegion, all []string
	add := func(entry roster.Entry) {
		all = append(all, entry.CallerAddress)
		if entry.Region == region {
			sameRegion = append(sameRegion, entry.CallerAddress)
		}
	}
	if p.gateway.Ready() {
		add(p.self)
	}
	now := time.Now()
	p.mu.Lock()
	for _, m := range p.members {
		if m.ready && now.Sub(m.lastReport) < unresponsiveAfter {
			add(m.Entry)
		}
	}
	p.mu.Unlock()
	if len(sameRegion) > 0 {
		return sameRegion
	}
	return all
}
