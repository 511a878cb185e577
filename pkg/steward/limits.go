package steward

import (
	"context"
	"sync"
	"time"

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
	// defaultEventGap is the target pause between events of services whose routes set none.
	defaultEventGap = 120 * time.Millisecond
	// minRunningPerRank is the number of running requests per rank that is always allowed.
	minRunningPerRank = 2
)

// limitPublisher divides the concurrency limit of a group among the entries and sends each its
// share.
type limitPublisher struct {
	steward       *Steward
	group         string
	fencingToken  int64
	entries       []roster.Entry
	limit         *sharing.Limit
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
	// demands has the last reported demand of each entry, and pendingCalls the entries with a
	// call in progress, both by entry name.
	demands      map[string]sharing.Demand
	pendingCalls map[string]bool
}

func newLimitPublisher(s *Steward, group string, fencingToken int64) *limitPublisher {
	return &limitPublisher{steward: s, group: group, fencingToken: fencingToken, demands: map[string]sharing.Demand{}, pendingCalls: map[string]bool{}}
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
	reporting := make([]roster.Entry, 0, len(p.entries))
	demands := make([]sharing.Demand, 0, len(p.entries))
	for _, e := range p.entries {
		d, ok := p.demands[e.Name]
		if !ok {
			// An entry gets a share only once it has reported its demand.
			p.sendLimit(ctx, e, -1)
			continue
		}
		reporting = append(reporting, e)
		demands = append(demands, d)
	}
	if len(reporting) == 0 {
		return
	}
	for i, share := range sharing.Divide(limit, demands) {
		p.sendLimit(ctx, reporting[i], share)
	}
	p.steward.log.Debug("bound", "bound", limit, "running", running, "pass_time", pass.Round(time.Millisecond), "entries", len(reporting))
}

// sendLimit sends an entry its share unless the previous call is still in progress. A share of
// -1 only requests the demand of the entry. An entry that does not respond is left out of the
// division until it does. The caller holds p.mu.
func (p *limitPublisher) sendLimit(ctx context.Context, e roster.Entry, share int) {
	if p.pendingCalls[e.Name] {
		return
	}
	p.pendingCalls[e.Name] = true
	limit := roster.Limit{Service: p.steward.settings.UpstreamService, Group: p.group, FencingToken: p.fencingToken, Share: share,
		PassMillis: float64(p.passTime) / float64(time.Millisecond), TokensPerPass: p.tokensPerPass,
		EmptyPassMillis: float64(p.limit.EmptyPassAt(highestSlowdown(p.slowdowns))) / float64(time.Millisecond),
		Loads:           p.loads, Slowdowns: p.slowdowns,
		Stalled: p.stall.Stalled, ResumesInMillis: float64(p.stall.ResumesIn) / float64(time.Millisecond),
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, limitTimeout)
		defer cancel()
		c := p.steward.client(e.PeerAddress)
		response, err := peer.Call[roster.LimitResponse](ctx, c, roster.MethodLimit, limit)
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.pendingCalls, e.Name)
		if err != nil {
			delete(p.demands, e.Name)
			c.Close()
			p.steward.log.Debug("limit-not-delivered", "entry", e.Name, "error", err.Error())
			return
		}
		p.demands[e.Name] = response.Demand
	}()
}

// highestSlowdown returns the highest slowdown of all ranks, at least 1.
func highestSlowdown(slowdowns map[string]float64) float64 {
	worst := 1.0
	for _, p := range slowdowns {
		worst = max(worst, p)
	}
	return worst
}
