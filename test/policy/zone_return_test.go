package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

const (
	zoneOutAt = 60 * time.Second
	zoneInAt  = 80 * time.Second
)

// leastReported chooses the agent with the lowest load in the newest reports, and does not count
// the requests that the entry has sent since.
func leastReported(e *entry, r *request) int {
	best := -1
	e.tieOffset++
	for n := range e.candidates {
		i := (n + e.tieOffset) % len(e.candidates)
		c := &e.candidates[i]
		if e.isUsable(i, r) && (best < 0 || c.Running+c.Queued < e.candidates[best].Running+e.candidates[best].Queued) {
			best = i
		}
	}
	return best
}

// zoneReturnResult holds the measurements of a zone after its return.
type zoneReturnResult struct {
	// maxQueue is the longest queue at an agent of the zone in the ten seconds after its return.
	maxQueue int
	// shareBySecond is the share of all running work that is in the zone, by second after its
	// return.
	shareBySecond []float64
	p95           time.Duration
}

// measureZoneReturn takes the agents of one zone out and returns them cold.
func measureZoneReturn(policy routeFunc) zoneReturnResult {
	sim := newSimulation(5)
	sim.addAgents(agentCount)
	sim.addEntries(policy)
	sim.generateRequests(traffic{rate: constantRate(0.6 * capacityPerSecond), prompt: emptyPrompt, tokens: tokensPerRequest, deadline: 10 * time.Second})
	var zone []*agent
	for i, a := range sim.agents {
		if i%3 == 0 {
			zone = append(zone, a)
		}
	}
	sim.schedule(zoneOutAt, func() {
		for _, a := range zone {
			a.zoneOut = true
			a.rejectAllWaiting(code.ZoneOut)
		}
	})
	sim.schedule(zoneInAt, func() {
		for _, a := range zone {
			a.zoneOut = false
			a.limiter.Reset()
		}
	})
	h := zoneReturnResult{}
	for at := zoneInAt; at < zoneInAt+10*time.Second; at += 10 * time.Millisecond {
		sim.schedule(at, func() {
			for _, a := range zone {
				h.maxQueue = max(h.maxQueue, a.queue.Len())
			}
		})
	}
	for s := range 10 {
		sim.schedule(zoneInAt+time.Duration(s)*time.Second+time.Second/2, func() { h.shareBySecond = append(h.shareBySecond, runningShare(sim, zone)) })
	}
	sim.run(100 * time.Second)
	h.p95 = firstTokenP95(sim, 80, 90)
	return h
}

// runningShare returns the share of all running work that is at the given agents.
func runningShare(sim *simulation, agents []*agent) float64 {
	all, here := 0, 0
	for _, a := range sim.agents {
		all += a.limiter.Running()
	}
	for _, a := range agents {
		here += a.limiter.Running()
	}
	return float64(here) / float64(max(all, 1))
}

// TestNoHerdOnReturnedZone guards against a thundering herd: nine entries with outdated reports
// that all route to the idle agents of a returned zone at once. The share of the zone must rise
// as its upstreams warm up, with no longer queues or first-token times than under any baseline.
func TestNoHerdOnReturnedZone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ours := measureZoneReturn(systemRoute)
	for _, p := range append(policies, struct {
		name  string
		route routeFunc
	}{"least reported", leastReported}) {
		h := measureZoneReturn(p.route)
		t.Logf("%s: longest queue %d, p95 %v, share by second %.2f", p.name, h.maxQueue, h.p95, h.shareBySecond)
		is.True(ours.maxQueue <= h.maxQueue)
		is.True(ours.p95 <= h.p95)
	}
	is.True(ours.shareBySecond[0] < ours.shareBySecond[9]) // the share ramps up
	is.True(ours.shareBySecond[9] > 0.25)                  // and approaches the even share of 6 in 16
}
