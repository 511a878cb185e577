package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Follower receives the state of one kind: first a full list, then changes.
type Follower interface {
	// Replace receives all objects of the kind.
	Replace(items []Object)
	// Change receives one changed or deleted object.
	Change(o Object)
	// Lost is called once when the platform stops answering, and Recovered when it answers again.
	Lost(err error)
	Recovered()
}

// Positioned is a Follower that wants to know how far it has followed.
type Positioned interface {
	// At receives the revision up to which all changes were handed over. It is called
	// after each answer of the platform.
	At(revision int64)
}

// WatchWait is the time that a watch waits at the platform.
const WatchWait = 10 * time.Second

const (
	// firstRetry and lastRetry bound the pause after a failed call; each is spread by half.
	firstRetry = 100 * time.Millisecond
	lastRetry  = time.Second
	// gapSpread is the time over which followers spread that must list a kind anew.
	gapSpread = time.Second
)

// Follow lists and watches a kind until ctx ends. Failed calls are repeated with
// exponential backoff and jitter.
func (c *Client) Follow(ctx context.Context, kind string, f Follower) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstRetry
	pause.MaxInterval = lastRetry
	revision := int64(-1)
	lost := false
	for ctx.Err() == nil {
		next, err := c.step(ctx, kind, revision, watchWait(lost), f)
		if errors.Is(err, ErrGap) {
			// Many followers may meet the same gap; a list is the most costly call.
			revision = -1
			sleep(ctx, rand.N(gapSpread))
			continue
		}
		if err != nil {
			if !lost && ctx.Err() == nil {
				f.Lost(err)
			}
			lost = true
			sleep(ctx, pause.NextBackOff())
			continue
		}
		if lost {
			f.Recovered()
		}
		lost = false
		pause.Reset()
		revision = next
		if p, ok := f.(Positioned); ok {
			p.At(revision)
		}
	}
}

// watchWait returns the time that a watch waits. After a fault the platform is asked to
// answer at once, so that its recovery shows without waiting for a change.
func watchWait(lost bool) time.Duration {
	if lost {
		return 0
	}
	return WatchWait
}

// step lists the kind when revision is negative and waits for changes otherwise.
func (c *Client) step(ctx context.Context, kind string, revision int64, wait time.Duration, f Follower) (int64, error) {
	if revision < 0 {
		l, err := c.List(ctx, kind)
		if err != nil {
			return revision, err
		}
		f.Replace(l.Items)
		return l.Revision, nil
	}
	l, err := c.Watch(ctx, kind, revision, wait)
	if err != nil {
		return revision, err
	}
	for _, o := range l.Items {
		f.Change(o)
	}
	return max(revision, l.Revision), nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
