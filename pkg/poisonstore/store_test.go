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

func TestOneOfNineEntriesRunsSuspect(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var granted sync.Map
	var entries sync.WaitGroup
	for n, s := range newStores(t, 9, nil) {
		entries.Go(func() {
			if run, err := s.Begin(ctx, suspect); err == nil {
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
			run, err := s[0].Begin(ctx, suspect)
			is.NoErr(err)
			_, err = s[1].Begin(ctx, suspect)
			is.Equal(err, ErrBusy)
			is.NoErr(run.End(ctx, poison.Verdict{Fingerprint: "f", State: c.state}))
			stored, err := s[1].Load(ctx)
			is.NoErr(err)
			is.Equal(len(stored), c.wantStored)
			_, err = s[1].Begin(ctx, suspect)
			is.Equal(err, c.want)
		})
	}
}

func TestIsolatedRunOfLostEntryIsTakenOverAfterTTL(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	now := time.Now()
	s := newStores(t, 2, func() time.Time { return now })
	lostRun, err := s[0].Begin(ctx, suspect)
	is.NoErr(err)
	now = now.Add(TrialLife + time.Millisecond)
	_, err = s[1].Begin(ctx, suspect)
	is.NoErr(err)
	// The entry that was paused can no longer end the trial of another.
	is.True(lostRun.End(ctx, poison.Verdict{Fingerprint: "f", State: poison.Cleared}) != nil)
}

func TestConvictionsExpireAndAreRemoved(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	now := time.Now()
	s := newStores(t, 1, func() time.Time { return now })[0]
	run, err := s.Begin(ctx, suspect)
	is.NoErr(err)
	is.NoErr(run.End(ctx, poison.Verdict{Fingerprint: "f", State: poison.Convicted}))
	now = now.Add(poison.ConvictLife + time.Second)
	stored, err := s.Load(ctx)
	is.NoErr(err)
	is.Equal(len(stored), 0)
	l, err := s.client.List(ctx, Kind)
	is.NoErr(err)
	is.Equal(len(l.Items), 0)
}

func TestNoIsolatedRunWithoutPlatform(t *testing.T) {
	is := is.New(t)
	s := New(platform.New(platform.Options{URL: "http://127.0.0.1:1", Timeout: time.Second}), nil)
	_, err := s.Begin(context.Background(), suspect)
	is.True(err != nil)
}
