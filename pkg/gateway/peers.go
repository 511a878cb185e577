package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/inventory"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/roster"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

const (
	// probeInterval is the time between two probes of a peer, and probeTimeout bounds one.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// deadAfter is the silence after which a peer is no longer named to callers: two
	// probes in a row have failed.
	deadAfter = 1300 * time.Millisecond
	// shareAfter is the silence after which a peer no longer counts among those that
	// bounds are divided by: it may be cut off from here and still serve callers.
	shareAfter = 10 * time.Second
	// forgetAfter is the silence after which a peer is no longer probed; it is met again
	// when it probes this one.
	forgetAfter = time.Minute
	// meetInterval is the time between two looks at the store for unknown peers.
	meetInterval = 5 * time.Second
	// directoryLife is how long callers keep an answer of the directory, at most.
	directoryLife = time.Second
)

// Hello is what gateways tell one another in each probe and its answer.
type Hello struct {
	From  roster.Entry `json:"from"`
	Ready bool         `json:"ready"`
	// Version is the version of the configuration in force.
	Version int64 `json:"version"`
	// Others are the gateways that the sender hears.
	Others []roster.Entry `json:"others,omitempty"`
}

// Snapshot hands on what a gateway knows to one that cannot reach the store.
type Snapshot struct {
	Configuration json.RawMessage      `json:"configuration,omitempty"`
	Upstreams     []inventory.Upstream `json:"upstreams,omitempty"`
	ZonesOut      []string             `json:"zones_out,omitempty"`
}

const (
	methodHello    = "gateway.hello"
	methodSnapshot = "gateway.snapshot"
)

// member is another gateway as this one knows it.
type member struct {
	roster.Entry
	client *peer.Client
	heard  time.Time
	ready  bool
}

// Peers knows the other gateways. It is safe for concurrent use.
type Peers struct {
	self        roster.Entry
	seeds       []string
	gateway     *Gateway
	credentials peer.Credentials
	log         hclog.Logger

	mu      sync.Mutex
	members map[string]*member
}

// NewPeers returns a view without other gateways.
func NewPeers(n platform.Node, g *Gateway, c peer.Credentials, log hclog.Logger) *Peers {
	return &Peers{
		self: roster.Entry{
			Name: n.Name, Incarnation: uuid.NewString(), CallerAddress: n.CallerAddress,
			PeerAddress: n.PeerAddress, Region: n.Region, Zone: n.Zone,
		},
		seeds: n.Seeds, gateway: g, credentials: c, log: log, members: map[string]*member{},
	}
}

// register adds the methods that peers call.
func (p *Peers) register(s *peer.Server) {
	peer.Handle(s, methodHello, func(_ context.Context, _ *jsonrpc2.Conn, h Hello) (Hello, error) {
		p.hear(h, time.Now())
		return p.hello(), nil
	})
	peer.Handle(s, methodSnapshot, func(context.Context, *jsonrpc2.Conn, struct{}) (Snapshot, error) {
		return p.gateway.snapshot(), nil
	})
	peer.Handle(s, roster.MethodLimit, func(_ context.Context, _ *jsonrpc2.Conn, l roster.Limit) (roster.LimitAnswer, error) {
		return p.gateway.takeLimit(l), nil
	})
}

func (p *Peers) hello() Hello {
	h := Hello{From: p.self, Ready: p.gateway.Ready(), Version: p.gateway.Version()}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		if now.Sub(m.heard) < deadAfter {
			h.Others = append(h.Others, m.Entry)
		}
	}
	return h
}

// hear takes in what a peer says of itself, and the peers that it names.
func (p *Peers) hear(h Hello, now time.Time) {
	p.mu.Lock()
	m := p.meet(h.From)
	if m != nil {
		if now.Sub(m.heard) >= deadAfter || m.ready != h.Ready {
			p.log.Info("peer-heard", "peer", m.Name, "ready", h.Ready, "config_version", h.Version)
		}
		m.heard = now
		m.ready = h.Ready
	}
	for _, o := range h.Others {
		p.meet(o)
	}
	p.mu.Unlock()
	if m != nil && p.gateway.wants(h.Version) {
		go p.learn(m)
	}
}

// meet returns the member with an identity, new or known. The caller holds p.mu.
func (p *Peers) meet(i roster.Entry) *member {
	if i.Name == p.self.Name || i.PeerAddress == "" {
		return nil
	}
	m := p.members[i.Name]
	if m == nil || m.Incarnation != i.Incarnation && m.PeerAddress != i.PeerAddress {
		m = &member{Entry: i, client: peer.NewClient(i.PeerAddress, p.credentials)}
		p.members[i.Name] = m
		return m
	}
	m.Entry = i
	return m
}

