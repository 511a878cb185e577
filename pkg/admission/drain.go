package admission

import "time"

const (
	// drainGain is the weight of the newest gap in the mean gap between whole answers.
	drainGain = 0.1
	// drainAge is the age of the newest whole answer beyond which the rate is unknown.
	drainAge = time.Minute
)

// drain is the rate at which whole answers come.
type drain struct {
	last time.Time
	gap  time.Duration
}

func (d *drain) add(now time.Time) {
	if !d.last.IsZero() && now.Sub(d.last) <= drainAge {
		d.gap += time.Duration(drainGain * float64(now.Sub(d.last)-d.gap))
	}
	d.last = now
}

func (d *drain) wait(now time.Time, before int) time.Duration {
	if d.last.IsZero() || now.Sub(d.last) > drainAge {
		return 0
	}
	return d.gap * time.Duration(before+1)
}
