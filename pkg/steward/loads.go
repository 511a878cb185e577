package steward

import (
	"math"
	"slices"
	"time"
)

const (
	// loadWindow is the time over which choices of experts count: a few passes, as what
	// is in demand may change within seconds.
	loadWindow = 400 * time.Millisecond
	// changed is the part of the choices that differ from one sample to the next from
	// which on demand has changed; between samples of some requests each it is below.
	changed = 0.2
	// minChoices is the number of choices in a layer from which loads mean something: at
	// 64 experts the heaviest ones are then known to a few in a hundred.
	minChoices = 5_000
	// maxSampleAge bounds how old choices may be while there are too few.
	maxSampleAge = 2 * time.Second
)

// Loads works out the recent loads of experts from the ever growing counts of the ranks.
// It is not safe for concurrent use.
type Loads struct {
	layers  int
	last    map[int]countsOf
	samples []sample
}

// countsOf is the newest counts of one life of a rank.
type countsOf struct {
	born   int64
	counts []int64
}

// sample is what all ranks chose between two looks.
type sample struct {
	at     time.Time
	counts []int64
}

// NewLoads returns loads for a number of layers.
func NewLoads(layers int) *Loads { return &Loads{layers: layers, last: map[int]countsOf{}} }

// Begin starts a new look at the ranks.
func (l *Loads) Begin(now time.Time) {
	l.samples = append(l.samples, sample{at: now})
	for len(l.samples) > 1 && now.Sub(l.samples[0].at) > maxSampleAge {
		l.samples = l.samples[1:]
	}
}

// Add takes in the counts of a rank. The counts of a rank that started again begin anew.
func (l *Loads) Add(rank int, born int64, counts []int64) {
	if len(l.samples) == 0 || len(counts) == 0 {
		return
	}
	s := &l.samples[len(l.samples)-1]
	if s.counts == nil {
		s.counts = make([]int64, len(counts))
	}
	former, seen := l.last[rank]
	l.last[rank] = countsOf{born, slices.Clone(counts)}
	if !seen || len(s.counts) != len(counts) {
		return
	}
	restarted := former.born != born || len(former.counts) != len(counts)
	for i, n := range counts {
		if !restarted {
			n -= former.counts[i]
		}
		s.counts[i] += max(0, n)
	}
}

// Recent returns the loads by layer and expert, or nil while there are too few choices. It
// goes back over the samples as far as the window reaches, but not beyond a change of
// what is in demand: a mix of before and after fits neither.
func (l *Loads) Recent(now time.Time) [][]float64 {
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
		if l.enough(sum) && (now.Sub(s.at) > loadWindow || l.enough(s.counts) && distance(sum, s.counts) > changed) {
			break
		}
		for k, n := range s.counts {
			sum[k] += n
		}
	}
	if !l.enough(sum) {
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

// distance returns the part of the choices, from 0 to 1, that differs between two samples.
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

func (l *Loads) enough(sum []int64) bool {
	total := int64(0)
	for _, n := range sum {
		total += n
	}
	return l.layers > 0 && total >= int64(minChoices*l.layers)
}
