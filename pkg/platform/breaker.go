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
	// recoveryCallInterval is the least time between two calls of a process while the platform
	// recovers, and recoveryPeriod how long that lasts. The period covers the longest randomized
	// probe pause, after which all processes have noticed that the platform responds again.
	recoveryCallInterval = 500 * time.Millisecond
	recoveryPeriod       = 5 * time.Second
)

// breaker is a circuit breaker. While the platform does not respond, it allows one call at a time as
// a probe, with a growing pause between them. Once the platform responds again, it spaces the calls
// of the process for recoveryPeriod, so that the processes do not return with a burst of calls. It is
// not safe for concurrent use.
type breaker struct {
	consecutiveFaults int
	nextProbe         time.Time
	probePause        *backoff.ExponentialBackOff
	lastCall          time.Time
	recoveringUntil   time.Time
}

func newBreaker() *breaker {
	p := backoff.NewExponentialBackOff()
	p.InitialInterval = initialProbePause
	p.MaxInterval = maxProbePause
	return &breaker{probePause: p}
}

// recoveryDelay returns how long the next call must wait while the platform recovers.
func (b *breaker) recoveryDelay(now time.Time) time.Duration {
	if !now.Before(b.recoveringUntil) {
		return 0
	}
	return max(0, b.lastCall.Add(recoveryCallInterval).Sub(now))
}

// allow reports whether a call may be made now.
func (b *breaker) allow(now time.Time) bool {
	if b.consecutiveFaults >= maxConsecutiveFaults {
		if now.Before(b.nextProbe) {
			return false
		}
		b.nextProbe = now.Add(b.probePause.NextBackOff())
	}
	b.lastCall = now
	return true
}

// recordSuccess records a call to which the platform responded and closes the breaker.
func (b *breaker) recordSuccess(now time.Time) {
	if b.consecutiveFaults >= maxConsecutiveFaults {
		b.recoveringUntil = now.Add(recoveryPeriod)
	}
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
