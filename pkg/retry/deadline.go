package retry

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

// StartBudget is the longest time from sending an attempt to its start.
const StartBudget = 10 * time.Second

// StartTimeout returns the time within which an attempt must start so that its response can be
// complete before the deadline. Remaining is the time until the deadline, serviceTime the mean
// service time of the upstream. A service time of half of remaining or more is not subtracted.
// The result is at most StartBudget and at least one millisecond.
func StartTimeout(remaining, serviceTime time.Duration) time.Duration {
	if serviceTime < remaining/2 {
		remaining -= serviceTime
	}
	return max(min(remaining, StartBudget), time.Millisecond)
}

// CheckWait checks the expected wait of a request at the best upstream. It returns Overloaded
// when the wait exceeds StartBudget, DeadlineTooShort when the request cannot meet its
// deadline, and OK when it may be sent. The other parameters are those of StartTimeout.
func CheckWait(wait, remaining, serviceTime time.Duration) code.Code {
	switch {
	case wait > StartBudget:
		return code.Overloaded
	case wait > StartTimeout(remaining, serviceTime):
		return code.DeadlineTooShort
	}
	return code.OK
}
