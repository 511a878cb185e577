package steward

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/placement"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/route"
)

// SHORT: a rank loaded two experts for one map, however small they were. With 16 layers a map then changed three
// experts a layer, and demand had shifted again before the group was in balance.
func TestSmallExpertsAreLoadedManyAtATime(t *testing.T) {
	is := is.New(t)
	is.Equal(loadsPerPlan(&route.Engine{ExpertLoadTime: 111 * time.Millisecond}), minLoadsPerPlan)
	is.Equal(loadsPerPlan(&route.Engine{}), minLoadsPerPlan)
	const layers, experts, ranks = 16, 96, 24
	small := &route.Engine{ExpertLoadTime: 27 * time.Millisecond}
	is.True(time.Duration(loadsPerPlan(small))*small.ExpertLoadTime <= maxPlanLoadTime)
	planner := placement.EvenPlanner{Slots: 5, MaxNewPerLayer: 2, MaxNewPerPlan: loadsPerPlan(small), GoalSkew: targetSkew}
	current := make([][][]int, layers)
	loads := make([][]float64, layers)
	for i := range layers {
		current[i] = make([][]int, ranks)
		loads[i] = make([]float64, experts)
		for e := range experts {
			current[i][e%ranks] = append(current[i][e%ranks], e)
			loads[i][(e*7+i*13)%experts] = math.Pow(float64(1+e), -0.9)
		}
	}
	before := planner.Skew(current, loads)
	is.True(before > 2)
	for range 2 {
		current = planner.Plan(current, loads).Experts
	}
	after := planner.Skew(current, loads)
	t.Logf("skew %.2f before, %.2f after two plans", before, after)
	is.True(after < 1+(before-1)/3) // two thirds of the excess are gone
}

// SHORT: a group of 72 ranks stood still for some 80 ms at each change of its map, as orders to it take longer than two
// passes; every running stream then had one pause too long.
func TestLargeGroupsSwitchLater(t *testing.T) {
	is := is.New(t)
	const long = safePassesAheadPeriod
	is.Equal(passesAhead(16, long), int64(mapswitch.DefaultPassesAhead))
	is.Equal(passesAhead(72, long), int64(mapswitch.SafePassesAhead))
	is.Equal(passesAhead(16, long-1), int64(mapswitch.SafePassesAhead)) // an order had no response
}
