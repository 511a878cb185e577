package gateway

import "time"

// startRate measures how many attempts this gateway starts between two reports on the load of an upstream.
type startRate struct {
	// perSecond is the moving average of the attempts, and started counts those since measuredAt.
	perSecond  float64
	started    int
	measuredAt time.Time
	// interval is the moving average of the time between two reports on the same upstream, and reportedAt when the
	// newest report on any came.
	interval   time.Duration
	reportedAt time.Time
}

// minRateInterval is the shortest time over which attempts are counted.
const minRateInterval = 100 * time.Millisecond

// recordReport records a report on an upstream whose last report was some time ago.
func (r *startRate) recordReport(sinceLast time.Duration, now time.Time) {
	r.reportedAt = now
	if sinceLast <= loadTTL {
		if r.interval == 0 {
			r.interval = sinceLast
		}
		r.interval += time.Duration(sampleWeight * float64(sinceLast-r.interval))
	}
	elapsed := now.Sub(r.measuredAt)
	if elapsed < minRateInterval {
		return
	}
	if elapsed <= loadTTL {
		r.perSecond += sampleWeight * (float64(r.started)/elapsed.Seconds() - r.perSecond)
	}
	r.started, r.measuredAt = 0, now
}

func (f *Fleet) startRate(service string) *startRate {
	r := f.startRates[service]
	if r == nil {
		r = &startRate{}
		f.startRates[service] = r
	}
	return r
}

// expectedStarts returns how many attempts all gateways start at a service between two reports on its loads, 0
// without valid reports: each gateway then chooses by its own work. The caller holds f.mu.
func (f *Fleet) expectedStarts(service string, now time.Time) float64 {
	r := f.startRate(service)
	if now.Sub(r.reportedAt) > loadTTL {
		return 0
	}
	return r.perSecond * r.interval.Seconds() * float64(f.gatewayCount)
}
