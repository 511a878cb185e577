package admission

import "time"

const (
	// intervalGain is the weight of the newest gap in the mean gap between whole answers.
	intervalGain = 0.1
	// responseRateTTL is the age of the newest whole answer beyond which the rate is unknown.
	responseRateTTL = time.Minute
)

// responseRate is the rate at which whole answers come.
type responseRate struct {
	lastResponse time.Time
	meanInterval time.Duration
}

func (d *responseRate) add(now time.Time) {
	if !d.lastResponse.IsZero() && now.Sub(d.lastResponse) <= responseRateTTL {
		d.meanInterval += time.Duration(intervalGain * float64(now.Sub(d.lastResponse)-d.meanInterval))
	}
	d.lastResponse = now
}

func (d *responseRate) expectedWait(now time.Time, before int) time.Duration {
	if d.lastResponse.IsZero() || now.Sub(d.lastResponse) > responseRateTTL {
		return 0
	}
	return d.meanInterval * time.Duration(before+1)
}
