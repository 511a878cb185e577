package steward

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/placement"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/route"
)

const (
	// maxLoadsPerPlan limits the experts that one rank loads for one map: small plans take
	// effect sooner.
	maxLoadsPerPlan = 2
	// planHorizon is the period over which the gain of a better map is counted, because demand
	// shifts every few seconds.
	planHorizon = 2500 * time.Millisecond
	// expertPassShare is the share of a pass that the work of experts takes in a busy group.
	expertPassShare = 0.7
	// loadingSlowdown is the relative increase of the pass time while ranks load experts.
	loadingSlowdown = 0.15
	// switchStall is how long a switch of maps stalls the group.
	switchStall = 20 * time.Millisecond
	// copyCost is the cost of one copied expert, converted from the operator's price of copied
	// bytes to service time of the whole group.
	copyCost = 1400 * time.Microsecond
	// minGainToCost is the least ratio of a plan's gain to its cost.
	minGainToCost = 1.5
	// targetSkew is the skew of a layer below which further copies gain less than they cost.
	targetSkew = 1.1
	// unnoticedPassTime is the longest pass that callers do not notice: a third of the usual
	// longest pause between events.
	unnoticedPassTime = 40 * time.Millisecond
)

// startWorthwhilePlan plans a new map and starts the switch to it if the gain justifies the
// cost. It reports whether it did.
func (l *leader) startWorthwhilePlan(ranks []mapswitch.RankState, running int, now time.Time) bool {
	loads := l.loads.Recent(now)
	if loads == nil || l.currentVersion == mapswitch.None {
		return false
	}
	g := placement.EvenPlanner{Slots: l.engine.ExpertSlots, MaxNewPerLayer: l.engine.ReserveExperts, MaxNewPerPlan: maxLoadsPerPlan, GoalSkew: targetSkew, Slowdown: l.slowdowns}
	skew := g.Skew(l.currentMap, loads)
	pass := max(l.passTimer.mean(), expectedPassTime(l.engine, float64(running)/float64(l.rankCount), skew))
	l.steward.log.Debug("skew", "skew", skew, "pass_time", pass.Round(time.Millisecond), "running", running)
	if !isWorthwhile(placement.EvenPlan{SkewBefore: skew, SkewAfter: 1, MaxNewOnRank: 1, NewReplicas: 1}, l.engine.ExpertLoadTime, pass) {
		return false // Even a perfectly balanced map would not justify its cost.
	}
	p := g.Plan(l.currentMap, loads)
	if !isWorthwhile(p, l.engine.ExpertLoadTime, pass) {
		return false
	}
	l.steward.log.Info("map-planned", "version", mapswitch.VersionOf(l.fencingToken, l.versionsUsed+1), "skew", p.SkewBefore,
		"skew_after", p.SkewAfter, "loads", p.MaxNewOnRank, "copies", p.NewReplicas, "pass", ranks[0].Pass, "pass_time", pass.Round(time.Millisecond))
	l.targetLoadTime = time.Duration(p.MaxNewOnRank) * l.engine.ExpertLoadTime
	l.startSwitch(ranks[0].Epoch, p.Experts)
	l.targetSpeedup = requestWork(l.engine, p.SkewBefore) / requestWork(l.engine, p.SkewAfter)
	return true
}

// promptReadFactor is the factor by which a pass takes longer on average because it also reads
// prompts.
const promptReadFactor = 1.3

// expectedPassTime returns the expected duration of a pass, given the running requests per rank
// and the skew of experts.
func expectedPassTime(e *route.Engine, running, skew float64) time.Duration {
	step := float64(e.StepTime) + float64(e.StepPerRequest)*running*requestWork(e, skew)
	return time.Duration(promptReadFactor * float64(e.TokensPerPass) * step)
}

// requestWork returns how much longer a request makes a pass than with evenly loaded experts.
func requestWork(e *route.Engine, skew float64) float64 {
	return 1 - e.ExpertWorkShare + e.ExpertWorkShare*skew
}

// isWorthwhile reports whether the gain of a plan justifies its cost, given the duration of a
// pass.
func isWorthwhile(p placement.EvenPlan, loadTime, pass time.Duration) bool {
	if p.SkewBefore <= 0 || p.NewReplicas == 0 {
		return false
	}
	noticed := min(1, max(0, float64(pass-unnoticedPassTime)/float64(unnoticedPassTime)))
	saved := noticed * expertPassShare * (p.SkewBefore - p.SkewAfter) / p.SkewBefore * planHorizon.Seconds()
	cost := loadingSlowdown*float64(p.MaxNewOnRank)*loadTime.Seconds() + switchStall.Seconds() +
		float64(p.NewReplicas)*copyCost.Seconds()
	return saved > minGainToCost*cost
}
