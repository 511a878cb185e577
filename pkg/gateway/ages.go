package gateway

import (
	"sync"
	"time"
)

// deadlineTracker tells requests that come back after a refusal from new ones: a caller states the time
// that it has left, and that is then clearly less than what it usually states.
//
// It holds one entry for each route and organisation in use.
type deadlineTracker struct {
	mu            sync.Mutex
	longestByKind map[string]longestDeadline
}

type longestDeadline struct {
	value  time.Duration
	seenAt time.Time
}

const (
	// callerRetryRatio is the part of the longest deadline below which a request has been on its
	// way for long; deadlines of new requests differ by 15 in 100, and the least that a
	// refused one waits is more than the rest.
	callerRetryRatio = 0.78
	// longestDeadlineTTL is how long a longest deadline counts.
	longestDeadlineTTL = 30 * time.Second
)

// isCallerRetry reports whether a request of a kind with a deadline has been on its way for long.
func (a *deadlineTracker) isCallerRetry(kind string, deadline time.Duration, now time.Time) bool {
	if deadline <= 0 {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.longestByKind == nil {
		a.longestByKind = map[string]longestDeadline{}
	}
	longest := a.longestByKind[kind]
	if deadline >= longest.value || now.Sub(longest.seenAt) > longestDeadlineTTL {
		longest = longestDeadline{deadline, now}
		a.longestByKind[kind] = longest
	}
	return float64(deadline) < callerRetryRatio*float64(longest.value)
}
