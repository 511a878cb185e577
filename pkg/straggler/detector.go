package straggler

import (
	"slices"
	"time"
)

// Sample is the work of one rank in one interval.
type Sample struct {
	// Reported is not set when the rank did not report; the other fields are then ignored.
	Reported bool
	// Load is in any unit that is the same for all ranks.
	Load float64
	// ComputeTime is the time spent computing, without the time spent waiting for other ranks.
	ComputeTime time.Duration
}

// State is the classification of a rank.
type State int

// States of a rank.
const (
	Healthy State = iota
	// Overloaded means a high load at a usual time per unit of load.
	Overloaded
	// Slow means a high time per unit of load.
	Slow
	// Stalled means that the rank did not report for some intervals.
	Stalled
)

// Verdict is the result for one rank in one interval.
type Verdict struct {
	State State
	// Slowdown is the time per unit of load over the median of the group; 1 when it is unknown.
	Slowdown float64
	// Replace is set when the rank is to be replaced.
	Replace bool
}

const (
	// slowThreshold is the slowdown from which a rank may become slow, and healthyThreshold the
	// one below which it may become healthy again.
	slowThreshold    = 1.15
	healthyThreshold = 1.05
	// slowConfirmIntervals and healthyConfirmIntervals are the consecutive intervals beyond the
	// threshold before the state changes.
	slowConfirmIntervals    = 3
	healthyConfirmIntervals = 12
	// overloadThreshold is the load, relative to the mean, above which a rank is overloaded.
	overloadThreshold = 1.1
	// replaceThreshold is the slowdown from which a rank is replaced when it lasts for
	// replaceAfterIntervals consecutive intervals.
	replaceThreshold      = 1.5
	replaceAfterIntervals = 30
	// maxSlowEpisodes is the number of times that a rank becomes slow before it is replaced.
	maxSlowEpisodes = 4
	// stalledAfterIntervals and lostAfterIntervals are the consecutive intervals without a report
	// after which a rank is stalled, and after which it is to be replaced.
	stalledAfterIntervals = 2
	lostAfterIntervals    = 6
)

// rankState is the history of one rank.
type rankState struct {
	slow     bool
	slowdown float64
	// slowIntervals and healthyIntervals count the consecutive intervals with a slowdown of at
	// least slowThreshold and below healthyThreshold.
	slowIntervals, healthyIntervals int
	// severeIntervals counts the consecutive intervals with a slowdown of at least
	// replaceThreshold.
	severeIntervals int
	// slowEpisodes counts how often the rank became slow.
	slowEpisodes int
	// silentIntervals counts the consecutive intervals without a report.
	silentIntervals int
}

// Detector classifies the ranks of one group. It is not safe for concurrent use.
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

// Reset discards the history of a rank that was replaced.
func (d *Detector) Reset(index int) { d.ranks[index] = rankState{slowdown: 1} }

// Observe evaluates the samples of one interval and returns the verdicts, both by rank.
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

// observe updates the history with a sample. median is the median time per unit of load.
func (r *rankState) observe(s Sample, median float64) {
	if !s.Reported {
		r.silentIntervals++
		return
	}
	r.silentIntervals = 0
	if s.Load <= 0 || median <= 0 {
		return
	}
	r.slowdown = float64(s.ComputeTime) / s.Load / median
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

// verdict returns the state of the rank. mean is the mean load of the ranks.
func (r *rankState) verdict(s Sample, mean float64) Verdict {
	v := Verdict{Slowdown: r.slowdown}
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

// keepOneReplacement leaves at most one verdict with Replace set: a stalled rank first, then the
// slowest.
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

// isWorseThan reports whether the rank of v is to be replaced before that of o.
func (v Verdict) isWorseThan(o Verdict) bool {
	if v.State != o.State {
		return v.State > o.State
	}
	return v.Slowdown > o.Slowdown
}

// LoadReductions returns, by rank, the part of an equal load that is to be taken off the rank:
// 1-1/Slowdown for a slow rank, so that its load falls with its speed, and 0 for all others.
func LoadReductions(verdicts []Verdict) []float64 {
	out := make([]float64, len(verdicts))
	for i, v := range verdicts {
		if v.State == Slow && v.Slowdown > 1 {
			out[i] = 1 - 1/v.Slowdown
		}
	}
	return out
}

// countConsecutive returns n+1 when more is set, and 0 otherwise.
func countConsecutive(n int, more bool) int {
	if more {
		return n + 1
	}
	return 0
}

// medianTimePerLoad returns the median time per unit of load in nanoseconds, or 0 when no rank
// reported a load.
func medianTimePerLoad(samples []Sample) float64 {
	var times []float64
	for _, s := range samples {
		if s.Reported && s.Load > 0 {
			times = append(times, float64(s.ComputeTime)/s.Load)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// meanLoad returns the mean load of the ranks that reported.
func meanLoad(samples []Sample) float64 {
	sum, n := 0.0, 0
	for _, s := range samples {
		if s.Reported {
			sum += s.Load
			n++
		}
	}
	return sum / float64(max(n, 1))
}
