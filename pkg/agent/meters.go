package agent

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/poison"
)

// meters are the metrics of an agent.
type meters struct {
	completed   metrics.Counter
	failed      metrics.Counter
	rejected    metrics.Counter
	serviceTime metrics.Timer
	// surplus counts the requests evicted from the queue for lack of capacity.
	surplus metrics.Counter
	// coldResets counts how often the upstream became cold.
	coldResets metrics.Counter
	limit      metrics.Gauge
	// suspects, cleared and convicted count the verdicts recorded.
	suspects  metrics.Counter
	cleared   metrics.Counter
	convicted metrics.Counter
}

func newMeters(r metrics.Registry) meters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	return meters{
		completed:   metrics.GetOrRegisterCounter("agent_work_whole", r),
		failed:      metrics.GetOrRegisterCounter("agent_work_failed", r),
		rejected:    metrics.GetOrRegisterCounter("agent_work_refused", r),
		serviceTime: metrics.GetOrRegisterTimer("agent_service_seconds", r),
		surplus:     metrics.GetOrRegisterCounter("agent_surplus_given_back", r),
		coldResets:  metrics.GetOrRegisterCounter("agent_upstream_cold", r),
		limit:       metrics.GetOrRegisterGauge("agent_limit", r),
		suspects:    metrics.GetOrRegisterCounter("agent_requests_suspect", r),
		cleared:     metrics.GetOrRegisterCounter("agent_requests_cleared", r),
		convicted:   metrics.GetOrRegisterCounter("agent_requests_convicted", r),
	}
}

// countVerdict counts a verdict by its state.
func (m meters) countVerdict(s poison.State) {
	switch s {
	case poison.Suspect:
		m.suspects.Inc(1)
	case poison.Cleared:
		m.cleared.Inc(1)
	case poison.Convicted:
		m.convicted.Inc(1)
	}
}

// recordEnd records the service time and the result code of a run.
func (m meters) recordEnd(c code.Code, took time.Duration) {
	m.serviceTime.Update(took)
	if c == code.OK {
		m.completed.Inc(1)
		return
	}
	m.failed.Inc(1)
}
