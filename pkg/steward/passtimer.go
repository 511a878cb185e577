package steward

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
)

// passWindow is the period over which passes are counted.
const passWindow = 400 * time.Millisecond

// passTimer measures the mean duration of a pass. It is not safe for concurrent use.
type passTimer struct {
	epoch int64
	// The current window began at windowStart with pass windowStartPass. meanPassTime is the
	// result of the last complete window.
	windowStart     time.Time
	windowStartPass int64
	meanPassTime    time.Duration
}

// update records the newest pass of the ranks and the number of running requests. A new epoch starts a new measurement,
// and so does a group without work, which makes no passes: the time until the next one is not the duration of a pass.
func (t *passTimer) update(ranks []mapswitch.RankState, running int, now time.Time) {
	newest, epoch := newestPass(ranks)
	if epoch != t.epoch || newest < t.windowStartPass || running == 0 {
		*t = passTimer{epoch: epoch, windowStart: now, windowStartPass: newest}
		return
	}
	if now.Sub(t.windowStart) < passWindow {
		return
	}
	if n := newest - t.windowStartPass; n > 0 {
		t.meanPassTime = now.Sub(t.windowStart) / time.Duration(n)
	}
	t.windowStart, t.windowStartPass = now, newest
}

// restart starts a new measurement, as after a change of the map.
func (t *passTimer) restart(ranks []mapswitch.RankState, now time.Time) {
	newest, epoch := newestPass(ranks)
	*t = passTimer{epoch: epoch, windowStart: now, windowStartPass: newest}
}

// newestPass returns the newest pass that a rank reports, and its epoch.
func newestPass(ranks []mapswitch.RankState) (pass, epoch int64) {
	for _, r := range ranks {
		if r.Known {
			pass, epoch = max(pass, r.Pass), max(epoch, r.Epoch)
		}
	}
	return pass, epoch
}

// mean returns the mean duration of a pass, or 0 while it is unknown.
func (t *passTimer) mean() time.Duration { return t.meanPassTime }
