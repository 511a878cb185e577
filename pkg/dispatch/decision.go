package dispatch

import (
	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/routing"
)

// decisionMeters are the metrics of the decisions of an entry.
type decisionMeters struct {
	attempts   metrics.Counter
	retries    metrics.Counter
	withheld   metrics.Counter
	hopeless   metrics.Counter
	notRun     metrics.Counter
	otherZone  metrics.Counter
	farAway    metrics.Counter
	noUpstream metrics.Counter
	blocks     metrics.Counter
	cached     metrics.Counter
}

func newDecisionMeters(r metrics.Registry) decisionMeters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return decisionMeters{
		attempts:   counter("entry_attempts"),
		retries:    counter("entry_retries"),
		withheld:   counter("entry_retries_withheld"),
		hopeless:   counter("entry_refused_hopeless"),
		notRun:     counter("entry_requests_not_run"),
		otherZone:  counter("routing_other_zone"),
		farAway:    counter("routing_other_region"),
		noUpstream: counter("routing_no_upstream"),
		blocks:     counter("routing_prompt_blocks"),
		cached:     counter("routing_cached_blocks"),
	}
}

// chose notes a decision.
func (m *decisionMeters) chose(c *routing.Candidate, blocks int) {
	m.attempts.Inc(1)
	switch c.Distance {
	case routing.SameRegion:
		m.otherZone.Inc(1)
	case routing.OtherRegion:
		m.farAway.Inc(1)
	}
	m.blocks.Inc(int64(blocks))
	m.cached.Inc(int64(c.CachedBlocks))
}

// ended notes the end of a request.
func (m *decisionMeters) ended(c code.Code) {
	if c.Outcome() == code.NotRun {
		m.notRun.Inc(1)
	}
}
