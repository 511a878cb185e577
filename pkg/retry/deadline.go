package retry

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

// StartBudget bounds the time from sending an attempt to its start.
const StartBudget = 10 * time.Second

// StartBy returns the time within which an attempt must start so that its answer can
// be whole within left, given the mean service time of its upstream.
func StartBy(left, service time.Duration) time.Duration {
	if service < left/2 {
		left -= service
	}
	return max(min(left, StartBudget), time.Millisecond)
}

// Hopeless returns the code of a request that would wait too long at the best upstream,
// or OK when it may be sent there.
func Hopeless(wait, left, service time.Duration) code.Code {
	switch {
	case wait > StartBudget:
		return code.Overloaded
	case wait > StartBy(left, service):
		return code.DeadlineTooShort
	}
	return code.OK
}
