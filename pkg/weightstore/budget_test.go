package weightstore

import (
	"context"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/coltsfootpitch/coltsfootpitch/internal/fixedseed"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standin/objects"
)

// TestGrantsStayWithinRate makes random claims of groups whose clocks differ by up to a window,
// and compares the grants of every span of time with the bound in the package documentation.
func TestGrantsStayWithinRate(t *testing.T) {
	const (
		window = 10
		total  = 1000
		ahead  = 10
	)
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		groups := rapid.IntRange(1, 6).Draw(t, "groups")
		clock := make([]int64, groups)
		for g := range clock {
			clock[g] = rapid.Int64Range(0, ahead).Draw(t, "clock")
		}
		var granted []int64
		for now := range int64(200) {
			spent := int64(0)
			for range rapid.IntRange(0, 3).Draw(t, "claims") {
				g := rapid.IntRange(0, groups-1).Draw(t, "group")
				want := rapid.Int64Range(0, 2*total).Draw(t, "want")
				next, n := b.Claim(strconv.Itoa(g), (now+clock[g])/window, want, total)
				if n < 0 || n > want {
					t.Fatalf("%d granted of %d", n, want)
				}
				b = next
				spent += n
			}
			granted = append(granted, spent)
		}
		for from := range granted {
			sum := int64(0)
			for to := from; to < len(granted); to++ {
				sum += granted[to]
				limit := int64(total * (to - from + 1 + 2*window + 2*ahead) / window)
				if sum > limit {
					t.Fatalf("%d bytes granted from %d to %d, limit %d", sum, from, to, limit)
				}
			}
		}
	})
}

// TestSingleGroupGetsWholeWindowWithoutStarvingOthers checks that a group without competition is
// granted the whole window, and that in the next window a part is reserved for a group that was
// granted nothing.
func TestSingleGroupGetsWholeWindowWithoutStarvingOthers(t *testing.T) {
	is := is.New(t)
	b, n := Budget{}.Claim("large", 1, 5000, 1000)
	is.Equal(n, int64(1000)) // no other group has claimed
	b, n = b.Claim("small", 1, 100, 1000)
	is.Equal(n, int64(0)) // nothing is left, but the claim is stored
	b, n = b.Claim("large", 2, 5000, 1000)
	is.Equal(n, int64(667)) // a part is reserved for the small group
	b, n = b.Claim("small", 2, 100, 1000)
	is.Equal(n, int64(100))
	_, n = b.Claim("large", 1, 1, 1000)
	is.Equal(n, int64(0)) // an older window
}

// TestConcurrentClaims checks that concurrent claims are granted no more than the rate allows.
func TestConcurrentClaims(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(objects.New().Handler())
	defer srv.Close()
	const rate = 8_000
	now := time.Unix(1_000_000, 0)
	var sum atomic.Int64
	var all sync.WaitGroup
	for g := range 12 {
		all.Go(func() {
			c := platform.New(platform.Options{URL: srv.URL})
			// A claim that fails after too many conflicts is granted nothing.
			n, _ := NewBudgetClient(c, "group-"+strconv.Itoa(g), rate).Claim(context.Background(), now, 1<<40)
			sum.Add(n)
		})
	}
	all.Wait()
	is.True(sum.Load() > 0)
	is.True(sum.Load() <= rate*int64(WindowDuration/time.Second))
}
