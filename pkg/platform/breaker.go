package platform

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// breakAfter is the number of faults in a row after which calls are held back.
	breakAfter = 3
	// firstProbe and lastProbe bound the pause between two probes of a platform that
	// does not answer. Each pause is spread by half, so that processes do not probe together.
	firstProbe = 100 * time.Millisecond
	lastProbe  = 3 * time.Second
)

// breaker lets one call at a time through while the platform does not answer. It is
// not safe for concurrent use.
type breaker struct {
	faults int
	next   time.Time
	pause  *backoff.ExponentialBackOff
}

func newBreaker() *breaker {
	p := backoff.NewExponentialBackOff()
	p.InitialInterval = firstProbe
	p.MaxInterval = lastProbe
	return &breaker{pause: p}
}

// allow reports whether a call may be made now.
func (b *breaker) allow(now time.Time) bool {
	if b.faults < breakAfter {
		return true
	}
	if now.Before(b.next) {
		return false
	}
	b.next = now.Add(b.pause.NextBackOff())
	return true
}

// answered takes in that the platform answered.
func (b *breaker) answered() {
	b.faults = 0
	b.pause.Reset()
}

// failed takes in a call without an answer.
func (b *breaker) failed(now time.Time) {
	b.faults++
	if b.faults == breakAfter {
		b.next = now.Add(b.pause.NextBackOff())
	}
}
