package dispatch

import "github.com/rcrowley/go-metrics"

// meters are the metrics of a dispatcher.
type meters struct {
	resumed   metrics.Counter
	completed metrics.Counter
	// notWhole counts attempts whose bytes or result did not match.
	notWhole metrics.Counter
	replayed metrics.Counter
	refused  metrics.Counter
}

func newMeters(r metrics.Registry) meters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	return meters{
		resumed:   metrics.GetOrRegisterCounter("streams_resumed", r),
		completed: metrics.GetOrRegisterCounter("streams_completed", r),
		notWhole:  metrics.GetOrRegisterCounter("answers_not_whole", r),
		replayed:  metrics.GetOrRegisterCounter("claims_replayed", r),
		refused:   metrics.GetOrRegisterCounter("claims_refused", r),
	}
}
