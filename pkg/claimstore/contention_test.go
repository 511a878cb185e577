package claimstore

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/internal/bubble"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/idempotency"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
)

// slowObjects adds callDelay to each call, like a platform that responds within milliseconds.
type slowObjects struct {
	mu   sync.Mutex
	fake fakeObjects
}

// callDelay is the simulated duration of a platform call.
const callDelay = 5 * time.Millisecond

func (s *slowObjects) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	time.Sleep(callDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fake.Get(ctx, kind, name)
}

func (s *slowObjects) Put(ctx context.Context, kind, name string, revision int64, value any) (platform.Object, error) {
	time.Sleep(callDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fake.Put(ctx, kind, name, revision, value)
}

const (
	contentionRounds    = 10
	contentionKeyPrefix = idempotency.Key("k")
)

// commitRounds lets each writer commit a group of ops claims in each round of CommitInterval. It
// returns the number of platform calls and of rejected groups.
func commitRounds(t *testing.T, writers, ops int) (int, int) {
	objects := &slowObjects{}
	var mu sync.Mutex
	rejected := 0
	var running sync.WaitGroup
	for w := range writers {
		c := newCommitter(0, Options{Objects: objects, Now: time.Now}, New(Options{}).counters)
		running.Go(func() {
			for round := range contentionRounds {
				startedAt := time.Now()
				var group []idempotency.Op
				for i := range ops {
					id := fmt.Sprintf("%d-%d-%d", w, round, i)
					group = append(group, idempotency.Op{Kind: idempotency.Acquire, Key: contentionKeyPrefix + idempotency.Key(id), ID: id, TTL: time.Hour, Timeout: time.Minute})
				}
				if _, err := c.commit(context.Background(), group); err != nil {
					mu.Lock()
					rejected++
					mu.Unlock()
				}
				time.Sleep(CommitInterval - time.Since(startedAt)%CommitInterval)
			}
		})
	}
	running.Wait()
	t.Logf("%d writers of %d claims a round: %.1f calls a round, %d of %d groups rejected",
		writers, ops, float64(objects.fake.calls)/contentionRounds, rejected, writers*contentionRounds)
	return objects.fake.calls, rejected
}

// Guards against conflicts when a coordinator is the only writer, and compares its platform
// calls with those of 9 and 40 entries that write the partition themselves.
func TestOneCoordinatorAgainstContendingWriters(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		one, rejected := commitRounds(t, 1, 9)
		if one > contentionRounds+1 || rejected > 0 {
			t.Errorf("one coordinator made %d calls in %d rounds and had %d groups rejected", one, contentionRounds, rejected)
		}
		nine, _ := commitRounds(t, 9, 1)
		forty, _ := commitRounds(t, 40, 1)
		if nine < 9*one || forty < nine {
			t.Errorf("contention cost less than expected: %d calls by 9 entries, %d by 40", nine, forty)
		}
	})
}