// learn takes in what a peer knows, while the store does not tell.
func (p *Peers) learn(m *member) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	s, err := peer.Call[Snapshot](ctx, m.client, methodSnapshot, struct{}{})
	if err != nil {
		p.log.Debug("snapshot-failed", "peer", m.Name, "error", err.Error())
		return
	}
	p.gateway.learn(s, m.Name)
}

// run probes the peers until ctx ends.
func (p *Peers) run(ctx context.Context, s *platform.Store) {
	go p.announce(ctx, s)
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	p.probeSeeds(ctx)
	for {
		p.probe(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p.review(time.Now())
	}
}

// probe greets every member.
func (p *Peers) probe(ctx context.Context) {
	p.mu.Lock()
	members := make([]*member, 0, len(p.members))
	for _, m := range p.members {
		members = append(members, m)
	}
	p.mu.Unlock()
	h := p.hello()
	for _, m := range members {
		go p.greet(ctx, m.client, h)
	}
}

func (p *Peers) probeSeeds(ctx context.Context) {
	h := p.hello()
	for _, address := range p.seeds {
		if address != p.self.PeerAddress {
			go func() {
				c := peer.NewClient(address, p.credentials)
				p.greet(ctx, c, h)
				c.Close()
			}()
		}
	}
}

func (p *Peers) greet(ctx context.Context, c *peer.Client, h Hello) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answer, err := peer.Call[Hello](ctx, c, methodHello, h)
	if err != nil {
		// The connection may be silent for good; the next probe opens another.
		c.Close()
		p.log.Debug("probe-failed", "peer", c.Address(), "error", err.Error())
		return
	}
	p.hear(answer, time.Now())
}

// review works out who counts, and forgets who has been silent for long.
func (p *Peers) review(now time.Time) {
	p.mu.Lock()
	sharing := 1
	var alone = len(p.members) == 0
	for name, m := range p.members {
		switch silent := now.Sub(m.heard); {
		case m.heard.IsZero():
			// It was only named by others and never answered.
		case silent < shareAfter:
			sharing++
		case silent > forgetAfter:
			m.client.Close()
			delete(p.members, name)
		}
	}
	p.mu.Unlock()
	p.gateway.SetEntries(sharing)
	if alone {
		p.probeSeeds(context.Background())
	}
}

// announce writes this gateway's own object and meets those of the others.
func (p *Peers) announce(ctx context.Context, s *platform.Store) {
	written := false
	for ctx.Err() == nil {
		if !written {
			written = p.write(ctx, s)
		}
		p.meetListed(ctx, s)
		pause := meetInterval
		if !written {
			pause = probeInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		if written && p.known() {
			return
		}
	}
}

func (p *Peers) known() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.members) > 0
}

// write creates or replaces the own object.
func (p *Peers) write(ctx context.Context, s *platform.Store) bool {
	_, err := s.Create(ctx, roster.KindEntries, p.self.Name, p.self)
	if err != nil {
		_, err = s.Replace(ctx, roster.KindEntries, p.self.Name, 0, p.self)
	}
	if err != nil {
		p.log.Warn("announce-failed", "error", err.Error())
	}
	return err == nil
}

func (p *Peers) meetListed(ctx context.Context, s *platform.Store) {
	entries, unreadable, err := roster.List(ctx, s)
	if err != nil {
		p.log.Warn("peers-not-listed", "error", err.Error())
		return
	}
	if len(unreadable) > 0 {
		p.log.Warn("peers-unreadable", "objects", unreadable)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range entries {
		p.meet(e)
	}
}

// addresses returns the caller addresses of the gateways that serve.
func (p *Peers) addresses(region string) []string {
	var near, all []string
	add := func(i roster.Entry) {
		all = append(all, i.CallerAddress)
		if i.Region == region {
			near = append(near, i.CallerAddress)
		}
	}
	if p.gateway.Ready() {
		add(p.self)
	}
	now := time.Now()
	p.mu.Lock()
	for _, m := range p.members {
		if m.ready && now.Sub(m.heard) < deadAfter {
			add(m.Entry)
		}
	}
	p.mu.Unlock()
	if len(near) > 0 {
		return near
	}
	return all
}
