package admission

import "time"

const (
	// intervalGain is the weight of the newest interval in the mean interval between complete
	// responses.
	intervalGain = 0.1
	// responseRateTTL is the age of the newest complete response beyond which the rate is
	// unknown.
	responseRateTTL = time.Minute
)

// responseRate estimates the rate of complete responses.
type responseRate struct {
	lastResponse time.Time
	// meanInterval is the moving average of the time between complete responses.
	meanInterval time.Duration
}

// add records a complete response.
func (r *responseRate) add(now time.Time) {
	if !r.lastResponse.IsZero() && now.Sub(r.lastResponse) <= responseRateTTL {
		r.meanInterval += time.Duration(intervalGain * float64(now.Sub(r.lastResponse)-r.meanInterval))
	}
	r.lastResponse = now
}

// expectedWait returns the expected time until ahead+1 more complete responses, 0 when the
// rate is unknown.
func (r *responseRate) expectedWait(now time.Time, ahead int) time.Duration {
	if r.lastResponse.IsZero() || now.Sub(r.lastResponse) > responseRateTTL {
		return 0
	}
	return r.meanInterval * time.Duration(ahead+1)
}
