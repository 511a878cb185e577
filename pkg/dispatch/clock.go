package dispatch

import "time"

// clockAt returns an estimate of the time now on the clock of the member's incarnation, never
// later than the true one: the clock of its newest status plus the local time since that
// status arrived.
func (m *member) clockAt(now time.Time) time.Duration {
	clock := time.Duration(m.status.ClockMillis) * time.Millisecond
	return clock + max(now.Sub(m.receivedAt), 0)
}
