package dispatch

import "github.com/rcrowley/go-metrics"

// dispatcherMetrics counts resumed streams, incomplete responses and claims.
type dispatcherMetrics struct {
	// streamsResumed counts streams that another attempt continued, and streamsCompleted those
	// that lacked only their closing events.
	streamsResumed   metrics.Counter
	streamsCompleted metrics.Counter
	// incompleteResponses counts attempts whose data did not match the length or checksum
	// of their result.
	incompleteResponses metrics.Counter
	// claimsReplayed counts requests that received a recorded response, and claimsRejected those
	// whose claim was rejected or failed.
	claimsReplayed metrics.Counter
	claimsRejected metrics.Counter
}

// newDispatcherMetrics registers the metrics; a nil registry means a private one.
func newDispatcherMetrics(r metrics.Registry) dispatcherMetrics {
	if r == nil {
		r = metrics.NewRegistry()
	}
	return dispatcherMetrics{
		streamsResumed:      metrics.GetOrRegisterCounter("streams_resumed", r),
		streamsCompleted:    metrics.GetOrRegisterCounter("streams_completed", r),
		incompleteResponses: metrics.GetOrRegisterCounter("answers_not_whole", r),
		claimsReplayed:      metrics.GetOrRegisterCounter("claims_replayed", r),
		claimsRejected:      metrics.GetOrRegisterCounter("claims_refused", r),
	}
}
