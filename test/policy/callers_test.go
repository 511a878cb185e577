package policy

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

// traffic describes the load that callers generate.
type traffic struct {
	// rate returns the number of new requests per second at a virtual time.
	rate func(now time.Duration) float64
	// prompt returns the hashes of the prompt blocks of a new request.
	prompt func(sim *simulation) []uint64
	tokens int
	// deadline is the caller's timeout.
	deadline time.Duration
	// impatientShare is the share of the callers that resend after impatientRetryDelay instead of
	// the retry delay of the response.
	impatientShare float64
}

// impatientRetryDelay is the delay before impatient callers resend a failed request.
const impatientRetryDelay = 100 * time.Millisecond

// generateRequests sends new requests at the rate of the traffic until the run ends.
func (sim *simulation) generateRequests(t traffic) {
	rate := t.rate(sim.now)
	sim.schedule(time.Duration(sim.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		sim.counts.firstSendsBySecond[sim.now/time.Second]++
		r := &request{
			id: numberedName("request", sim.seq), org: sim.pickOrganisation(), blocks: t.prompt(sim),
			tokens: t.tokens/2 + sim.rng.IntN(t.tokens+1), deadline: t.deadline,
		}
		sim.send(t, r, sim.rng.Float64() < t.impatientShare)
		sim.generateRequests(t)
	})
}

// send sends a request to a random entry, and resends it up to maxResends times if it fails.
func (sim *simulation) send(t traffic, r *request, impatient bool) {
	r.onEnd = func(c code.Code, after time.Duration) {
		if c == code.OK {
			sim.counts.responses++
			sim.counts.responsesBySecond[sim.now/time.Second]++
			return
		}
		if r.resends == maxResends {
			sim.counts.abandoned++
			return
		}
		again := &request{
			id: r.id + "'", org: r.org, blocks: r.blocks, tokens: r.tokens,
			deadline: r.deadline, resends: r.resends + 1,
		}
		if impatient {
			after = impatientRetryDelay
		}
		sim.schedule(after, func() { sim.send(t, again, impatient) })
	}
	e := sim.entries[sim.rng.IntN(len(sim.entries))]
	sim.schedule(callerDelay, func() { e.dispatch(r) })
}

// emptyPrompt returns a prompt too short for a full block.
func emptyPrompt(*simulation) []uint64 { return nil }

func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}
