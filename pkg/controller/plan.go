package controller

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/expertmap"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/placement"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/rankgroup"
)

// planState holds the planner of an owner and the live ranks that it plans for.
type planState struct {
	// planner is nil until loads have been received.
	planner *placement.Planner
	// liveRanks are the rank indices that the planner plans for, in ascending order.
	liveRanks []int
	// shortageRecorded is set when the event was recorded that the live ranks have too few
	// slots for the experts.
	shortageRecorded bool
}

// plan requests the loads from the first live rank and sets a better desired map, if there is one.
func (g *group) plan(ctx context.Context) {
	live := g.refreshLiveRanks(ctx)
	if len(live) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	loads, err := peer.Call[rankgroup.ExpertLoads](ctx, g.rankClients[live[0]], rankgroup.MethodLoads, rankgroup.LoadsRequest{})
	if err != nil || len(loads.Layers) == 0 {
		return
	}
	if replicas := g.observeLoads(live, loads.Layers); replicas > 0 {
		g.applyPlan(g.claimLoads(ctx, replicas))
	}
}

// observeLoads passes loads to the planner. It returns the number of replicas that the group
// would load for a better map. If no replica needs to be loaded, it sets a desired map with new
// token shares.
func (g *group) observeLoads(live []int, loads [][]float64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.owner == nil || g.owner.Record().FencingToken != g.owner.FencingToken() {
		// The record has not been read yet, or this owner has not claimed it.
		return 0
	}
	if g.planning.planner == nil || !slices.Equal(live, g.planning.liveRanks) {
		g.restartPlanner(live, loads)
		return 0
	}
	p := g.planning.planner
	p.Observe(loads)
	g.metrics.skew.Update(p.Skew())
	if !g.owner.HasConverged() {
		return 0
	}
	moves := len(p.Plan().Moves)
	if moves == 0 {
		g.setDesiredMap()
	}
	return moves
}

// claimLoads claims a part of the weight store's rate and returns the number of replicas that
// may be loaded now.
func (g *group) claimLoads(ctx context.Context, replicas int) int {
	if g.weightBudget == nil {
		return replicas
	}
	size := g.settings.WeightStore.ExpertBytes
	granted, err := g.weightBudget.Claim(ctx, time.Now(), int64(replicas)*size)
	if err != nil {
		// The moves are planned again in the next interval.
		granted = 0
	}
	n := int(granted / size)
	g.metrics.delayedLoads.Inc(int64(replicas - n))
	return n
}

// applyPlan plans again with at most limit replicas to load, and sets the desired map.
func (g *group) applyPlan(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.owner == nil || g.planning.planner == nil {
		return
	}
	p := g.planning.planner
	plan := p.PlanWithin(limit)
	g.metrics.replicaLoads.Inc(int64(len(plan.Moves)))
	p.Commit(plan)
	g.setDesiredMap()
}

// refreshLiveRanks returns the ranks that responded within the lost time of the settings and
// reports the others to the owner as dead. Ranks without a response for half of that time are
// probed; the result of a probe counts at the next call.
func (g *group) refreshLiveRanks(ctx context.Context) []int {
	now := time.Now()
	for i, c := range g.rankClients {
		if now.Sub(g.lastResponseTime(i)) > g.settings.LostAfter()/2 {
			g.calls.Go(func() { g.probeRank(ctx, i, c) })
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []int
	for i, last := range g.lastResponse {
		lost := now.Sub(last) > g.settings.LostAfter()
		if g.owner != nil {
			g.owner.SetRankDead(i, lost)
		}
		if !lost {
			out = append(out, i)
		}
	}
	return out
}

// lastResponseTime returns the time of the last response of a rank.
func (g *group) lastResponseTime(rank int) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastResponse[rank]
}

// probeRank calls a rank, and records the time if it responds.
func (g *group) probeRank(ctx context.Context, rank int, c *peer.Client) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if _, err := peer.Call[rankgroup.ExpertLoads](ctx, c, rankgroup.MethodLoads, rankgroup.LoadsRequest{}); err != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastResponse[rank] = time.Now()
}

// restartPlanner creates a planner for the live ranks. It restores it from the decided map if
// that map is for the same ranks. It records an event when the live ranks have too few slots for
// the experts, or when ranks were lost. The caller must hold g.mu.
func (g *group) restartPlanner(live []int, loads [][]float64) {
	o := placement.DefaultOptions()
	o.Ranks = len(live)
	experts := len(loads[0])
	o.Slots = (experts+len(g.rankClients)-1)/len(g.rankClients) + g.groupSettings.SpareSlots
	if o.Slots*o.Ranks < experts {
		if g.planning.shortageRecorded {
			return
		}
		g.planning.shortageRecorded = true
		g.events.Record(event.Event{Kind: event.GroupShort, Detail: fmt.Sprintf("%s: %d of %d ranks cannot hold the experts", g.groupSettings.Name, len(live), len(g.rankClients))})
		return
	}
	if len(live) < len(g.rankClients) {
		g.events.Record(event.Event{Kind: event.RankLost, Detail: fmt.Sprintf("%s: %d of %d ranks left", g.groupSettings.Name, len(live), len(g.rankClients))})
	}
	g.planning.liveRanks = live
	g.planning.shortageRecorded = false
	d := g.owner.Record().Decided
	if d != nil && slices.Equal(d.Ranks, live) {
		if p, ok := placement.RestorePlanner(o, d, loads); ok {
			g.planning.planner = p
			return
		}
	}
	g.planning.planner = placement.NewPlanner(o, loads)
	g.setDesiredMap()
}

// setDesiredMap sets the map of the planner as the desired one. The caller must hold g.mu.
func (g *group) setDesiredMap() {
	m := g.planning.planner.Map(g.planning.liveRanks)
	g.owner.SetDesiredMap(expertmap.DesiredMap(&m))
}
