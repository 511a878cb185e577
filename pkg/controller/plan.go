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
	living  []int
	// short is set when the living ranks cannot hold the experts; it was reported.
	short bool
}

// plan asks the leading rank for loads and wishes a better map.
func (g *group) plan(ctx context.Context) {
	living := g.living(ctx)
	if len(living) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	loads, err := peer.Call[rankgroup.Loads](ctx, g.ranks[living[0]], rankgroup.MethodLoads, rankgroup.LoadsRequest{})
	if err != nil || len(loads.Layers) == 0 {
		return
	}
	if wanted := g.observe(living, loads.Layers); wanted > 0 {
		g.move(g.claim(ctx, wanted))
	}
}

// observe takes in loads and wishes a map with new shares. It returns the number of
// replicas that the group would load for a better one.
func (g *group) observe(living []int, loads [][]float64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.owner == nil || g.owner.Record().Fence != g.owner.Fence() {
		// The record is not known yet.
		return 0
	}
	if g.plans.planner == nil || !slices.Equal(living, g.plans.living) {
		g.restart(living, loads)
		return 0
	}
	p := g.plans.planner
	p.Observe(loads)
	g.meters.skew.Update(p.Skew())
	if !g.owner.Idle() {
		return 0
	}
	moves := len(p.Plan().Moves)
	if moves == 0 {
		g.wish()
	}
	return moves
}

// claim asks for a part of the weight store's rate and returns the number of replicas
// that may be loaded now.
func (g *group) claim(ctx context.Context, wanted int) int {
	if g.share == nil {
		return wanted
	}
	size := g.settings.WeightStore.ExpertBytes
	given, err := g.share.Claim(ctx, time.Now(), int64(wanted)*size)
	if err != nil {
		// The moves wait for the next plan.
		given = 0
	}
	n := int(given / size)
	g.meters.delayed.Inc(int64(wanted - n))
	return n
}

// move plans again within a number of replicas and wishes the outcome.
func (g *group) move(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.owner == nil || g.plans.planner == nil {
		return
	}
	p := g.plans.planner
	plan := p.PlanWithin(limit)
	g.meters.loads.Inc(int64(len(plan.Moves)))
	p.Commit(plan)
	g.wish()
}

// living asks the ranks that were not heard of for a while, and returns those that
// answer. The owner is told who is lost.
func (g *group) living(ctx context.Context) []int {
	now := time.Now()
	for i, c := range g.ranks {
		if now.Sub(g.lastHeard(i)) > g.settings.Lost()/2 {
			g.calls.Go(func() { g.probe(ctx, i, c) })
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []int
	for i, heard := range g.heard {
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

func (g *group) lastHeard(rank int) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.heard[rank]
}

// probe asks a rank for a sign of life.
func (g *group) probe(ctx context.Context, rank int, c *peer.Client) {
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	if _, err := peer.Call[rankgroup.Loads](ctx, c, rankgroup.MethodLoads, rankgroup.LoadsRequest{}); err != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heard[rank] = time.Now()
}

// restart makes a planner for the living ranks, from the decided map when it fits.
// Group.mu is held.
func (g *group) restart(living []int, loads [][]float64) {
	o := placement.DefaultOptions()
	o.Ranks = len(living)
	experts := len(loads[0])
	o.Slots = (experts+len(g.ranks)-1)/len(g.ranks) + g.group.SpareSlots
	if o.Slots*o.Ranks < experts {
		if g.plans.short {
			return
		}
		g.plans.short = true
		g.events.Record(event.Event{Kind: event.GroupShort, Detail: fmt.Sprintf("%s: %d of %d ranks cannot hold the experts", g.group.Name, len(living), len(g.ranks))})
		return
	}
	if len(living) < len(g.ranks) {
		g.events.Record(event.Event{Kind: event.RankLost, Detail: fmt.Sprintf("%s: %d of %d ranks left", g.group.Name, len(living), len(g.ranks))})
	}
	g.plans.living = living
	g.plans.short = false
	d := g.owner.Record().Decided
	if d != nil && slices.Equal(d.Ranks, living) {
		if p, ok := placement.RestorePlanner(o, d, loads); ok {
			g.plans.planner = p
			return
		}
	}
	g.plans.planner = placement.NewPlanner(o, loads)
	g.wish()
}

func (g *group) wish() {
	m := g.plans.planner.Map(g.plans.living)
	g.owner.Wish(expertmap.Wish(&m))
}
