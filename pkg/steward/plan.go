package steward

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/placement"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/route"
)

const (
	// loadsPerPlan bounds the experts that one rank loads for one map: short rounds bring
	// the first relief soon.
	loadsPerPlan = 2
	// planHorizon is the time over which a better map counts: what is in demand was seen
	// to change every few seconds.
	planHorizon = 2500 * time.Millisecond
	// expertPart is the part of a pass that experts take in a busy group.
	expertPart = 0.7
	// loadSlowdown is the part by which passes take longer while ranks load experts.
	loadSlowdown = 0.15
	// switchCost is the time that the group stands still for a switch.
	switchCost = 20 * time.Millisecond
	// copyPrice is what the copy of one expert is worth, in time of the whole group's
	// service, by the price that operators put on the bytes.
	copyPrice = 1400 * time.Microsecond
	// planMargin is how often over a plan must pay for itself.
	planMargin = 1.5
	// skewGoal is the skew of a layer that is good enough: further copies gain less than
	// they cost.
	skewGoal = 1.1
	// easyPass is the time of a pass that nobody feels: a third of the usual longest pause
	// between events.
	easyPass = 40 * time.Millisecond
)

// plan starts a new map where that pays.
func (l *leader) plan(ranks []mapswitch.Rank, running int, now time.Time) bool {
	loads := l.loads.Recent(now)
	if loads == nil || l.heldVersion == mapswitch.None {
		return false
	}
	g := placement.EvenPlanner{Slots: l.engine.ExpertSlots, MaxNewPerLayer: l.engine.ReserveExperts, MaxNewPerPlan: loadsPerPlan, GoalSkew: skewGoal, Slowdown: l.paces}
	skew := g.Skew(l.held, loads)
	pass := max(l.passes.time(), expectedPass(l.engine, float64(running)/float64(l.size), skew))
	l.s.log.Debug("skew", "skew", skew, "pass_time", pass.Round(time.Millisecond), "running", running)
	if !worth(placement.EvenPlan{SkewBefore: skew, SkewAfter: 1, MaxNewOnRank: 1, NewReplicas: 1}, l.engine.ExpertLoadTime, pass) {
		return false // Even a perfect map would not pay.
	}
	p := g.Plan(l.held, loads)
	if !worth(p, l.engine.ExpertLoadTime, pass) {
		return false
	}
	l.s.log.Info("map-planned", "version", l.fence*versionsPerFence+l.versions+1, "skew", p.SkewBefore,
		"skew_after", p.SkewAfter, "loads", p.MaxNewOnRank, "copies", p.NewReplicas, "pass", ranks[0].Pass, "pass_time", pass.Round(time.Millisecond))
	l.loadTime = time.Duration(p.MaxNewOnRank) * l.engine.ExpertLoadTime
	l.start(ranks[0].Epoch, p.Experts)
	return true
}

// readingFactor is how much longer a pass takes for the prompts that are read in it.
const readingFactor = 1.3

// expectedPass returns the time of a pass with a number of running requests per rank, when
// experts are skewed.
func expectedPass(e *route.Engine, running, skew float64) time.Duration {
	step := float64(e.StepTime) + float64(e.StepPerRequest)*running*(1-e.ExpertWorkShare+e.ExpertWorkShare*skew)
	return time.Duration(readingFactor * float64(e.TokensPerPass) * step)
}

// worth reports whether a plan pays for itself, given the time of a pass.
func worth(p placement.EvenPlan, loadTime, pass time.Duration) bool {
	if p.SkewBefore <= 0 || p.NewReplicas == 0 {
		return false
	}
	felt := min(1, max(0, float64(pass-easyPass)/float64(easyPass)))
	saved := felt * expertPart * (p.SkewBefore - p.SkewAfter) / p.SkewBefore * planHorizon.Seconds()
	cost := loadSlowdown*float64(p.MaxNewOnRank)*loadTime.Seconds() + switchCost.Seconds() +
		float64(p.NewReplicas)*copyPrice.Seconds()
	return saved > planMargin*cost
}
