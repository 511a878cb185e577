package agent

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

// meters are the metrics of an agent.
type meters struct {
	whole   metrics.Counter
	failed  metrics.Counter
	refused metrics.Counter
	service metrics.Timer
}

func newMeters(r metrics.Registry) meters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	return meters{
		whole:   metrics.GetOrRegisterCounter("agent_work_whole", r),
		failed:  metrics.GetOrRegisterCounter("agent_work_failed", r),
		refused: metrics.GetOrRegisterCounter("agent_work_refused", r),
		service: metrics.GetOrRegisterTimer("agent_service_seconds", r),
	}
}

func (m meters) ended(c code.Code, took time.Duration) {
	m.service.Update(took)
	if c == code.OK {
		m.whole.Inc(1)
		return
	}
	m.failed.Inc(1)
}
