package admission

import "time"

// Options configure a limiter.
type Options struct {
	// Cold is the number of requests that an upstream bears when it has just started.
	Cold int
	// Max is the number of requests that a warm upstream bears at most.
	Max int
	// Idle is the time without work after which the upstream counts as cold; 0 means never.
	Idle time.Duration
}

// Limiter tracks the limit of one upstream. It is not safe for concurrent use.
type Limiter struct {
	opts    Options
	limit   int
	running int
	last    time.Time
}

// New returns a limiter at the cold limit.
func New(o Options) *Limiter {
	return &Limiter{opts: o, limit: o.Cold}
}

// Limit returns the number of requests that the upstream bears at now.
func (l *Limiter) Limit(now time.Time) int {
	if l.idle(now) {
		l.limit = l.opts.Cold
	}
	return l.limit
}

// Cold reports whether the limit is below the maximum.
func (l *Limiter) Cold() bool { return l.limit < l.opts.Max }

// Running returns the number of requests that were started and have not ended.
func (l *Limiter) Running() int { return l.running }

// Start starts a request when the limit allows it and reports whether it did.
func (l *Limiter) Start(now time.Time) bool {
	if l.running >= l.Limit(now) {
		return false
	}
	l.running++
	l.last = now
	return true
}

// End ends a request. A whole answer raises the limit.
func (l *Limiter) End(now time.Time, whole bool) {
	l.running--
	l.last = now
	if whole && l.limit < l.opts.Max {
		l.limit++
	}
}

// Reset sets the limit back to the cold limit.
func (l *Limiter) Reset() { l.limit = l.opts.Cold }

func (l *Limiter) idle(now time.Time) bool {
	return l.opts.Idle > 0 && l.running == 0 && !l.last.IsZero() && now.Sub(l.last) > l.opts.Idle
}
