package steward

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
)

// passWindow is the time over which passes are counted.
const passWindow = 400 * time.Millisecond

// passClock measures the time of a pass. It is not safe for concurrent use.
type passClock struct {
	epoch int64
	// fromPass was begun at from; mean is the result of the newest full window.
	from     time.Time
	fromPass int64
	mean     time.Duration
}

// see takes in the newest pass of the ranks.
func (c *passClock) see(ranks []mapswitch.Rank, now time.Time) {
	newest, epoch := int64(0), int64(0)
	for _, r := range ranks {
		if r.Known {
			newest, epoch = max(newest, r.Pass), max(epoch, r.Epoch)
		}
	}
	if epoch != c.epoch || newest < c.fromPass {
		*c = passClock{epoch: epoch, from: now, fromPass: newest}
		return
	}
	if now.Sub(c.from) < passWindow {
		return
	}
	if n := newest - c.fromPass; n > 0 {
		c.mean = now.Sub(c.from) / time.Duration(n)
	}
	c.from, c.fromPass = now, newest
}

// time returns the mean time of a pass, 0 while it is not known.
func (c *passClock) time() time.Duration { return c.mean }
