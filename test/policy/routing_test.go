package policy

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/routing"
)

// workload describes the traffic of one deployment.
type workload struct {
	name string
	// prefixes is the number of prompt prefixes in use and prefixBlocks their length in blocks.
	prefixes     int
	prefixBlocks int
	// uniqueBlocks is the number of further blocks of a prompt, which no other request has.
	uniqueBlocks int
	tokens       int
	rate         float64
	// driftPeriod is the interval at which the popularity of the prefixes changes.
	driftPeriod time.Duration
}

var workloads = []workload{
	{name: "Nordvik Sukker Mottak", prefixes: 150, prefixBlocks: 8, uniqueBlocks: 1, tokens: 24, rate: 230, driftPeriod: 20 * time.Second},
	{name: "Bois Chéri", prefixes: 60, prefixBlocks: 24, uniqueBlocks: 3, tokens: 48, rate: 110, driftPeriod: 25 * time.Second},
}

// prompt returns the blocks of a random prompt. The popularity of a prefix decreases with its
// rank, and the ranks shift every driftPeriod.
func (l workload) prompt(sim *simulation) []uint64 {
	rank := int(math.Pow(float64(l.prefixes), sim.rng.Float64())) - 1
	group := uint64(rank+int(sim.now/l.driftPeriod)*l.prefixes/3) % uint64(l.prefixes)
	var blocks []uint64
	for i := range l.prefixBlocks {
		blocks = append(blocks, routing.Score(group+1, uint64(i)+1))
	}
	for range l.uniqueBlocks {
		blocks = append(blocks, sim.rng.Uint64())
	}
	return blocks
}

// policies lists the baselines and, as the last element, the routing of the system.
var policies = []struct {
	name  string
	route routeFunc
}{
	{"round robin", roundRobin},
	{"least requests", leastRequests},
	{"two choices", twoChoices},
	{"coltsfootpitch", systemRoute},
}

// routingResult holds the measurements of one run: percentiles of the time to the first token,
// the hit rate of the prefix caches, the mean imbalance and the number of successful responses.
type routingResult struct {
	p50, p95, p99 time.Duration
	hitRate       float64
	imbalance     float64
	responses     int
}

const routingRunTime = 75 * time.Second

func runWorkload(l workload, policy routeFunc) routingResult {
	sim := newSimulation(7)
	sim.addAgents(agentCount)
	sim.addEntries(policy)
	sim.generateRequests(traffic{rate: constantRate(l.rate), prompt: l.prompt, tokens: l.tokens, deadline: 30 * time.Second})
	sim.schedule(30*time.Second, sim.sampleImbalance)
	sim.run(routingRunTime)
	var all []time.Duration
	for s := 25; s < int(routingRunTime/time.Second)-10; s++ {
		all = append(all, sim.counts.firstTokenBySecond[s]...)
	}
	mean := 0.0
	for _, v := range sim.counts.imbalance {
		mean += v / float64(len(sim.counts.imbalance))
	}
	return routingResult{
		quantile(all, 0.5), quantile(all, 0.95), quantile(all, 0.99),
		float64(sim.counts.cachedBlocks) / float64(sim.counts.promptBlocks), mean, sim.counts.responses,
	}
}

// sampleImbalance records every second the largest load of an agent relative to the mean.
func (sim *simulation) sampleImbalance() {
	total, most := 0, 0
	for _, a := range sim.agents {
		n := a.limiter.Running() + a.queue.Len()
		total += n
		most = max(most, n)
	}
	if total > 0 {
		sim.counts.imbalance = append(sim.counts.imbalance, float64(most*len(sim.agents))/float64(total))
	}
	sim.schedule(time.Second, sim.sampleImbalance)
}

// TestRoutingAgainstBaselines checks that the routing of the system has the lowest p95 and p99 of
// the time to the first token and the highest cache hit rate of all policies, on both workloads.
func TestRoutingAgainstBaselines(t *testing.T) {
	for _, l := range workloads {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ours := runWorkload(l, systemRoute)
			for i, p := range policies {
				m := ours
				if i < len(policies)-1 {
					m = runWorkload(l, p.route)
				}
				t.Logf("| %s | %d | %d | %d | %.1f%% | %.2f | %d |", p.name, m.p50.Milliseconds(), m.p95.Milliseconds(), m.p99.Milliseconds(), 100*m.hitRate, m.imbalance, m.responses)
				is.True(ours.p95 <= m.p95)
				is.True(ours.p99 <= m.p99)
				is.True(ours.hitRate >= m.hitRate)
			}
		})
	}
}
