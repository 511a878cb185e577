package admission

import (
	"slices"
	"time"
)

// sampleKind tells the times apart that have a baseline each.
type sampleKind int

const (
	// partTime is the time from one part of an answer to the next.
	partTime sampleKind = iota
	// answerTime is the time of an answer without parts, for each token expected.
	answerTime
	sampleKinds
)

// learnSamples is the number of samples from which a baseline counts.
const learnSamples = 8

// Gains of the moving means of a baseline. The baseline follows faster times quickly,
// because an upstream that has warmed up is faster at once, and slower ones slowly.
const (
	fallGain   = 0.2
	riseGain   = 0.01
	newestGain = 0.2
)

// meter is the baseline of one kind and the mean of its newest samples, in seconds.
type meter struct {
	samples int
	base    float64
	newest  float64
}

// known reports whether the baseline counts.
func (m *meter) known() bool { return m.samples >= learnSamples }

func (m *meter) add(s float64) {
	m.samples++
	m.base += m.gain(s) * (s - m.base)
	m.newest += max(newestGain, 1/float64(m.samples)) * (s - m.newest)
}

// gain is the weight of a sample in the baseline: equal weights until it is known.
func (m *meter) gain(s float64) float64 {
	if m.samples <= learnSamples {
		return 1 / float64(m.samples)
	}
	if s < m.base {
		return fallGain
	}
	return riseGain
}

// pace holds the baselines of an upstream.
type pace struct {
	meters [sampleKinds]meter
	// since counts whole answers since the limit was last changed.
	since int
}

// slow reports whether the newest samples of a kind take far longer than its baseline.
func (p *pace) slow() bool {
	for i := range p.meters {
		m := &p.meters[i]
		if m.known() && m.newest > slowFactor*m.base {
			return true
		}
	}
	return false
}

const (
	// slowFactor is the multiple of the baseline beyond which the limit is lowered.
	slowFactor = 1.5
	// lowerNumerator and lowerDenominator are the factor by which the limit is lowered.
	lowerNumerator   = 9
	lowerDenominator = 10
)

// judge takes in a sample and reports whether it came in time. Late samples do not
// change the baseline; enough of them in a row set the upstream back to cold.
func (l *Limiter) judge(kind sampleKind, took time.Duration) bool {
	m := &l.pace.meters[kind]
	if took > l.opts.LateFloor && m.known() && took.Seconds() > l.opts.LateFactor*m.base {
		l.late++
		if l.late >= l.opts.LateLimit {
			l.Reset()
		}
		return false
	}
	l.late = 0
	m.add(took.Seconds())
	return true
}

// adapt lowers the limit of a warm upstream while it is slow and raises it while it
// is not, one step for as many whole answers as the limit.
func (l *Limiter) adapt() {
	l.pace.since++
	if !l.warm || l.pace.since < l.limit {
		return
	}
	l.pace.since = 0
	if l.pace.slow() {
		l.limit = max(l.opts.Cold, l.limit*lowerNumerator/lowerDenominator)
		return
	}
	l.limit = min(l.opts.Max, l.limit+1)
}

// unprove notes a start. Only as many as the cold limit matter, the newest of them.
func (l *Limiter) unprove(now time.Time) {
	if len(l.unproven) >= l.opts.Cold {
		l.proveOldest(1)
	}
	l.unproven = append(l.unproven, now)
}

// proveBefore forgets the unproven starts made at or before t.
func (l *Limiter) proveBefore(t time.Time) {
	l.unproven = slices.DeleteFunc(l.unproven, func(s time.Time) bool { return !s.After(t) })
}

// proveOldest forgets the n oldest unproven starts.
func (l *Limiter) proveOldest(n int) {
	l.unproven = slices.Delete(l.unproven, 0, min(n, len(l.unproven)))
}
