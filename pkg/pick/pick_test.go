package pick

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func alwaysHalf() float64 { return 0.5 }

func TestBest(t *testing.T) {
	for _, c := range []struct {
		name string
		list []Candidate
		want int
	}{
		{"none", nil, -1},
		{"the less loaded one", []Candidate{{Running: 3, Capacity: 6}, {Running: 2, Capacity: 6}}, 1},
		{"the larger one", []Candidate{{Running: 2, Capacity: 6}, {Running: 2, Capacity: 12}}, 1},
		{"not the failing one", []Candidate{{Capacity: 6, Failures: 0.6}, {Running: 5, Capacity: 6}}, 1},
		{"not the slow one", []Candidate{{Capacity: 6, Slowdown: 5}, {Running: 2, Capacity: 6, Slowdown: 1}}, 1},
		{"the own zone", []Candidate{{Capacity: 6, OtherZone: true}, {Capacity: 6}}, 1},
		{"an overloaded one before an unconfirmed one", []Candidate{{Capacity: 6, Unconfirmed: true}, {Running: 30, Capacity: 6}}, 1},
		{"a suspended one when there is no other", []Candidate{{Capacity: 6, Suspended: true}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(Best(c.list, alwaysHalf), c.want)
		})
	}
}

// Nine entries share a cold upstream that accepts 36 starts per second. Together they must not make
// more than 1.5 times as many plus five in any second.
func TestColdStartsStayWithinTheLimitOverAllEntries(t *testing.T) {
	is := is.New(t)
	const entries, rate, limit = 9, 36.0, 36*1.5 + 5
	buckets := make([]TokenBucket, entries)
	var starts []time.Duration
	begin := time.Unix(100, 0)
	for at := time.Duration(0); at < 3*time.Second; at += 5 * time.Millisecond {
		for i := range buckets {
			if buckets[i].Take(rate/entries, begin.Add(at)) {
				starts = append(starts, at)
			}
		}
	}
	worst := 0
	for i := range starts {
		n := 0
		for _, s := range starts[i:] {
			if s-starts[i] < time.Second {
				n++
			}
		}
		worst = max(worst, n)
	}
	is.True(worst <= limit)
	is.True(worst >= 30) // and most of the accepted rate is used
}
