package steward

import "time"

const (
	// defaultShiftInterval is the assumed time between two shifts of demand until two were seen.
	defaultShiftInterval = 2500 * time.Millisecond
	// maxShiftInterval limits the time for which a plan may be assumed to be of use.
	maxShiftInterval = time.Minute
	// shiftIntervalWeight is the weight of the newest interval in the mean.
	shiftIntervalWeight = 0.3
)

// shiftTimer measures the mean time between shifts of demand. It is not safe for concurrent use.
type shiftTimer struct {
	meanInterval time.Duration
	last         time.Time
}

// record records a shift. The same shift may be found again in later samples.
func (t *shiftTimer) record(at time.Time) {
	if at.Sub(t.last) <= loadWindow {
		return
	}
	if !t.last.IsZero() {
		t.meanInterval += time.Duration(shiftIntervalWeight * float64(at.Sub(t.last)-t.meanInterval))
	}
	t.last = at
}

// interval returns the mean time between shifts, and the time since the last one if that is longer.
func (t *shiftTimer) interval(now time.Time) time.Duration {
	if t.last.IsZero() {
		return t.meanInterval
	}
	return min(max(t.meanInterval, now.Sub(t.last)), maxShiftInterval)
}
