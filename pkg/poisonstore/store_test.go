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

func stores(t *testing.T, n int, now func() time.Time) []*Store {
	srv := httptest.NewServer(objects.New().Handler())
	t.Cleanup(srv.Close)
	var out []*Store
	for range n {
		out = append(out, New(platform.New(platform.Options{URL: srv.URL}), now))
	}
	return out
}

var suspect = poison.Verdict{Fingerprint: "f", State: poison.Suspect}

func TestOneOfNineEntriesTriesASuspect(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var won sync.Map
	var entries sync.WaitGroup
	for n, s := range stores(t, 9, nil) {
		entries.Go(func() {
			if trial, err := s.Begin(ctx, suspect); err == nil {
				won.Store(n, trial)
			}
		})
	}
	entries.Wait()
	count := 0
	won.Range(func(any, any) bool {
		count++
		return true
	})
	is.Equal(count, 1)
}

func TestTrialEnds(t *testing.T) {
	cases := []struct {
		state poison.State
		want  error
		kept  int
	}{
		{poison.Cleared, nil, 0},
		{poison.Suspect, nil, 0},
		{poison.Convicted, ErrConvicted, 1},
	}
	for _, c := range cases {
		t.Run(string(c.state), func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			s := stores(t, 2, nil)
			trial, err := s[0].Begin(ctx, suspect)
			is.NoErr(err)
			_, err = s[1].Begin(ctx, suspect)
			is.Equal(err, ErrBusy)
			is.NoErr(trial.End(ctx, poison.Verdict{Fingerprint: "f", State: c.state}))
			kept, err := s[1].Load(ctx)
			is.NoErr(err)
			is.Equal(len(kept), c.kept)
			_, err = s[1].Begin(ctx, suspect)
			is.Equal(err, c.want)
		})
	}
}

func TestTrialOfALostEntryIsTakenOverOnceItsTimeIsUp(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	now := time.Now()
	s := stores(t, 2, func() time.Time { return now })
	lost, err := s[0].Begin(ctx, suspect)
	is.NoErr(err)
	now = now.Add(TrialLife + time.Millisecond)
	_, err = s[1].Begin(ctx, suspect)
	is.NoErr(err)
	// The entry that was paused can no longer end the trial of another.
	is.True(lost.End(ctx, poison.Verdict{Fingerprint: "f", State: poison.Cleared}) != nil)
}

func TestConvictionsExpireAndAreRemoved(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	now := time.Now()
	s := stores(t, 1, func() time.Time { return now })[0]
	trial, err := s.Begin(ctx, suspect)
	is.NoErr(err)
	is.NoErr(trial.End(ctx, poison.Verdict{Fingerprint: "f", State: poison.Convicted}))
	now = now.Add(poison.ConvictLife + time.Second)
	kept, err := s.Load(ctx)
	is.NoErr(err)
	is.Equal(len(kept), 0)
	l, err := s.platform.List(ctx, Kind)
	is.NoErr(err)
	is.Equal(len(l.Items), 0)
}

func TestNoTrialWithoutThePlatform(t *testing.T) {
	is := is.New(t)
	s := New(platform.New(platform.Options{URL: "http://127.0.0.1:1", Timeout: time.Second}), nil)
	_, err := s.Begin(context.Background(), suspect)
	is.True(err != nil)
}
