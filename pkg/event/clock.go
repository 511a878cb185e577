package event

import (
	"sync"
	"time"
)

// Stamp is a time of a hybrid logical clock.
type Stamp struct {
	// Wall is the physical part in nanoseconds since 1970.
	Wall int64 `json:"wall"`
	// Count orders stamps with the same physical part.
	Count uint32 `json:"count"`
}

// Before reports whether s is earlier than t.
func (s Stamp) Before(t Stamp) bool {
	if s.Wall != t.Wall {
		return s.Wall < t.Wall
	}
	return s.Count < t.Count
}

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	now  func() time.Time
	last Stamp
}

// NewClock returns a clock that reads the physical time from now; nil means time.Now.
func NewClock(now func() time.Time) *Clock {
	if now == nil {
		now = time.Now
	}
	return &Clock{now: now}
}

// Now returns a stamp later than all stamps returned or observed before.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.now().UnixNano()
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
		return c.last
	}
	c.last.Count++
	return c.last
}

// Observe advances the clock to a stamp received from another process, if that is later.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(s) {
		c.last = s
	}
}
