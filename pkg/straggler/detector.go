package straggler

import (
	"slices"
	"time"
)

// Sample is what a rank did in one interval.
type Sample struct {
	// Answered is not set when the rank did not tell anything; the rest is then ignored.
	Answered bool
	// Load is in any unit that is the same for all ranks.
	Load float64
	Busy time.Duration
}

// State is the state of a rank.
type State int

// States of a rank.
const (
	Healthy State = iota
	// Overloaded means much load at an ordinary pace.
	Overloaded
	// Slow means a slow pace.
	Slow
	// Stalled means that the rank did not answer for some intervals.
	Stalled
)

// Verdict is the state of one rank.
type Verdict struct {
	State State
	// Slowness is the pace of the rank over the median pace; 1 when nothing is known.
	Slowness float64
	// Replace is set when the rank is to be replaced.
	Replace bool
}

const (
	// slowThreshold and slowUntil are the slowness at which a rank becomes slow, and below
	// which it may become healthy again.
	slowThreshold    = 1.15
	healthyThreshold = 1.05
	// slowConfirmIntervals and confirmHealthy are the intervals in a row that it takes.
	slowConfirmIntervals    = 3
	healthyConfirmIntervals = 12
	// overloadThreshold is the load over the mean from which a rank is overloaded.
	overloadThreshold = 1.1
	// replaceThreshold is the slowness that calls for a replacement when it lasts for
	// replaceAfter intervals.
	replaceThreshold      = 1.5
	replaceAfterIntervals = 30
	// maxSlowEpisodes is the number of times that a rank may become slow.
	maxSlowEpisodes = 4
	// stalledAfterIntervals and lostAfter are the intervals without an answer after which a rank
	// is stalled, and after which it is to be replaced.
	stalledAfterIntervals = 2
	lostAfterIntervals    = 6
)

// rankState is what is known of one rankState.
type rankState struct {
	slow     bool
	slowdown float64
	// slowIntervals and healthyIntervals count the intervals in a row beyond slowFrom and healthyIntervals slowUntil.
	slowIntervals, healthyIntervals int
	// severeIntervals counts the intervals in a row beyond replaceFrom.
	severeIntervals int
	slowEpisodes    int
	silentIntervals int
}

// Detector holds the ranks of one group. It is not safe for concurrent use.
type Detector struct {
	ranks []rankState
}

// New returns a detector for a number of ranks.
func New(ranks int) *Detector {
	d := &Detector{ranks: make([]rankState, ranks)}
	for i := range d.ranks {
		d.ranks[i].slowdown = 1
	}
	return d
}

// Replaced forgets what is known of a rank.
func (d *Detector) Replaced(index int) { d.ranks[index] = rankState{slowdown: 1} }

// Observe takes in the samples of one interval, by rank, and returns the verdicts.
func (d *Detector) Observe(samples []Sample) []Verdict {
	median := medianTimePerLoad(samples)
	mean := meanLoad(samples)
	out := make([]Verdict, len(samples))
	for i, s := range samples {
		d.ranks[i].observe(s, median)
		out[i] = d.ranks[i].verdict(s, mean)
	}
	keepOneReplacement(out)
	return out
}

func (r *rankState) observe(s Sample, median float64) {
	if !s.Answered {
		r.silentIntervals++
		return
	}
	r.silentIntervals = 0
	if s.Load <= 0 || median <= 0 {
		return
	}
	r.slowdown = float64(s.Busy) / s.Load / median
	r.slowIntervals = countConsecutive(r.slowIntervals, r.slowdown >= slowThreshold)
	r.healthyIntervals = countConsecutive(r.healthyIntervals, r.slowdown < healthyThreshold)
	r.severeIntervals = countConsecutive(r.severeIntervals, r.slowdown >= replaceThreshold)
	switch {
	case !r.slow && r.slowIntervals >= slowConfirmIntervals:
		r.slow = true
		r.slowEpisodes++
	case r.slow && r.healthyIntervals >= healthyConfirmIntervals:
		r.slow = false
	}
}

func (r *rankState) verdict(s Sample, mean float64) Verdict {
	v := Verdict{Slowness: r.slowdown}
	switch {
	case r.silentIntervals >= stalledAfterIntervals:
		v.State = Stalled
		v.Replace = r.silentIntervals >= lostAfterIntervals
	case r.slow:
		v.State = Slow
		v.Replace = r.severeIntervals >= replaceAfterIntervals || r.slowEpisodes >= maxSlowEpisodes
	case s.Load > overloadThreshold*mean:
		v.State = Overloaded
	}
	return v
}

// keepOneReplacement leaves one replacement: a stalled rank first, then the slowest.
func keepOneReplacement(verdicts []Verdict) {
	worst := -1
	for i, v := range verdicts {
		if !v.Replace {
			continue
		}
		if worst < 0 || v.isWorseThan(verdicts[worst]) {
			worst = i
		}
	}
	for i := range verdicts {
		verdicts[i].Replace = i == worst
	}
}

func (v Verdict) isWorseThan(o Verdict) bool {
	if v.State != o.State {
		return v.State > o.State
	}
	return v.Slowness > o.Slowness
}

// Handicaps returns, by rank, the part of an equal load that is to be taken off it:
// nothing but for slow ranks, whose load is to fall with their pace.
func Handicaps(verdicts []Verdict) []float64 {
	out := make([]float64, len(verdicts))
	for i, v := range verdicts {
		if v.State == Slow && v.Slowness > 1 {
			out[i] = 1 - 1/v.Slowness
		}
	}
	return out
}

func countConsecutive(n int, more bool) int {
	if more {
		return n + 1
	}
	return 0
}

func medianTimePerLoad(samples []Sample) float64 {
	var paces []float64
	for _, s := range samples {
		if s.Answered && s.Load > 0 {
			paces = append(paces, float64(s.Busy)/s.Load)
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}

func meanLoad(samples []Sample) float64 {
	sum, n := 0.0, 0
	for _, s := range samples {
		if s.Answered {
			sum += s.Load
			n++
		}
	}
	return sum / float64(max(n, 1))
}
