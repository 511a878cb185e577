package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/crashcause"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// kindConvictions holds one object for each conviction, named by it, so that convictions outlive
// a loss of all gateways.
const kindConvictions = "convictions"

// conviction is the spec of an object of kindConvictions.
type conviction struct {
	// ConvictedAtMillis is the time of day of the conviction, in Unix milliseconds.
	ConvictedAtMillis int64 `json:"convicted_at_ms"`
}

// isExpired reports whether a conviction no longer holds at a time of day.
func (c conviction) isExpired(now time.Time) bool {
	return now.Sub(time.UnixMilli(c.ConvictedAtMillis)) > crashcause.EvidenceTTL
}

// syncConvictions restores the convictions in the store, and keeps them equal to those of this gateway,
// until ctx ends.
func (g *Gateway) syncConvictions(ctx context.Context, s *platform.Store) {
	verdicts := make(chan struct{}, 1)
	notify := func() {
		select {
		case verdicts <- struct{}{}:
		default:
		}
	}
	g.crashes.onVerdict = notify
	rewound := make(chan struct{}, 1)
	s.OnRewind(func() { rewound <- struct{}{}; notify() })
	go func() {
		g.retryUntilDone(ctx, "convictions-unread", func() error { return g.restoreConvictions(ctx, s) })
		written := map[crashcause.Conviction]bool{}
		for {
			select {
			case <-ctx.Done():
				return
			case <-rewound:
				clear(written)
			case <-verdicts:
			}
			g.retryUntilDone(ctx, "convictions-unwritten", func() error { return g.writeConvictions(ctx, s, written) })
		}
	}()
}

// retryUntilDone calls f until it succeeds or ctx ends.
func (g *Gateway) retryUntilDone(ctx context.Context, event string, f func() error) {
	_, err := backoff.Retry(ctx, func() (struct{}, error) { return struct{}{}, f() }, backoff.WithMaxElapsedTime(0),
		backoff.WithNotify(func(err error, wait time.Duration) {
			g.log.Warn(event, "error", err.Error(), "retry_in", wait.Round(time.Millisecond))
		}))
	if err != nil {
		g.log.Debug(event, "error", err.Error())
	}
}

// restoreConvictions reads the convictions of earlier processes.
func (g *Gateway) restoreConvictions(ctx context.Context, s *platform.Store) error {
	l, err := s.List(ctx, kindConvictions)
	if err != nil {
		return err
	}
	var restored []crashcause.Conviction
	for _, o := range l.Objects {
		var c conviction
		if err := json.Unmarshal(o.Spec, &c); err != nil {
			g.log.Warn("conviction-unreadable", "name", o.Name, "error", err.Error())
			continue
		}
		if c.isExpired(time.Now()) {
			if err := s.Delete(ctx, kindConvictions, o.Name); err != nil && !errors.Is(err, platform.ErrNotFound) {
				return err
			}
			continue
		}
		restored = append(restored, crashcause.Conviction(o.Name))
	}
	if len(restored) > 0 {
		g.crashes.restore(restored, time.Now())
		g.log.Info("convictions-restored", "convictions", restored)
	}
	return nil
}

// writeConvictions creates the objects of new convictions and removes those of withdrawn ones; written
// has the convictions whose objects this gateway wrote.
func (g *Gateway) writeConvictions(ctx context.Context, s *platform.Store, written map[crashcause.Conviction]bool) error {
	current := map[crashcause.Conviction]bool{}
	for _, t := range g.crashes.convictions() {
		current[t] = true
		if written[t] {
			continue
		}
		_, err := s.Create(ctx, kindConvictions, string(t), conviction{time.Now().UnixMilli()})
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			return err
		}
		written[t] = true
	}
	for t := range written {
		if current[t] {
			continue
		}
		if err := s.Delete(ctx, kindConvictions, string(t)); err != nil && !errors.Is(err, platform.ErrNotFound) {
			return err
		}
		delete(written, t)
	}
	return nil
}
