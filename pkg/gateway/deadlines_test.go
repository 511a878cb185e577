package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Callers state the time they have left, which varies slightly among new requests and is much
// shorter for a retry.
func TestCallerRetriesAreDetected(t *testing.T) {
	is := is.New(t)
	var a deadlineTracker
	now := time.Unix(100, 0)
	is.True(!a.isCallerRetry("r o", 7*time.Second, now)) // nothing to compare with
	is.True(!a.isCallerRetry("r o", 8*time.Second, now))
	is.True(!a.isCallerRetry("r o", 6800*time.Millisecond, now))
	is.True(a.isCallerRetry("r o", 5900*time.Millisecond, now))
	is.True(!a.isCallerRetry("r p", 2*time.Second, now)) // each organisation has its own record
	is.True(!a.isCallerRetry("r o", 0, now))             // no deadline stated
	is.True(!a.isCallerRetry("r o", 3*time.Second, now.Add(longestDeadlineTTL+time.Second)))
}
