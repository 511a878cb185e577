package steward

import (
	"math"
	"slices"
	"time"
)

const (
	// loadWindow is the period over which choices of experts are summed: a few passes, because
	// demand may shift within seconds.
	loadWindow = 400 * time.Millisecond
	// demandShiftThreshold is the share of choices that must differ between two samples to count
	// as a shift of demand. Random differences between samples of a few requests each stay below
	// it.
	demandShiftThreshold = 0.2
	// minChoicesPerLayer is the least number of choices in a layer for usable loads: with 64
	// experts, the loads of the most used ones are then accurate to a few percent.
	minChoicesPerLayer = 5_000
	// maxSampleAge limits the age of samples that are used while there are too few choices.
	maxSampleAge = 2 * time.Second
)

// ExpertLoads derives the recent loads of experts from the choices that ranks report. It is not safe for concurrent
// use.
type ExpertLoads struct {
	layers  int
	samples []sample
	shifts  shiftTimer
}

// choiceTracker derives the choices of a rank since an earlier look from its cumulative counts.
type choiceTracker struct {
	// fencingToken is that of the leader which looked, and startedAtMillis the incarnation of the rank.
	fencingToken    int64
	startedAtMillis int64
	counts          []int64
}

// since returns the choices since the last look for the same fencing token, nil for the first one. Counts restart
// from zero when the rank restarts, which a different start time shows.
func (t *choiceTracker) since(fencingToken, startedAtMillis int64, counts []int64) []int64 {
	previous := *t
	*t = choiceTracker{fencingToken, startedAtMillis, counts}
	switch {
	case previous.fencingToken != fencingToken || previous.counts == nil:
		return nil
	case previous.startedAtMillis != startedAtMillis || len(previous.counts) != len(counts):
		return slices.Clone(counts)
	}
	out := make([]int64, len(counts))
	for i, n := range counts {
		out[i] = max(0, n-previous.counts[i])
	}
	return out
}

// sample holds how often all ranks together chose each expert between two polls.
type sample struct {
	at     time.Time
	counts []int64
}

// NewExpertLoads returns empty loads for a number of layers.
func NewExpertLoads(layers int) *ExpertLoads {
	return &ExpertLoads{layers: layers, shifts: shiftTimer{meanInterval: defaultShiftInterval}}
}

// StartSample starts a new sample, to which AddChoices adds.
func (l *ExpertLoads) StartSample(now time.Time) {
	l.samples = append(l.samples, sample{at: now})
	for len(l.samples) > 1 && now.Sub(l.samples[0].at) > maxSampleAge {
		l.samples = l.samples[1:]
	}
}

// AddChoices adds the choices of ranks since their last report to the newest sample.
func (l *ExpertLoads) AddChoices(choices []int64) {
	if len(l.samples) == 0 || len(choices) == 0 {
		return
	}
	s := &l.samples[len(l.samples)-1]
	s.counts = addInts(s.counts, slices.Clone(choices))
}

// Recent returns the loads by layer and expert, or nil while there are too few choices. It sums
// samples back to the start of the window, but not beyond a shift of demand, because a plan for a
// mix of old and new demand fits neither. While there are too few choices it also sums older ones.
func (l *ExpertLoads) Recent(now time.Time) [][]float64 {
	var sum []int64
	for i := len(l.samples) - 1; i >= 0; i-- {
		s := l.samples[i]
		if s.counts == nil {
			continue
		}
		if sum == nil {
			sum = make([]int64, len(s.counts))
		}
		if len(s.counts) != len(sum) {
			break
		}
		if l.hasEnoughChoices(sum) && now.Sub(s.at) > loadWindow {
			break
		}
		if l.hasEnoughChoices(sum) && l.hasEnoughChoices(s.counts) && distance(sum, s.counts) > demandShiftThreshold {
			l.shifts.record(s.at)
			break
		}
		for k, n := range s.counts {
			sum[k] += n
		}
	}
	if !l.hasEnoughChoices(sum) {
		return nil
	}
	experts := len(sum) / l.layers
	out := make([][]float64, l.layers)
	for i := range out {
		for _, n := range sum[i*experts : (i+1)*experts] {
			out[i] = append(out[i], float64(n))
		}
	}
	return out
}

// ShiftInterval returns how long demand usually stays as it is.
func (l *ExpertLoads) ShiftInterval(now time.Time) time.Duration { return l.shifts.interval(now) }

// distance returns the share of choices, from 0 to 1, that differs between two samples.
func distance(a, b []int64) float64 {
	totalA, totalB := 0.0, 0.0
	for i := range a {
		totalA += float64(a[i])
		totalB += float64(b[i])
	}
	d := 0.0
	for i := range a {
		d += math.Abs(float64(a[i])/totalA - float64(b[i])/totalB)
	}
	return d / 2
}

// hasEnoughChoices reports whether a sum of counts is large enough for usable loads.
func (l *ExpertLoads) hasEnoughChoices(sum []int64) bool {
	total := int64(0)
	for _, n := range sum {
		total += n
	}
	return l.layers > 0 && total >= int64(minChoicesPerLayer*l.layers)
}
