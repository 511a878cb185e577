package gateway

import (
	"sync"
	"time"
)

// deadlineTracker distinguishes requests that callers retry after a rejection from new ones:
// callers state the time they have left, which for a retry is clearly shorter than their usual
// deadline.
//
// It stores one record for each route and organisation in use. It is safe for concurrent use.
type deadlineTracker struct {
	mu            sync.Mutex
	longestByKind map[string]longestDeadline
}

type longestDeadline struct {
	value  time.Duration
	seenAt time.Time
}

const (
	// callerRetryRatio is the fraction of the longest deadline below which a request counts as a
	// retry. Deadlines of new requests differ by 15 in 100, and even the shortest delay of a
	// rejected request takes more than the rest.
	callerRetryRatio = 0.78
	// longestDeadlineTTL is how long a longest deadline is valid.
	longestDeadlineTTL = 30 * time.Second
)

// isCallerRetry reports whether a deadline is so short that the caller has sent the request
// before. Kind groups requests with similar deadlines.
func (t *deadlineTracker) isCallerRetry(kind string, deadline time.Duration, now time.Time) bool {
	if deadline <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.longestByKind == nil {
		t.longestByKind = map[string]longestDeadline{}
	}
	longest := t.longestByKind[kind]
	if deadline >= longest.value || now.Sub(longest.seenAt) > longestDeadlineTTL {
		longest = longestDeadline{deadline, now}
		t.longestByKind[kind] = longest
	}
	return float64(deadline) < callerRetryRatio*float64(longest.value)
}
