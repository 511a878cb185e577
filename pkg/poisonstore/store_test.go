package poisonstore

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/poison"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standin/objects"
)

func newStores(t *testing.T, n int, now func() time.Time) []*Store {
	srv := httptest.NewServer(objects.New().Handler())
	t.Cleanup(srv.Close)
	var out []*Store
	for range n {
		out = append(out, New(platform.New(platform.Options{URL: srv.URL}), now))
	}
	return out
}

var suspect = poison.Verdict{Fingerprint: "f", State: poison.Suspect}

// Guards against two isolated runs at once: of entries that begin at the same time, one
// succeeds.
func TestOneOfNineEntriesRunsSuspect(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var granted sync.Map
	var entries sync.WaitGroup
	for n, s := range newStores(t, 9, nil) {
		entries.Go(func() {
			if run, err := s.BeginIsolatedRun(ctx, suspect); err == nil {
				granted.Store(n, run)
			}
		})
	}
	entries.Wait()
	count := 0
	granted.Range(func(any, any) bool {
		count++
		return true
	})
	is.Equal(count, 1)
}

// Guards against a suspect that stays claimed after its run, and against a lost conviction.
func TestIsolatedRunEnds(t *testing.T) {
	cases := []struct {
		state      poison.State
		want       error
		wantStored int
	}{
		{poison.Cleared, nil, 0},
		{poison.Suspect, nil, 0},
		{poison.Convicted, ErrConvicted, 1},
	}
	for _, c := range cases {
		t.Run(string(c.state), func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			s := newStores(t, 2, nil)
			run, err := s[0].BeginIsolatedRun(ctx, suspect)
			is.NoErr(err)
			_, err = s[1].BeginIsolatedRun(ctx, suspect)
			is.Equal(err, ErrBusy)
			is.NoErr(run.End(ctx, poison.Verdict{Fingerprint: "f", State: c.state}))
			stored, err := s[1].Load(ctx)
			is.NoErr(err)
			is.Equal(len(stored), c.wantStored)
			_, err = s[1].BeginIsolatedRun(ctx, suspect)
			is.Equal(err, c.want)
		})
	}
}

// Guards against a suspect that can never run again because the entry that claimed it was lost.
func TestIsolatedRunOfLostEntryIsTakenOverAfterTTL(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	now := time.Now()
	s := newStores(t, 2, func() time.Time { return now })
	lostRun, err := s[0].BeginIsolatedRun(ctx, suspect)
	is.NoErr(err)
	now = now.Add(IsolatedRunTTL + time.Millisecond)
	_, err = s[1].BeginIsolatedRun(ctx, suspect)
	is.NoErr(err)
	// The paused entry can no longer end the isolated run of another entry.
	is.True(lostRun.End(ctx, poison.Verdict{Fingerprint: "f", State: poison.Cleared}) != nil)
}

// Guards against convictions that stay at the platform after their lifetime.
func TestConvictionsExpireAndAreRemoved(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	now := time.Now()
	s := newStores(t, 1, func() time.Time { return now })[0]
	run, err := s.BeginIsolatedRun(ctx, suspect)
	is.NoErr(err)
	is.NoErr(run.End(ctx, poison.Verdict{Fingerprint: "f", State: poison.Convicted}))
	now = now.Add(poison.ConvictionTTL + time.Second)
	stored, err := s.Load(ctx)
	is.NoErr(err)
	is.Equal(len(stored), 0)
	l, err := s.client.List(ctx, Kind)
	is.NoErr(err)
	is.Equal(len(l.Items), 0)
}

// Guards against isolated runs without a claim when the platform cannot be reached.
func TestNoIsolatedRunWithoutPlatform(t *testing.T) {
	is := is.New(t)
	s := New(platform.New(platform.Options{URL: "http://127.0.0.1:1", Timeout: time.Second}), nil)
	_, err := s.BeginIsolatedRun(context.Background(), suspect)
	is.True(err != nil)
}
