package steward

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

const (
	// rankTimeout bounds a call of the own rank, which answers within milliseconds.
	rankTimeout = 60 * time.Millisecond
	// orderTimeout bounds an order to the own rank: one that is not answered by then is
	// given again, and the group may stand still meanwhile.
	orderTimeout = 20 * time.Millisecond
	// watchInterval is the time between two looks at leader and rank.
	watchInterval = 100 * time.Millisecond
	// orphanAfter is the silence of the leader after which a hold on the own rank is
	// completed without it: some rounds of a leader that switches.
	orphanAfter = 350 * time.Millisecond
	// leadAfter is the silence of the leader after which the first rank takes over, and
	// leadStagger what each further rank waits more, so that one of them does.
	leadAfter   = 600 * time.Millisecond
	leadStagger = 150 * time.Millisecond
)

// Steward serves one rank. It is safe for concurrent use.
type Steward struct {
	node        platform.Settings
	log         hclog.Logger
	metrics     metrics.Registry
	store       *platform.Store
	rank        *platform.Rank
	credentials peer.Credentials

	// listed returns the ranks' places in the network, from the list of upstreams.
	listed func(context.Context) ([]Member, error)

	mu sync.Mutex
	// group is that of the own rank when it was last read; the fence is the group's.
	group   string
	fence   fence
	members []Member
	clients map[string]*peer.Client
}

// New returns a steward of the rank beside it.
func New(n platform.Settings, s *platform.Store, c peer.Credentials, log hclog.Logger, m metrics.Registry) *Steward {
	return &Steward{
		node: n, log: log, metrics: m, store: s, credentials: c,
		rank: platform.NewRank(n.UpstreamAddress, rankTimeout), clients: map[string]*peer.Client{},
		listed: func(ctx context.Context) ([]Member, error) { return listMembers(ctx, s, n) },
		fence:  fence{heard: time.Now()},
	}
}

// register adds the methods that leaders call.
func (s *Steward) register(server *peer.Server) {
	peer.Handle(server, methodObserve, func(ctx context.Context, _ *jsonrpc2.Conn, r ObserveRequest) (Observation, error) {
		return s.observe(ctx, r)
	})
	peer.Handle(server, methodOrder, func(ctx context.Context, _ *jsonrpc2.Conn, r OrderRequest) (OrderResult, error) {
		return s.order(ctx, r), nil
	})
}

// observe reads the own rank for a leader.
func (s *Steward) observe(ctx context.Context, r ObserveRequest) (Observation, error) {
	group, err := s.ownGroup(ctx)
	if err != nil {
		return Observation{}, err
	}
	if r.Group != "" && r.Group != group {
		return Observation{Report: platform.RankReport{Group: group}}, nil
	}
	s.mu.Lock()
	if s.fence.hear(r.Fence, time.Now()) && len(r.Members) > 0 {
		s.members = r.Members
	}
	o := Observation{Fence: s.fence.newest}
	s.mu.Unlock()
	if r.Fence != 0 && r.Fence < o.Fence {
		// A former leader learns that there is a newer one and needs nothing else.
		return o, nil
	}
	if o.Report, err = s.report(ctx); err != nil {
		return o, err
	}
	if r.Lists {
		if o.HeldVersion, o.Held, err = s.rank.LoadedExperts(ctx); err != nil {
			return o, err
		}
	}
	if r.Counts {
		counts, err := s.rank.ExpertCounts(ctx)
		if err != nil {
			return o, err
		}
		o.Counts = packCounts(counts)
	}
	return o, nil
}

// report reads the own rank. One that has moved to another group has another fence.
func (s *Steward) report(ctx context.Context) (platform.RankReport, error) {
	report, err := s.rank.Report(ctx)
	if err != nil {
		return report, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.group != "" && s.group != report.Group {
		s.log.Warn("group-changed", "from", s.group, "to", report.Group)
		s.fence = fence{heard: time.Now()}
	}
	s.group = report.Group
	return report, nil
}

// ownGroup returns the group of the own rank as it was last read.
func (s *Steward) ownGroup(ctx context.Context) (string, error) {
	s.mu.Lock()
	group := s.group
	s.mu.Unlock()
	if group != "" {
		return group, nil
	}
	report, err := s.report(ctx)
	return report.Group, err
}

// order gives the own rank an order that the fence allows.
func (s *Steward) order(ctx context.Context, r OrderRequest) OrderResult {
	s.mu.Lock()
	allowed := s.fence.allows(r.Order.Op, r.Fence)
	result := OrderResult{Fence: s.fence.newest}
	s.mu.Unlock()
	if !allowed {
		result.Refused, result.Detail = true, "fence"
		s.log.Warn("order-fenced", "op", r.Order.Op.String(), "fence", r.Fence, "newest", result.Fence)
		return result
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := s.rank.Order(ctx, r.Order, r.Fence)
	result.Accepted = err == nil
	result.Refused = errors.Is(err, platform.ErrOrderRejected)
	if err != nil {
		result.Detail = err.Error()
		s.log.Info("order-not-taken", "op", r.Order.Op.String(), "version", r.Order.Version,
			"pass", r.Order.Pass, "fence", r.Fence, "error", err.Error())
	}
	return result
}

// run watches the leader and the own rank until ctx ends, and leads when nobody does.
func (s *Steward) run(ctx context.Context) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if s.fenceKnown() && s.silence() < orphanAfter {
			continue
		}
		report, err := s.report(ctx)
		if err != nil {
			s.log.Debug("rank-silent", "error", err.Error())
			continue
		}
		s.learnFence(ctx, report.Group)
		if s.silence() < orphanAfter {
			continue
		}
		if report.State.Held != mapswitch.None {
			s.completeHold(ctx, report)
		}
		if s.silence() > leadAfter+time.Duration(report.Index)*leadStagger {
			s.lead(ctx, report)
		}
	}
}

func (s *Steward) silence() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.fence.heard)
}

// fenceKnown reports whether the newest fencing number was read in this life of the process.
func (s *Steward) fenceKnown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fence.known
}

// learnFence reads the newest fencing number, once in each life of the process.
func (s *Steward) learnFence(ctx context.Context, group string) {
	if s.fenceKnown() {
		return
	}
	t, _, err := readTerm(ctx, s.store, group)
	if err != nil {
		s.log.Warn("fence-unknown", "error", err.Error())
		return
	}
	s.mu.Lock()
	s.fence.read(t.Fence, time.Now())
	s.mu.Unlock()
}

// client returns the client of another steward.
func (s *Steward) client(address string) *peer.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.clients[address]
	if c == nil {
		c = peer.NewClient(address, s.credentials)
		s.clients[address] = c
	}
	return c
}
