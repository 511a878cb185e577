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

// planState is the planner of an owner, for the ranks that live.
type planState struct {
	planner *placement.Planner
	liveRanks  []int
	// shortageRecorded is set when the living ranks cannot hold the experts; it was reported.
	shortageRecorded bool
}

// plan asks the leading rank for loads and wishes a better map.
func (g *group) plan(ctx context.Context) {
	living := g.refreshLiveRanks(ctx)
	if len(living) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	loads, err := peer.Call[rankgroup.Loads](ctx, g.rankClients[living[0]], rankgroup.MethodLoads, rankgroup.LoadsRequest{})
	if err != nil || len(loads.Layers) == 0 {
		return
	}
	if wanted := g.observeLoads(living, loads.Layers); wanted > 0 {
		g.applyPlan(g.claimLoads(ctx, wanted))
	}
}

// observeLoads takes in loads and wishes a map with new shares. It returns the number of
// replicas that the group would load for a better one.
func (g *group) observeLoads(living []int, loads [][]float64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.owner == nil || g.owner.Record().Fence != g.owner.Fence() {
		// The record is not known yet.
		return 0
	}
	if g.planning.planner == nil || !slices.Equal(living, g.planning.liveRanks) {
		g.restartPlanner(living, loads)
		return 0
	}
	p := g.planning.planner
	p.Observe(loads)
	g.metrics.skew.Update(p.Skew())
	if !g.owner.Idle() {
		return 0
	}
	moves := len(p.Plan().Moves)
	if moves == 0 {
		g.setDesiredMap()
	}
	return moves
}

// claimLoads asks for a part of the weight store's rate and returns the number of replicas
// that may be loaded now.
func (g *group) claimLoads(ctx context.Context, wanted int) int {
	if g.weightBudget == nil {
		return wanted
	}
	size := g.settings.WeightStore.ExpertBytes
	given, err := g.weightBudget.Claim(ctx, time.Now(), int64(wanted)*size)
	if err != nil {
		// The moves wait for the next plan.
		given = 0
	}
	n := int(given / size)
	g.metrics.delayedLoads.Inc(int64(wanted - n))
	return n
}

// applyPlan plans again within a number of replicas and wishes the outcome.
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

// refreshLiveRanks asks the ranks that were not heard of for a while, and returns those that
// answer. The owner is told who is lost.
func (g *group) refreshLiveRanks(ctx context.Context) []int {
	now := time.Now()
	for i, c := range g.rankClients {
		if now.Sub(g.lastResponseTime(i)) > g.settings.Lost()/2 {
			g.calls.Go(func() { g.probeRank(ctx, i, c) })
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []int
	for i, heard := range g.lastResponse {
		lost := now.Sub(heard) > g.settings.Lost()
		if g.owner != nil {
			g.owner.Dead(i, lost)
		}
		if !lost {
			out = append(out, i)
		}
	}
	return out
}

func (g *group) lastResponseTime(rank int) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastResponse[rank]
}

// probeRank asks a rank for a sign of life.
func (g *group) probeRank(ctx context.Context, rank int, c *peer.Client) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if _, err := peer.Call[rankgroup.Loads](ctx, c, rankgroup.MethodLoads, rankgroup.LoadsRequest{}); err != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastResponse[rank] = time.Now()
}

// restartPlanner makes a planner for the living ranks, from the decided map when it fits.
// Group.mu is held.
func (g *group) restartPlanner(living []int, loads [][]float64) {
	o := placement.DefaultOptions()
	o.Ranks = len(living)
	experts := len(loads[0])
	o.Slots = (experts+len(g.rankClients)-1)/len(g.rankClients) + g.groupSettings.SpareSlots
	if o.Slots*o.Ranks < experts {
		if g.planning.shortageRecorded {
			return
		}
		g.planning.shortageRecorded = true
		g.events.Record(event.Event{Kind: event.GroupShort, Detail: fmt.Sprintf("%s: %d of %d ranks cannot hold the experts", g.groupSettings.Name, len(living), len(g.rankClients))})
		return
	}
	if len(living) < len(g.rankClients) {
		g.events.Record(event.Event{Kind: event.RankLost, Detail: fmt.Sprintf("%s: %d of %d ranks left", g.groupSettings.Name, len(living), len(g.rankClients))})
	}
	g.planning.liveRanks = living
	g.planning.shortageRecorded = false
	d := g.owner.Record().Decided
	if d != nil && slices.Equal(d.Ranks, living) {
		if p, ok := placement.RestorePlanner(o, d, loads); ok {
			g.planning.planner = p
			return
		}
	}
	g.planning.planner = placement.NewPlanner(o, loads)
	g.setDesiredMap()
}

func (g *group) setDesiredMap() {
	m := g.planning.planner.Map(g.planning.liveRanks)
	g.owner.Wish(expertmap.Wish(&m))
}
