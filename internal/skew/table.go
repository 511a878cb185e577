package skew

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
)

// expertBytes is the size of one expert's weights: three matrices of 7168 by 2048 in
// 8 bits.
const expertBytes = 3 * 7168 * 2048

// Cases returns the cases of the measurement, with the sizes of c: each drift with Zipf
// exponents 0.4, 0.8 and 1.2 and one spare slot, and 1.2 also with two.
func Cases(c Case) []Case {
	var out []Case
	for _, kind := range DriftKinds {
		for _, p := range []struct {
			exponent float64
			spare    int
		}{{0.4, 1}, {0.8, 1}, {1.2, 2}, {1.2, 1}} {
			c.Drift = kind
			c.Exponent = p.exponent
			c.SpareSlots = p.spare
			out = append(out, c)
		}
	}
	return out
}

// parallelRuns is the maximum number of cases that run concurrently.
const parallelRuns = 3

// RunAll runs cases concurrently and returns their results in the same order.
func RunAll(cases []Case) []Result {
	out := make([]Result, len(cases))
	slots := make(chan struct{}, parallelRuns)
	var all sync.WaitGroup
	for i, c := range cases {
		slots <- struct{}{}
		all.Go(func() {
			out[i] = Run(c)
			<-slots
		})
	}
	all.Wait()
	return out
}

// WriteTable writes one line for each policy of each result. A skew of 1 is the lower bound.
func WriteTable(w io.Writer, results []Result) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "drift\tzipf\tspare\tpolicy\tmean\tp95\tp99\tmax\tloads\tGB\tplans\tof full\t")
	for _, r := range results {
		line := func(policy string, s Series) {
			loadFraction := 0.0
			if r.FullRecompute.ReplicaLoads > 0 {
				loadFraction = float64(s.ReplicaLoads) / float64(r.FullRecompute.ReplicaLoads)
			}
			fmt.Fprintf(t, "%s\t%.1f\t%d\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%.1f\t%d\t%.4f\t\n",
				r.Case.Drift, r.Case.Exponent, r.Case.SpareSlots, policy,
				s.Mean(), s.Quantile(0.95), s.Quantile(0.99), s.Quantile(1),
				s.ReplicaLoads, float64(s.ReplicaLoads)*expertBytes/1e9, s.Plans, loadFraction)
		}
		line("none", r.NoRebalancing)
		line("full", r.FullRecompute)
		line("planner", r.Planner)
	}
	// Flush fails only when w does, and the table is informational.
	_ = t.Flush()
}
