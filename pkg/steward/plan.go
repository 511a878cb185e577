package steward

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/placement"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/route"
)

const (
	// maxPlanLoadTime limits the time for which a rank loads experts for one map, as small plans take effect
	// sooner, and minLoadsPerPlan is the number of experts that it may load in any case.
	maxPlanLoadTime = 220 * time.Millisecond
	minLoadsPerPlan = 2
	// loadingSlowdown is the relative increase of the pass time while ranks load experts.
	loadingSlowdown = 0.15
	// switchStall is how long a switch of maps stalls the group.
	switchStall = 20 * time.Millisecond
	// targetSkew is the skew of a layer below which further copies gain less than they cost.
	targetSkew = 1.1
	// unnoticedGapShare is the share of the target pause between events up to which callers do not
	// notice the duration of a pass.
	unnoticedGapShare = 1.0 / 3
)

// workload is the state of a group against which a plan is weighed.
type workload struct {
	engine *route.Engine
	ranks  int
	// running is the number of running requests of the group, and pass the duration of a pass.
	running int
	pass    time.Duration
	// eventGap is the target pause between events of a stream.
	eventGap time.Duration
	// horizon is the period over which a better map gains: until demand shifts again.
	horizon time.Duration
}

// loadsPerPlan returns how many experts a rank may load for one map.
func loadsPerPlan(e *route.Engine) int {
	if e.ExpertLoadTime <= 0 {
		return minLoadsPerPlan
	}
	return max(minLoadsPerPlan, int(maxPlanLoadTime/e.ExpertLoadTime))
}

// startWorthwhilePlan plans a new map and starts the switch to it if the gain justifies the
// cost. It reports whether it did.
func (l *leader) startWorthwhilePlan(ranks []mapswitch.RankState, running int, now time.Time) bool {
	loads := l.loads.Recent(now)
	if loads == nil || l.currentVersion == mapswitch.None {
		return false
	}
	g := placement.EvenPlanner{Slots: l.engine.ExpertSlots, MaxNewPerLayer: l.engine.ReserveExperts, MaxNewPerPlan: loadsPerPlan(l.engine), GoalSkew: targetSkew, Slowdown: l.slowdowns}
	skew := g.Skew(l.currentMap, loads)
	pass := max(l.passTimer.mean(), expectedPassTime(l.engine, float64(running)/float64(l.rankCount), skew))
	work := workload{
		engine: l.engine, ranks: l.rankCount, running: running, pass: pass,
		eventGap: l.limits.limit.MaxPassTime, horizon: l.loads.ShiftInterval(now),
	}
	l.steward.log.Debug("skew", "skew", skew, "pass_time", pass.Round(time.Millisecond), "running", running)
	if !work.justifies(placement.EvenPlan{SkewBefore: skew, SkewAfter: 1, MaxNewOnRank: 1, NewReplicas: 1}) {
		return false // Even a perfectly balanced map would not justify its cost.
	}
	p := g.Plan(l.currentMap, loads)
	if !work.justifies(p) {
		return false
	}
	l.steward.log.Info("map-planned", "version", mapswitch.VersionOf(l.fencingToken, l.versionsUsed+1), "skew", p.SkewBefore,
		"skew_after", p.SkewAfter, "loads", p.MaxNewOnRank, "copies", p.NewReplicas, "pass", ranks[0].Pass,
		"pass_time", pass.Round(time.Millisecond), "horizon", work.horizon.Round(time.Millisecond))
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

// justifies reports whether the gain of a plan exceeds its cost. Both are times of the whole group: the
// gain is the part of the horizon that shorter passes save, as far as callers notice it; the cost is
// the time lost by slower passes during the load, the stall at the switch and each copy's share of the
// time of the ranks' links.
func (w workload) justifies(p placement.EvenPlan) bool {
	if p.SkewBefore <= 0 || p.NewReplicas == 0 {
		return false
	}
	perRank := float64(w.running) / float64(w.ranks)
	before, after := expectedPassTime(w.engine, perRank, p.SkewBefore), expectedPassTime(w.engine, perRank, p.SkewAfter)
	unnoticed := unnoticedGapShare * float64(w.eventGap)
	noticed := min(1, max(0, (float64(w.pass)-unnoticed)/unnoticed))
	saved := noticed * float64(before-after) / float64(before) * w.horizon.Seconds()
	load := w.engine.ExpertLoadTime.Seconds()
	cost := loadingSlowdown*float64(p.MaxNewOnRank)*load + switchStall.Seconds() + float64(p.NewReplicas)*load/float64(w.ranks)
	return saved > cost
}
