package gateway

import (
	"sync"
	"time"
)

// ages tells requests that come back after a refusal from new ones: a caller states the time
// that it has left, and that is then clearly less than what it usually states.
//
// It holds one entry for each route and organisation in use.
type ages struct {
	mu    sync.Mutex
	usual map[string]usualDeadline
}

type usualDeadline struct {
	longest time.Duration
	at      time.Time
}

const (
	// returnedPart is the part of the longest deadline below which a request has been on its
	// way for long; deadlines of new requests differ by 15 in 100, and the least that a
	// refused one waits is more than the rest.
	returnedPart = 0.78
	// usualLife is how long a longest deadline counts.
	usualLife = 30 * time.Second
)

// returned reports whether a request of a kind with a deadline has been on its way for long.
func (a *ages) returned(kind string, deadline time.Duration, now time.Time) bool {
	if deadline <= 0 {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.usual == nil {
		a.usual = map[string]usualDeadline{}
	}
	u := a.usual[kind]
	if deadline >= u.longest || now.Sub(u.at) > usualLife {
		u = usualDeadline{deadline, now}
		a.usual[kind] = u
	}
	return float64(deadline) < returnedPart*float64(u.longest)
}
