package steward

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/fanout"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/roster"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/route"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/sharing"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standstill"
)

const (
	// limitInterval is the time between two updates of the limit: about two passes.
	limitInterval = 100 * time.Millisecond
	// limitTimeout limits the call to an entry.
	limitTimeout = 150 * time.Millisecond
	// firstLimitTimeout limits the calls of a new leader to many entries: connections have to be opened first.
	firstLimitTimeout = 2 * limitTimeout
	// defaultEventGap is the target pause between events of services whose routes set none.
	defaultEventGap = 120 * time.Millisecond
	// minRunningPerRank is the number of running requests per rank that is always allowed.
	minRunningPerRank = 2
)

// limitPublisher divides the concurrency limit of a group among the entries and sends each its
// share.
type limitPublisher struct {
	steward      *Steward
	group        string
	fencingToken int64
	entries      []roster.Entry
	limit        *sharing.Limit
	// startedAt is the time of the first update, and nextUpdate that of the next one.
	startedAt     time.Time
	nextUpdate    time.Time
	passTime      time.Duration
	tokensPerPass int
	// loads has the running and queued requests of each rank, and slowdowns the slowdown of slow
	// ranks, both by upstream address.
	loads        map[string]int
	slowdowns    map[string]float64
	stallTracker standstill.Tracker
	stall        standstill.State

	// mu guards entries and the fields below.
	mu sync.Mutex
	// demands has the last reported demand of each entry, by name.
	demands map[string]sharing.Demand
	// sending are the names of the entries to which a limit is being sent.
	sending map[string]bool
}

func newLimitPublisher(s *Steward, group string, fencingToken int64) *limitPublisher {
	return &limitPublisher{steward: s, group: group, fencingToken: fencingToken, demands: map[string]sharing.Demand{}, sending: map[string]bool{}}
}

// configure sets the engine description, the number of ranks and the target pause between
// events.
func (p *limitPublisher) configure(e *route.Engine, ranks int, gap time.Duration) {
	p.tokensPerPass = e.TokensPerPass
	p.stallTracker.FormTime = e.GroupFormTime
	p.limit = &sharing.Limit{
		MaxPassTime: gap, EmptyPassTime: time.Duration(e.TokensPerPass) * e.StepTime,
		Min: minRunningPerRank * ranks, Max: e.MaxBatch * ranks,
	}
}

// refreshEntries reads the list of entries from the store.
func (p *limitPublisher) refreshEntries(ctx context.Context) {
	entries, _, err := roster.List(ctx, p.steward.store)
	if err != nil {
		p.steward.log.Warn("entry-list-failed", "error", err.Error())
		return
	}
	// Entries of a zone stand together, so that a relay and its part are near each other.
	slices.SortFunc(entries, func(a, b roster.Entry) int { return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name)) })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = entries
}

// update recalculates the limit and sends the entries their shares, without waiting for
// responses.
func (p *limitPublisher) update(ctx context.Context, pass time.Duration, ranks []mapswitch.RankState, observations map[int]Observation, memberByRank map[int]Member, now time.Time) {
	if p.limit == nil {
		return
	}
	stall := p.stallTracker.Update(ranks, now)
	if stall.Stalled != p.stall.Stalled {
		p.limit.Reset()
		p.steward.log.Info("group-state", "still", stall.Stalled, "opens", stall.ResumesIn.Round(time.Millisecond), "seen", len(observations))
	} else if now.Before(p.nextUpdate) {
		return
	}
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	p.nextUpdate = now.Add(limitInterval)
	p.stall = stall
	p.passTime = pass
	running := runningRequests(observations)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads = make(map[string]int, len(observations))
	p.slowdowns = map[string]float64{}
	for i, o := range observations {
		p.loads[memberByRank[i].Upstream] = o.Report.Running + o.Report.Queued
		if o.Report.Slowdown >= minSlowdown {
			p.slowdowns[memberByRank[i].Upstream] = o.Report.Slowdown
		}
	}
	limit := p.limit.Update(pass, running, highestSlowdown(p.slowdowns))
	p.send(ctx, p.shares(limit))
	p.steward.log.Debug("bound", "bound", limit, "running", running, "pass_time", pass.Round(time.Millisecond), "entries", len(p.demands))
}

