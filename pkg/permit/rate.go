package permit

import (
	"math"
	"time"
)

// rateMemory is the time in which an arrival loses two thirds of its weight.
const rateMemory = 5 * time.Second

// arrivalRate is an exponentially decaying mean of arrivals per second. It counts only the time since
// the first arrival, so that it is usable soon after a start.
type arrivalRate struct {
	// count is the number of arrivals, and seconds the time in which they came, both decayed up to
	// updatedAt.
	count     float64
	seconds   float64
	updatedAt time.Time
}

// add records an arrival.
func (r *arrivalRate) add(now time.Time) {
	r.decay(now)
	r.count++
}

// perSecond returns the rate, and 0 before there are two different times.
func (r *arrivalRate) perSecond(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	r.decay(now)
	if r.seconds == 0 {
		return 0
	}
	return r.count / r.seconds
}

func (r *arrivalRate) decay(now time.Time) {
	if r.updatedAt.IsZero() {
		r.updatedAt = now
	}
	elapsed := max(0, now.Sub(r.updatedAt).Seconds())
	kept := math.Exp(-elapsed / rateMemory.Seconds())
	r.count *= kept
	r.seconds = r.seconds*kept + rateMemory.Seconds()*(1-kept)
	r.updatedAt = now
}
