package dispatch

import "time"

// clockAt returns a time not after now on the clock of the member's incarnation: the
// clock of its newest status and the time passed here since that status arrived.
func (m *member) clockAt(now time.Time) time.Duration {
	clock := time.Duration(m.status.ClockMillis) * time.Millisecond
	return clock + max(now.Sub(m.receivedAt), 0)
}
