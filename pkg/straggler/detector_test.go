package straggler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const groupSize = 64

// samples returns an interval in which rank 3 has the load and the slowness, with a
// noise of 5% in the pace of every rank.
func samples(r *rand.Rand, load, slowness float64) []Sample {
	out := make([]Sample, groupSize)
	for i := range out {
		out[i] = Sample{Answered: true, Load: 1000}
		pace := 1 + 0.05*r.NormFloat64()
		if i == 3 {
			out[i].Load *= load
			pace *= slowness
		}
		out[i].Busy = time.Duration(out[i].Load * pace * float64(time.Microsecond))
	}
	return out
}

func TestTellsSlowFromOverloaded(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	d := New(groupSize)
	var last []Verdict
	for range 20 {
		last = d.Observe(samples(r, 1.4, 1))
	}
	is.Equal(last[3].State, Overloaded) // much to do at an ordinary pace
	for range 20 {
		last = d.Observe(samples(r, 0.7, 1.4))
	}
	is.Equal(last[3].State, Slow) // slow although it has little to do
	is.True(Handicaps(last)[3] > 0.2)
	is.Equal(Handicaps(last)[4], 0.0)
	is.True(!last[3].Replace)
}

// TestDoesNotFlap counts the changes of state of ranks at a pace around the bounds.
func TestDoesNotFlap(t *testing.T) {
	for _, slowness := range []float64{1, 1.05, 1.1, 1.15, 1.2} {
		r := rand.New(rand.NewPCG(2, 2))
		d := New(groupSize)
		changes, wrong := 0, 0
		former := make([]Verdict, groupSize)
		for range 2_000 {
			now := d.Observe(samples(r, 1, slowness))
			for i := range now {
				if now[i].State != former[i].State && i == 3 {
					changes++
				}
				if i != 3 && now[i].State == Slow {
					wrong++
				}
			}
			former = now
		}
		t.Logf("slowness %.2f: %d changes of state in 2000 intervals, %d verdicts on healthy ranks", slowness, changes, wrong)
		is := is.New(t)
		is.True(changes <= 20)
		is.True(wrong <= groupSize*2_000/1_000)
	}
}

func TestReplacesTheWorstOnly(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(3, 3))
	d := New(groupSize)
	var last []Verdict
	for range replaceAfterIntervals + slowConfirmIntervals {
		s := samples(r, 1, 2)
		s[7].Busy *= 3
		s[9].Answered = false
		last = d.Observe(s)
	}
	is.True(last[9].Replace) // a rank that does not answer comes first
	is.True(!last[7].Replace && !last[3].Replace)
	d.Replaced(9)
	s := samples(r, 1, 2)
	s[7].Busy *= 3
	last = d.Observe(s)
	is.True(last[7].Replace)
	is.True(!last[3].Replace && !last[9].Replace)
}
