package steward

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/fanout"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/intake"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

const (
	// ownRankTimeout limits a call to the own rank, which responds within milliseconds.
	ownRankTimeout = 60 * time.Millisecond
	// orderTimeout limits an order to the own rank. An order without a response by then is sent
	// again, and the group may be stalled meanwhile.
	orderTimeout = 20 * time.Millisecond
	// watchInterval is the time between two checks of the leader and the own rank.
	watchInterval = 100 * time.Millisecond
	// orphanedHoldAfter is the time without a call of a leader after which a hold on the own
	// rank is completed or abandoned without one. A leader that switches maps polls within it even
	// while other ranks do not respond.
	orphanedHoldAfter = observeTimeout + directTimeout + 2*orderTimeout
	// leaderTimeout is the time without a call of a leader after which the first rank takes
	// over. Each further rank waits leaderTimeoutPerRank longer, so that only one does.
	leaderTimeout        = 600 * time.Millisecond
	leaderTimeoutPerRank = 150 * time.Millisecond
	// fenceRetryDelay is the mean time between two reads of the fencing token while the store does not respond: all
	// stewards may have started together.
	fenceRetryDelay = 300 * time.Millisecond
)

// ownRank is the rank beside a steward.
type ownRank interface {
	Report(ctx context.Context) (platform.RankReport, error)
	ExpertCounts(ctx context.Context) ([]int64, error)
	LoadedExperts(ctx context.Context) (int64, [][]int, error)
	Order(ctx context.Context, o mapswitch.Order, fencingToken int64) error
}

// Steward serves one rank. It is safe for concurrent use.
type Steward struct {
	settings    platform.Settings
	log         hclog.Logger
	metrics     metrics.Registry
	store       *platform.Store
	rank        ownRank
	credentials peer.Credentials

	// fetchMembers returns the network locations of the ranks, from the list of upstreams.
	fetchMembers func(context.Context) ([]Member, error)

	mu sync.Mutex
	// group is the group of the own rank when it was last read; fence is valid for that group.
	group   string
	fence   fenceState
	members []Member
	// clients are the clients of other processes by address, maxClients at most.
	clients    map[string]*peer.Client
	maxClients int
	// nextFenceRead is when the store is next asked for the fencing token after it has failed; only run uses it.
	nextFenceRead time.Time
	// prepared is the map that the own rank was last ordered to prepare.
	prepared mapswitch.Target
	// choices derives the choices of experts since the last observation.
	choices choiceTracker
	// membersDigest identifies the list of members that a leader sent.
	membersDigest uint64
	// tree knows stewards by the addresses of their ranks.
	tree      *fanout.Caller
	entryTree *fanout.Caller
	transport transport
}

// New returns the steward of the rank at the upstream address of the settings.
func New(settings platform.Settings, s *platform.Store, c peer.Credentials, log hclog.Logger, m metrics.Registry) *Steward {
	steward := &Steward{
		settings: settings, log: log, metrics: m, store: s, credentials: c,
		rank: platform.NewRank(settings.UpstreamAddress, ownRankTimeout), clients: map[string]*peer.Client{},
		maxClients:   intake.NewStewardPlan(settings.Resources).PeerConnections,
		fetchMembers: func(ctx context.Context) ([]Member, error) { return listMembers(ctx, s, settings) },
		fence:        fenceState{lastContact: time.Now()}, tree: fanout.NewCaller(settings.UpstreamAddress, log), entryTree: fanout.NewCaller("", log),
	}
	steward.transport = rpcTransport{steward}
	return steward
}

// register adds the RPC methods that leaders call.
func (s *Steward) register(server *peer.Server) {
	peer.Handle(server, methodObserve, func(ctx context.Context, _ *jsonrpc2.Conn, r ObserveRequest) (Observation, error) {
		return s.observe(ctx, r)
	})
	peer.Handle(server, methodRelayObserve, func(ctx context.Context, _ *jsonrpc2.Conn, r RelayedObserveRequest) (RelayedObservations, error) {
		return s.relayObserve(ctx, r), nil
	})
	peer.Handle(server, methodRelayOrders, func(ctx context.Context, _ *jsonrpc2.Conn, r RelayedOrderRequest) ([]*OrderResult, error) {
		return s.relayOrders(ctx, r), nil
	})
	peer.Handle(server, methodOrder, func(ctx context.Context, _ *jsonrpc2.Conn, r OrderRequest) (OrderResult, error) {
		return s.applyOrder(ctx, r), nil
	})
}

// observe reads the own rank for a leader. A leader with an outdated fencing token gets only the
// newest one.
func (s *Steward) observe(ctx context.Context, r ObserveRequest) (Observation, error) {
	group, err := s.ownGroup(ctx)
	if err != nil {
		return Observation{}, err
	}
	if r.Group != "" && r.Group != group {
		return Observation{Report: platform.RankReport{Group: group}}, nil
	}
	s.mu.Lock()
	if s.fence.recordContact(r.FencingToken, time.Now()) && len(r.Members) > 0 {
		s.members, s.membersDigest = unpackMembers(r.Members), r.MembersDigest
	}
	o := Observation{NewestFencingToken: s.fence.newestFencingToken, NeedsMembers: r.MembersDigest != s.membersDigest}
	s.mu.Unlock()
	if r.FencingToken != 0 && r.FencingToken < o.NewestFencingToken {
		// A former leader needs only the newest fencing token, which shows that it was replaced.
		return o, nil
	}
	if o.Report, err = s.readOwnRank(ctx); err != nil {
		return o, err
	}
	if r.IncludeExperts {
		if o.MapVersion, o.LoadedExperts, err = s.rank.LoadedExperts(ctx); err != nil {
			return o, err
		}
	}
	if r.IncludeChoices {
		counts, err := s.rank.ExpertCounts(ctx)
		if err != nil {
			return o, err
		}
		s.mu.Lock()
		o.Choices = packInts(s.choices.since(r.FencingToken, o.Report.StartedAtMillis, counts)...)
		s.mu.Unlock()
	}
	return o, nil
}

