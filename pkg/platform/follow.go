package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Follower receives the objects of one kind: first a complete list, then changes. Follow calls its
// methods one at a time.
type Follower interface {
	// Replace is called with all objects of the kind. It is called again if changes were lost.
	Replace(items []Object)
	// ApplyChange is called with each changed or deleted object.
	ApplyChange(o Object)
	// PlatformLost is called once when the platform stops responding, and PlatformRecovered when
	// it responds again.
	PlatformLost(err error)
	PlatformRecovered()
}

// RevisionFollower is implemented by a Follower that needs the revision that it has reached.
type RevisionFollower interface {
	// SetRevision is called after each response of the platform with the revision up to which all
	// changes were delivered.
	SetRevision(revision int64)
}

// MaxWatchWait is the time for which the platform holds a watch when nothing changes.
const MaxWatchWait = 10 * time.Second

const (
	// initialRetryPause and maxRetryPause limit the pause after a failed call. Each pause is
	// randomized by half.
	initialRetryPause = 100 * time.Millisecond
	maxRetryPause     = time.Second
	// maxRelistDelay is the upper limit of the random delay before a kind is listed again.
	maxRelistDelay = time.Second
)

// Follow lists a kind and then watches it until ctx ends, and delivers its objects to f. Failed
// calls are repeated with exponential backoff and jitter.
func (c *Client) Follow(ctx context.Context, kind string, f Follower) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = initialRetryPause
	pause.MaxInterval = maxRetryPause
	revision := int64(-1)
	lost := false
	for ctx.Err() == nil {
		next, err := c.listOrWatch(ctx, kind, revision, watchWaitAfter(lost), f)
		if errors.Is(err, ErrRevisionExpired) {
			// Many followers may need to list at the same time, and a list is the most expensive
			// call, so spread the lists.
			revision = -1
			sleep(ctx, rand.N(maxRelistDelay))
			continue
		}
		if err != nil {
			if !lost && ctx.Err() == nil {
				f.PlatformLost(err)
			}
			lost = true
			sleep(ctx, pause.NextBackOff())
			continue
		}
		if lost {
			f.PlatformRecovered()
		}
		lost = false
		pause.Reset()
		revision = next
		if p, ok := f.(RevisionFollower); ok {
			p.SetRevision(revision)
		}
	}
}

// watchWaitAfter returns the time for which the platform may hold the next watch. While the platform
// is lost it is 0, so that a recovery is detected without waiting for a change.
func watchWaitAfter(lost bool) time.Duration {
	if lost {
		return 0
	}
	return MaxWatchWait
}

// listOrWatch lists the kind if revision is negative and otherwise waits for changes. It returns the
// revision that f has reached.
func (c *Client) listOrWatch(ctx context.Context, kind string, revision int64, wait time.Duration, f Follower) (int64, error) {
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
		f.ApplyChange(o)
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
