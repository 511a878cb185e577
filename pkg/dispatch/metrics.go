package dispatch

import "github.com/rcrowley/go-metrics"

// dispatcherMetrics are the metrics of a dispatcher.
type dispatcherMetrics struct {
	streamsResumed   metrics.Counter
	streamsCompleted metrics.Counter
	// incompleteResponses counts attempts whose bytes or result did not match.
	incompleteResponses metrics.Counter
	claimsReplayed      metrics.Counter
	claimsRefused       metrics.Counter
}

func newDispatcherMetrics(r metrics.Registry) dispatcherMetrics {
	if r == nil {
		r = metrics.NewRegistry()
	}
	return dispatcherMetrics{
		streamsResumed:      metrics.GetOrRegisterCounter("streams_resumed", r),
		streamsCompleted:    metrics.GetOrRegisterCounter("streams_completed", r),
		incompleteResponses: metrics.GetOrRegisterCounter("answers_not_whole", r),
		claimsReplayed:      metrics.GetOrRegisterCounter("claims_replayed", r),
		claimsRefused:       metrics.GetOrRegisterCounter("claims_refused", r),
	}
}