// readOwnRank reads the own rank. When the rank has moved to another group, the fence is reset,
// because the fencing tokens of different groups are not comparable.
func (s *Steward) readOwnRank(ctx context.Context) (platform.RankReport, error) {
	report, err := s.rank.Report(ctx)
	if err != nil {
		return report, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.group != "" && s.group != report.Group {
		s.log.Warn("group-changed", "from", s.group, "to", report.Group)
		s.fence = fenceState{lastContact: time.Now()}
	}
	s.group = report.Group
	return report, nil
}

// ownGroup returns the group of the own rank as it was last read. It reads the rank if that was
// not done yet.
func (s *Steward) ownGroup(ctx context.Context) (string, error) {
	s.mu.Lock()
	group := s.group
	s.mu.Unlock()
	if group != "" {
		return group, nil
	}
	report, err := s.readOwnRank(ctx)
	return report.Group, err
}

// applyOrder forwards an order to the own rank if the fence allows it.
func (s *Steward) applyOrder(ctx context.Context, r OrderRequest) OrderResult {
	s.mu.Lock()
	allowed := s.fence.allows(r.Order, r.FencingToken)
	result := OrderResult{NewestFencingToken: s.fence.newestFencingToken}
	s.mu.Unlock()
	if !allowed {
		result.Refused, result.Detail = true, "fence"
		s.log.Warn("order-rejected", "op", r.Order.Op.String(), "fence", r.FencingToken, "newest", result.NewestFencingToken)
		return result
	}
	if r.CheckOnly {
		result.Accepted = true
		return result
	}
	m, err := unpackMap(r.Map)
	if err != nil {
		result.Refused, result.Detail = true, err.Error()
		s.log.Warn("order-malformed", "op", r.Order.Op.String(), "version", r.Order.Version, "error", err.Error())
		return result
	}
	if r.Order.Op == mapswitch.Prepare && m != nil {
		r.Order.Map = m
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err = s.rank.Order(ctx, r.Order, r.FencingToken)
	result.Accepted = err == nil
	if r.Order.Op == mapswitch.Prepare && result.Accepted {
		s.mu.Lock()
		s.prepared = mapswitch.Target{Version: r.Order.Version, Map: r.Order.Map, Epoch: r.Order.Epoch}
		s.mu.Unlock()
	}
	result.Refused = errors.Is(err, platform.ErrOrderRejected)
	if err != nil {
		result.Detail = err.Error()
		s.log.Info("order-not-accepted", "op", r.Order.Op.String(), "version", r.Order.Version,
			"pass", r.Order.Pass, "fence", r.FencingToken, "error", err.Error())
	}
	return result
}

// run watches the leader and the own rank until ctx ends, and becomes the leader when there is
// none.
func (s *Steward) run(ctx context.Context) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if s.isFenceLoaded() && s.sinceLeaderContact() < orphanedHoldAfter {
			continue
		}
		report, err := s.readOwnRank(ctx)
		if err != nil {
			s.log.Debug("own-rank-unreachable", "error", err.Error())
			continue
		}
		s.loadFence(ctx, report.Group)
		if s.sinceLeaderContact() < orphanedHoldAfter {
			continue
		}
		if report.State.HeldPass != mapswitch.None {
			s.endHold(ctx, report)
		}
		// Without the newest fencing token from the store, the next one cannot be had there either.
		if s.isFenceLoaded() && s.sinceLeaderContact() > leaderTimeout+time.Duration(report.Index)*leaderTimeoutPerRank {
			s.lead(ctx, report)
		}
	}
}

// sinceLeaderContact returns the time since the last call of a leader with the newest fencing
// token.
func (s *Steward) sinceLeaderContact() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.fence.lastContact)
}

// isFenceLoaded reports whether the newest fencing token was read from the store since the
// process started or its rank changed groups.
func (s *Steward) isFenceLoaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fence.loaded
}

// loadFence reads the newest fencing token from the store unless that was done already.
func (s *Steward) loadFence(ctx context.Context, group string) {
	if s.isFenceLoaded() || time.Now().Before(s.nextFenceRead) {
		return
	}
	t, _, err := readTerm(ctx, s.store, group)
	if err != nil {
		s.log.Warn("fence-unknown", "error", err.Error())
		s.nextFenceRead = time.Now().Add(fenceRetryDelay/2 + rand.N(fenceRetryDelay))
		return
	}
	s.mu.Lock()
	s.fence.recordStored(t.FencingToken, time.Now())
	s.mu.Unlock()
}

// makeRoomForClient closes a client if there are as many as there may be connections to peers. The caller holds s.mu.
func (s *Steward) makeRoomForClient() {
	if len(s.clients) < s.maxClients {
		return
	}
	for address, c := range s.clients {
		c.Close()
		delete(s.clients, address)
		return
	}
}

// client returns the RPC client for the steward or entry at an address.
func (s *Steward) client(address string) *peer.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.clients[address]
	if c == nil {
		s.makeRoomForClient()
		c = peer.NewClient(address, s.credentials)
		s.clients[address] = c
	}
	return c
}
