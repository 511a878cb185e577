package platform

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// maxConsecutiveFaults is the number of consecutive failed calls that opens the breaker.
	maxConsecutiveFaults = 3
	// initialProbePause and maxProbePause limit the pause between two probes of a platform that
	// does not respond. Each pause is randomized by half, so that processes do not probe at the
	// same time.
	initialProbePause = 100 * time.Millisecond
	maxProbePause     = 3 * time.Second
)

// breaker is a circuit breaker. While the platform does not respond, it allows one call at a time as
// a probe, with a growing pause between them. It is not safe for concurrent use.
type breaker struct {
	consecutiveFaults int
	nextProbe         time.Time
	probePause        *backoff.ExponentialBackOff
}

func newBreaker() *breaker {
	p := backoff.NewExponentialBackOff()
	p.InitialInterval = initialProbePause
	p.MaxInterval = maxProbePause
	return &breaker{probePause: p}
}

// allow reports whether a call may be made now.
func (b *breaker) allow(now time.Time) bool {
	if b.consecutiveFaults < maxConsecutiveFaults {
		return true
	}
	if now.Before(b.nextProbe) {
		return false
	}
	b.nextProbe = now.Add(b.probePause.NextBackOff())
	return true
}

// recordSuccess records a call to which the platform responded and closes the breaker.
func (b *breaker) recordSuccess() {
	b.consecutiveFaults = 0
	b.probePause.Reset()
}

// recordFault records a failed call.
func (b *breaker) recordFault(now time.Time) {
	b.consecutiveFaults++
	if b.consecutiveFaults == maxConsecutiveFaults {
		b.nextProbe = now.Add(b.probePause.NextBackOff())
	}
}
