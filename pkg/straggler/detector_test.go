package straggler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const groupSize = 64

// samples returns the samples of an interval in which rank 3 has the given load, relative to the
// others, and slowdown. Every rank's time per unit of load has a normal noise of 5%.
func samples(r *rand.Rand, load, slowdown float64) []Sample {
	out := make([]Sample, groupSize)
	for i := range out {
		out[i] = Sample{Reported: true, Load: 1000}
		timePerLoad := 1 + 0.05*r.NormFloat64()
		if i == 3 {
			out[i].Load *= load
			timePerLoad *= slowdown
		}
		out[i].ComputeTime = time.Duration(out[i].Load * timePerLoad * float64(time.Microsecond))
	}
	return out
}

func TestDistinguishesSlowFromOverloaded(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	d := New(groupSize)
	var last []Verdict
	for range 20 {
		last = d.Observe(samples(r, 1.4, 1))
	}
	is.Equal(last[3].State, Overloaded) // a high load at a usual time per unit of load
	for range 20 {
		last = d.Observe(samples(r, 0.7, 1.4))
	}
	is.Equal(last[3].State, Slow) // slow although its load is low
	is.True(LoadReductions(last)[3] > 0.2)
	is.Equal(LoadReductions(last)[4], 0.0)
	is.True(!last[3].Replace)
}

// Noise around the thresholds must not make the state of a rank flap, as each change of state can
// move load. The test also limits the verdicts on healthy ranks.
func TestDoesNotFlap(t *testing.T) {
	for _, slowdown := range []float64{1, 1.05, 1.1, 1.15, 1.2} {
		r := rand.New(rand.NewPCG(2, 2))
		d := New(groupSize)
		changes, wrong := 0, 0
		previous := make([]Verdict, groupSize)
		for range 2_000 {
			now := d.Observe(samples(r, 1, slowdown))
			for i := range now {
				if now[i].State != previous[i].State && i == 3 {
					changes++
				}
				if i != 3 && now[i].State == Slow {
					wrong++
				}
			}
			previous = now
		}
		t.Logf("slowdown %.2f: %d changes of state in 2000 intervals, %d verdicts on healthy ranks", slowdown, changes, wrong)
		is := is.New(t)
		is.True(changes <= 20)
		is.True(wrong <= groupSize*2_000/1_000)
	}
}

func TestNamesOnlyTheWorstRankForReplacement(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(3, 3))
	d := New(groupSize)
	var last []Verdict
	for range replaceAfterIntervals + slowConfirmIntervals {
		s := samples(r, 1, 2)
		s[7].ComputeTime *= 3
		s[9].Reported = false
		last = d.Observe(s)
	}
	is.True(last[9].Replace) // a rank that does not report comes first
	is.True(!last[7].Replace && !last[3].Replace)
	d.Reset(9)
	s := samples(r, 1, 2)
	s[7].ComputeTime *= 3
	last = d.Observe(s)
	is.True(last[7].Replace)
	is.True(!last[3].Replace && !last[9].Replace)
}
