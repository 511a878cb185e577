package dispatch

import (
	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/routing"
)

// decisionMetrics are the metrics of the routing and retry decisions of an entry.
type decisionMetrics struct {
	// attempts counts all attempts, and retries those after the first of a request.
	attempts metrics.Counter
	retries  metrics.Counter
	// retriesWithheld counts requests that ended because the retry budget was spent.
	retriesWithheld metrics.Counter
	// rejectedOverDeadline counts requests rejected because they could not meet their deadline.
	rejectedOverDeadline metrics.Counter
	// notRun counts requests that ended without being run.
	notRun metrics.Counter
	// otherZone and otherRegion count attempts sent outside the zone or region of the entry.
	otherZone   metrics.Counter
	otherRegion metrics.Counter
	// noUpstream counts decisions that found no upstream.
	noUpstream metrics.Counter
	// promptBlocks counts the blocks of the prompts sent, and cachedBlocks those known to be
	// cached at the chosen upstream.
	promptBlocks metrics.Counter
	cachedBlocks metrics.Counter
}

// newDecisionMetrics registers the metrics; a nil registry means a private one.
func newDecisionMetrics(r metrics.Registry) decisionMetrics {
	if r == nil {
		r = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return decisionMetrics{
		attempts:             counter("entry_attempts"),
		retries:              counter("entry_retries"),
		retriesWithheld:      counter("entry_retries_withheld"),
		rejectedOverDeadline: counter("entry_refused_hopeless"),
		notRun:               counter("entry_requests_not_run"),
		otherZone:            counter("routing_other_zone"),
		otherRegion:          counter("routing_other_region"),
		noUpstream:           counter("routing_no_upstream"),
		promptBlocks:         counter("routing_prompt_blocks"),
		cachedBlocks:         counter("routing_cached_blocks"),
	}
}

// recordChoice counts an attempt at the chosen upstream, for a prompt of so many blocks.
func (m *decisionMetrics) recordChoice(c *routing.Candidate, blocks int) {
	m.attempts.Inc(1)
	switch c.Distance {
	case routing.SameRegion:
		m.otherZone.Inc(1)
	case routing.OtherRegion:
		m.otherRegion.Inc(1)
	}
	m.promptBlocks.Inc(int64(blocks))
	m.cachedBlocks.Inc(int64(c.CachedBlocks))
}

// recordEnd counts a request that ended without being run.
func (m *decisionMetrics) recordEnd(c code.Code) {
	if c.Outcome() == code.NotRun {
		m.notRun.Inc(1)
	}
}
