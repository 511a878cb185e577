package event

import (
	"sync"
	"time"
)

// Stamp is a hybrid logical time: physical nanoseconds since 1970 and a counter.
type Stamp struct {
	Wall  int64  `json:"wall"`
	Count uint32 `json:"count"`
}

// Before reports whether s is smaller than t.
func (s Stamp) Before(t Stamp) bool {
	if s.Wall != t.Wall {
		return s.Wall < t.Wall
	}
	return s.Count < t.Count
}

// Clock gives hybrid logical stamps. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	now  func() time.Time
	last Stamp
}

// NewClock returns a clock over the physical clock now; nil means time.Now.
func NewClock(now func() time.Time) *Clock {
	if now == nil {
		now = time.Now
	}
	return &Clock{now: now}
}

// Now returns a stamp larger than every stamp given or observed before.
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

// Observe takes in a stamp received from another process.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(s) {
		c.last = s
	}
}
