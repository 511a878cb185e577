package admission

import (
	"slices"
	"time"
)

// sampleKind tells the times apart that have a baseline each.
type sampleKind int

const (
	// partInterval is the time from one part of an answer to the next.
	partInterval sampleKind = iota
	// responsePerToken is the time of an answer without parts, for each token expected.
	responsePerToken
	sampleKindCount
)

// minSamples is the number of samples from which a baseline counts.
const minSamples = 8

// Gains of the moving means of a baseline. The baseline follows faster times quickly,
// because an upstream that has warmed up is faster at once, and slower ones slowly.
const (
	fasterGain = 0.2
	slowerGain = 0.01
	recentGain = 0.2
)

// latency is the baseline of one kind and the mean of its newest samples, in seconds.
type latency struct {
	samples  int
	baseline float64
	recent   float64
}

// isKnown reports whether the baseline counts.
func (m *latency) isKnown() bool { return m.samples >= minSamples }

func (m *latency) add(s float64) {
	m.samples++
	m.baseline += m.gain(s) * (s - m.baseline)
	m.recent += max(recentGain, 1/float64(m.samples)) * (s - m.recent)
}

// gain is the weight of a sample in the baseline: equal weights until it is known.
func (m *latency) gain(s float64) float64 {
	if m.samples <= minSamples {
		return 1 / float64(m.samples)
	}
	if s < m.baseline {
		return fasterGain
	}
	return slowerGain
}

// latencies holds the baselines of an upstream.
type latencies struct {
	byKind [sampleKindCount]latency
	// responsesSinceChange counts whole answers responsesSinceChange the limit was last changed.
	responsesSinceChange int
}

// isSlow reports whether the newest samples of a kind take far longer than its baseline.
func (p *latencies) isSlow() bool {
	for i := range p.byKind {
		m := &p.byKind[i]
		if m.isKnown() && m.recent > slowFactor*m.baseline {
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

// recordSample takes in a sample and reports whether it came in time. Late samples do not
// change the baseline; enough of them in a row set the upstream back to cold.
func (l *Limiter) recordSample(kind sampleKind, took time.Duration) bool {
	m := &l.latencies.byKind[kind]
	if took > l.opts.LateFloor && m.isKnown() && took.Seconds() > l.opts.LateFactor*m.baseline {
		l.consecutiveLate++
		if l.consecutiveLate >= l.opts.LateLimit {
			l.Reset()
		}
		return false
	}
	l.consecutiveLate = 0
	m.add(took.Seconds())
	return true
}

// adaptLimit lowers the limit of a warm upstream while it is slow and raises it while it
// is not, one step for as many whole answers as the limit.
func (l *Limiter) adaptLimit() {
	l.latencies.responsesSinceChange++
	if !l.warm || l.latencies.responsesSinceChange < l.limit {
		return
	}
	l.latencies.responsesSinceChange = 0
	if l.latencies.isSlow() {
		l.limit = max(l.opts.Cold, l.limit*lowerNumerator/lowerDenominator)
		return
	}
	l.limit = min(l.opts.Max, l.limit+1)
}

// addUnconfirmed notes a start. Only as many as the cold limit matter, the newest of them.
func (l *Limiter) addUnconfirmed(now time.Time) {
	if len(l.unconfirmed) >= l.opts.Cold {
		l.confirmOldest(1)
	}
	l.unconfirmed = append(l.unconfirmed, now)
}

// confirmUntil forgets the unproven starts made at or before t.
func (l *Limiter) confirmUntil(t time.Time) {
	l.unconfirmed = slices.DeleteFunc(l.unconfirmed, func(s time.Time) bool { return !s.After(t) })
}

// confirmOldest forgets the n oldest unproven starts.
func (l *Limiter) confirmOldest(n int) {
	l.unconfirmed = slices.Delete(l.unconfirmed, 0, min(n, len(l.unconfirmed)))
}
