package fence

import (
	"slices"
	"time"
)

// sweep raises the horizon with the clock and drops the finished attempts behind it.
func (f *Fence) sweep(now time.Duration) {
	if now < f.nextSweepAt {
		return
	}
	f.nextSweepAt = now + sweepInterval
	f.raiseHorizon(now - MaxStartDelay)
}

// makeRoom raises the horizon to the median issue time of the finished attempts when the
// number of records has reached its limit.
func (f *Fence) makeRoom() {
	if len(f.records) < f.maxRecords {
		return
	}
	var issued []time.Duration
	for _, r := range f.records {
		if r.finished() {
			issued = append(issued, r.issuedAt)
		}
	}
	if len(issued) == 0 {
		return
	}
	slices.Sort(issued)
	f.raiseHorizon(issued[len(issued)/2])
}

// raiseHorizon moves the horizon up to at least h and drops the finished attempts behind it.
func (f *Fence) raiseHorizon(h time.Duration) {
	f.horizon = max(f.horizon, h)
	for k, r := range f.records {
		if r.finished() && r.issuedAt <= f.horizon {
			delete(f.records, k)
		}
	}
}
