package skew

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestPlannerTargetsUnderDrift checks on small runs that the planner keeps the 95th percentile of
// the skew and the share of loaded replicas, relative to a full recompute, under their targets.
func TestPlannerTargetsUnderDrift(t *testing.T) {
	const (
		maxP95Skew      = 1.05
		maxLoadFraction = 0.1
		layers          = 2
		// intervals is long enough for one sudden change and seven changes of the hot organisation.
		intervals = 480
	)
	for _, c := range Cases(Case{Layers: layers, Ranks: 64, Experts: 128, Intervals: intervals, Seed: 1}) {
		if c.Drift == AdversarialDrift || c.Exponent > 0.8 && c.SpareSlots < 2 {
			continue
		}
		t.Run(fmt.Sprintf("%s/zipf=%.1f/spare=%d", c.Drift, c.Exponent, c.SpareSlots), func(t *testing.T) {
			t.Parallel()
			r := Run(c)
			t.Logf("p95 %.3f, full recompute %.3f, loads %d of %d",
				r.Planner.Quantile(0.95), r.FullRecompute.Quantile(0.95), r.Planner.ReplicaLoads, r.FullRecompute.ReplicaLoads)
			is := is.New(t)
			is.True(r.Planner.Quantile(0.95) <= maxP95Skew)
			is.True(float64(r.Planner.ReplicaLoads) <= maxLoadFraction*float64(r.FullRecompute.ReplicaLoads))
		})
	}
}
