package admission

import (
	"slices"
	"time"
)

// sampleKind is a kind of latency that has a baseline of its own.
type sampleKind int

const (
	// partInterval is the time from one part of a response to the next.
	partInterval sampleKind = iota
	// responsePerToken is the time of a response without parts, divided by its expected
	// tokens.
	responsePerToken
	sampleKindCount
)

// minSamples is the number of samples from which a baseline is used.
const minSamples = 8

// Weights of the newest sample in the moving averages. The baseline follows shorter
// latencies quickly, because an upstream that has warmed up is faster at once, and longer
// ones slowly.
const (
	fasterGain = 0.2
	slowerGain = 0.01
	recentGain = 0.2
)

// latency holds the moving averages of one kind of sample.
type latency struct {
	samples int
	// baseline is the usual latency and recent the mean of the newest samples, in seconds.
	baseline float64
	recent   float64
}

// isKnown reports whether there are enough samples for the baseline to be used.
func (l *latency) isKnown() bool { return l.samples >= minSamples }

// add adds a sample in seconds.
func (l *latency) add(sample float64) {
	l.samples++
	l.baseline += l.gain(sample) * (sample - l.baseline)
	l.recent += max(recentGain, 1/float64(l.samples)) * (sample - l.recent)
}

// gain returns the weight of a sample in the baseline. The first minSamples samples have
// equal weights.
func (l *latency) gain(sample float64) float64 {
	if l.samples <= minSamples {
		return 1 / float64(l.samples)
	}
	if sample < l.baseline {
		return fasterGain
	}
	return slowerGain
}

// latencies holds the baselines of an upstream.
type latencies struct {
	byKind [sampleKindCount]latency
	// responsesSinceChange counts the complete responses since adaptLimit last changed the
	// limit.
	responsesSinceChange int
}

// isSlow reports whether the recent samples of a kind exceed slowFactor times its baseline.
func (l *latencies) isSlow() bool {
	for i := range l.byKind {
		kind := &l.byKind[i]
		if kind.isKnown() && kind.recent > slowFactor*kind.baseline {
			return true
		}
	}
	return false
}

const (
	// slowFactor is the multiple of the baseline beyond which the limit is lowered.
	slowFactor = 1.5
	// The limit is multiplied by lowerNumerator / lowerDenominator when it is lowered.
	lowerNumerator   = 9
	lowerDenominator = 10
)

// recordSample adds a sample and reports whether it is in time. Late samples do not change
// the baseline; Options.MaxConsecutiveLate of them in a row reset the
// limiter.
func (l *Limiter) recordSample(kind sampleKind, took time.Duration) bool {
	baseline := &l.latencies.byKind[kind]
	if took > l.opts.LateFloor && baseline.isKnown() && took.Seconds() > l.opts.LateFactor*baseline.baseline {
		l.consecutiveLate++
		if l.consecutiveLate >= l.opts.MaxConsecutiveLate {
			l.Reset()
		}
		return false
	}
	l.consecutiveLate = 0
	baseline.add(took.Seconds())
	return true
}

// adaptLimit lowers the limit of a warm upstream while it is slow and raises it while it is
// not. It changes the limit once per as many complete responses as the limit.
func (l *Limiter) adaptLimit() {
	l.latencies.responsesSinceChange++
	if !l.warm || l.latencies.responsesSinceChange < l.limit {
		return
	}
	l.latencies.responsesSinceChange = 0
	if l.latencies.isSlow() {
		l.limit = max(l.opts.ColdLimit, l.limit*lowerNumerator/lowerDenominator)
		return
	}
	l.limit = min(l.opts.MaxLimit, l.limit+1)
}

// addUnconfirmed records a start as unconfirmed. Only the newest Options.ColdLimit starts
// are kept, because hasCapacity compares their number with Options.ColdLimit.
func (l *Limiter) addUnconfirmed(now time.Time) {
	if len(l.unconfirmed) >= l.opts.ColdLimit {
		l.confirmOldest(1)
	}
	l.unconfirmed = append(l.unconfirmed, now)
}

// confirmUntil removes the unconfirmed starts made at or before t.
func (l *Limiter) confirmUntil(t time.Time) {
	l.unconfirmed = slices.DeleteFunc(l.unconfirmed, func(s time.Time) bool { return !s.After(t) })
}

// confirmOldest removes the n oldest unconfirmed starts.
func (l *Limiter) confirmOldest(n int) {
	l.unconfirmed = slices.Delete(l.unconfirmed, 0, min(n, len(l.unconfirmed)))
}
