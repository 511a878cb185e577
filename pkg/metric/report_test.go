package metric

import (
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

// The line on control traffic told totals in place of what was sent since the last line, or named counters of
// requests.
func TestGrowthOfCounters(t *testing.T) {
	is := is.New(t)
	m, last := metrics.NewRegistry(), map[string]int64{}
	metrics.GetOrRegisterCounter("peer_calls_b", m).Inc(2)
	metrics.GetOrRegisterCounter("peer_calls_a", m).Inc(3)
	metrics.GetOrRegisterCounter("answers", m).Inc(1)
	is.Equal(growth(m, last, []string{"peer_"}), []any{"peer_calls_a", int64(3), "peer_calls_b", int64(2)})
	is.Equal(len(growth(m, last, []string{"peer_"})), 0)
	metrics.GetOrRegisterCounter("peer_calls_a", m).Inc(1)
	is.Equal(growth(m, last, []string{"peer_"}), []any{"peer_calls_a", int64(1)})
}
