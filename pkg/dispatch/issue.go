package dispatch

import "time"

// issued returns a time not after now on the clock of the member's incarnation: the
// clock of its newest status and the time passed here since that status arrived.
func (m *member) issued(now time.Time) time.Duration {
	clock := time.Duration(m.status.ClockMillis) * time.Millisecond
	return clock + max(now.Sub(m.received), 0)
}