// shares divides a limit among the entries that have reported their demand. The share of the others is -1, which only
// requests that. The caller holds p.mu.
func (p *limitPublisher) shares(limit int) []roster.EntryShare {
	shares := make([]roster.EntryShare, len(p.entries))
	var reporting []int
	var demands []sharing.Demand
	for i, e := range p.entries {
		shares[i] = roster.EntryShare{Name: e.Name, PeerAddress: e.PeerAddress, Share: -1}
		if d, ok := p.demands[e.Name]; ok {
			reporting = append(reporting, i)
			demands = append(demands, d)
		}
	}
	if len(reporting) > 0 {
		for k, share := range sharing.Divide(limit, demands) {
			shares[reporting[k]].Share = share
		}
	}
	return shares
}

// send sends the entries their shares without waiting for responses. Up to fanout.MaxDirect of them are called each
// for itself, so that one that does not respond delays no other; more are called along a tree. The caller
// holds p.mu.
func (p *limitPublisher) send(ctx context.Context, shares []roster.EntryShare) {
	limit := roster.Limit{Service: p.steward.settings.UpstreamService, Group: p.group, FencingToken: p.fencingToken,
		PassMillis: float64(p.passTime) / float64(time.Millisecond), TokensPerPass: p.tokensPerPass,
		EmptyPassMillis: float64(p.limit.EmptyPassAt(highestSlowdown(p.slowdowns))) / float64(time.Millisecond),
		Loads:           p.loads, Slowdowns: p.slowdowns,
		Stalled: p.stall.Stalled, ResumesInMillis: float64(p.stall.ResumesIn) / float64(time.Millisecond),
	}
	if len(shares) > fanout.MaxDirect {
		p.sendTo(ctx, limit, shares)
		return
	}
	for i := range shares {
		p.sendTo(ctx, limit, shares[i:i+1])
	}
}

// sendTo sends some entries their shares unless that is still in progress for one of them. An entry that does not
// respond is left out of the division until it does. The caller holds p.mu.
func (p *limitPublisher) sendTo(ctx context.Context, limit roster.Limit, shares []roster.EntryShare) {
	for _, s := range shares {
		if p.sending[s.Name] {
			return
		}
	}
	for _, s := range shares {
		p.sending[s.Name] = true
	}
	timeout := limitTimeout
	if len(shares) > fanout.MaxDirect && time.Since(p.startedAt) < standstill.FirstContactTime {
		timeout = firstLimitTimeout
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		demands := roster.SendLimit(ctx, p.steward.entryTree, fanout.MaxDirect, limit, shares, p.steward.callEntry)
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, s := range shares {
			delete(p.sending, s.Name)
			delete(p.demands, s.Name)
		}
		maps.Copy(p.demands, demands)
	}()
}

// callEntry sends a limit to the entry at an address. After a failure it closes the connection, which may be
// broken for good.
func (s *Steward) callEntry(ctx context.Context, address string, l roster.Limit) (roster.LimitResponse, error) {
	c := s.client(address)
	response, err := peer.Call[roster.LimitResponse](ctx, c, roster.MethodLimit, l)
	if err != nil {
		c.Close()
		s.log.Debug("limit-not-delivered", "entry", address, "error", err.Error())
	}
	return response, err
}

// highestSlowdown returns the highest slowdown of all ranks, at least 1.
func highestSlowdown(slowdowns map[string]float64) float64 {
	worst := 1.0
	for _, p := range slowdowns {
		worst = max(worst, p)
	}
	return worst
}
