package engine_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/engine"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/prefix"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standin/model"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/upstream"
)

// The events that an engine publishes must identify the blocks of the prompts that it ran by the
// same hashes that entries compute from a request.
func TestCacheEventsIdentifyThePromptsThatRan(t *testing.T) {
	is := is.New(t)
	s := model.New(model.Options{Models: []string{"m"}, ColdLimit: 4, WarmLimit: 4})
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	c := engine.New(srv.URL)
	message := `{"role":"user","content":"` + strings.Repeat("debrief ", 200) + `"}`
	body := `{"model":"m","max_tokens":1,"messages":[` + message + `]}`
	_, err := c.Run(context.Background(), peer.RunRequest{
		Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte(body), Idempotent: true,
		Headers: []peer.Header{{Name: "Content-Type", Value: "application/json"}},
	}, func(upstream.Part) error { return nil })
	is.NoErr(err)
	want := prefix.BlockHashes(nil, []byte("m"+message))
	is.True(len(want) > 3)
	e := pollCacheEvents(t, c, 0)
	is.True(e.Cleared) // a new engine starts with an empty cache
	is.Equal(e.Stored, want)
	s.Crash()
	is.True(pollCacheEvents(t, c, e.Next).Cleared)
}

// pollCacheEvents polls the engine until it publishes stored blocks or, if after is positive, a
// cleared cache.
func pollCacheEvents(t *testing.T, c *engine.Client, after int64) prefix.Events {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for {
		e, err := c.CacheEvents(ctx, after)
		if err != nil {
			t.Fatal(err)
		}
		if len(e.Stored) > 0 || e.Cleared && after > 0 {
			return e
		}
		time.Sleep(10 * time.Millisecond)
	}
}
