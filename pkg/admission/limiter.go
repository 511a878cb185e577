package admission

import "time"

// Options configure a limiter.
type Options struct {
	// ColdLimit is the concurrency limit of an upstream that has just started.
	ColdLimit int
	// MaxLimit is the highest concurrency limit of a warm upstream.
	MaxLimit int
	// ColdTokens and MaxTokens limit the expected tokens in progress at a cold and at a
	// warm upstream; 0 means that tokens are not limited.
	ColdTokens int64
	MaxTokens  int64
	// IdleTimeout is the time without work after which the upstream counts as cold; 0 means
	// never.
	IdleTimeout time.Duration
	// LateFactor is the multiple of the baseline beyond which a part or a response is
	// late; 0 means DefaultLateFactor.
	LateFactor float64
	// LateFloor is the duration up to which no part or response is late, whatever the
	// baseline is.
	LateFloor time.Duration
	// MaxConsecutiveLate is the number of consecutive late parts or responses after which the
	// upstream counts as cold; 0 means DefaultMaxConsecutiveLate.
	MaxConsecutiveLate int
}

// Defaults of Options.
const (
	DefaultLateFactor         = 3.0
	DefaultMaxConsecutiveLate = 4
)

// WarmupIdleTimeout is the time without running work after which the limit of a warming
// upstream returns to the cold limit. A process cannot be replaced in less time.
const WarmupIdleTimeout = 50 * time.Millisecond

// Run is one request in progress.
type Run struct {
	// cost is the expected cost in tokens, at most Options.MaxTokens.
	cost int64
	// isolated is set when no other request may run beside this one.
	isolated bool
	// generation is the generation of the limiter at the start.
	generation int
	startedAt  time.Time
	// lastPart is the time of the newest part of the response, at first the start.
	lastPart time.Time
	// parts is the number of parts received.
	parts int
}

// Limiter tracks the limit of one upstream. It is not safe for concurrent use.
type Limiter struct {
	opts Options
	// limit is the current concurrency limit, from Options.ColdLimit to Options.MaxLimit.
	limit int
	// warm is set when the limit has reached Options.MaxLimit since the last reset.
	warm bool
	// generation counts the resets; runs of an earlier generation do not change the limit.
	generation int
	// running and runningTokens are the requests in progress and their expected tokens.
	running       int
	runningTokens int64
	// isolated is set while a request runs that excludes all others.
	isolated bool
	// lastWork is the time of the newest start, part or end of a request.
	lastWork time.Time
	// consecutiveLate counts the late parts and responses since the last one in time.
	consecutiveLate int
	// unconfirmed holds the times of the newest starts that no response has confirmed, at
	// most Options.ColdLimit of them, the oldest first.
	unconfirmed  []time.Time
	latencies    latencies
	responseRate responseRate
}

// New returns a limiter at the cold limit.
func New(o Options) *Limiter {
	if o.LateFactor == 0 {
		o.LateFactor = DefaultLateFactor
	}
	if o.MaxConsecutiveLate == 0 {
		o.MaxConsecutiveLate = DefaultMaxConsecutiveLate
	}
	return &Limiter{opts: o, limit: o.ColdLimit, warm: o.ColdLimit >= o.MaxLimit}
}

// Limit returns the concurrency limit of the upstream at now.
func (l *Limiter) Limit(now time.Time) int {
	if l.isIdle(now) {
		l.Reset()
		l.lastWork = now
	}
	if !l.warm && l.running == 0 && now.Sub(l.lastWork) >= WarmupIdleTimeout {
		l.limit = l.opts.ColdLimit
	}
	return l.limit
}

// TokenLimit returns the limit on the expected tokens in progress at now, 0 when they are
// not limited. It increases in proportion to the concurrency limit.
func (l *Limiter) TokenLimit(now time.Time) int64 {
	limit := l.Limit(now)
	if l.opts.MaxTokens == 0 || l.opts.MaxLimit == l.opts.ColdLimit {
		return l.opts.MaxTokens
	}
	span := l.opts.MaxTokens - l.opts.ColdTokens
	return l.opts.ColdTokens + span*int64(limit-l.opts.ColdLimit)/int64(l.opts.MaxLimit-l.opts.ColdLimit)
}

// IsCold reports whether the upstream is still warming up.
func (l *Limiter) IsCold() bool { return !l.warm }

// Running returns the number of requests that were started and have not ended.
func (l *Limiter) Running() int { return l.running }

// Unconfirmed returns the number of starts that no response has confirmed, at most the cold
// limit.
func (l *Limiter) Unconfirmed() int { return len(l.unconfirmed) }

// Start starts a request of an expected cost in tokens and reports whether the upstream has
// capacity for it. An isolated request starts only when no other request is running, and
// no other request starts while it runs.
func (l *Limiter) Start(now time.Time, cost int64, isolated bool) (*Run, bool) {
	cost = l.cappedCost(cost)
	if !l.hasCapacity(now, cost, isolated) {
		return nil, false
	}
	l.running++
	l.runningTokens += cost
	l.isolated = isolated
	l.lastWork = now
	l.addUnconfirmed(now)
	return &Run{cost: cost, isolated: isolated, generation: l.generation, startedAt: now, lastPart: now}, true
}

// Fits reports whether the upstream has capacity at now for a request of the cost, in
// tokens, when no other request runs.
func (l *Limiter) Fits(now time.Time, cost int64) bool {
	limit := l.TokenLimit(now)
	return limit == 0 || l.cappedCost(cost) <= limit
}

// cappedCost caps a cost at MaxTokens, so that a larger request can run on a warm upstream
// without others.
func (l *Limiter) cappedCost(cost int64) int64 {
	if l.opts.MaxTokens > 0 {
		return min(cost, l.opts.MaxTokens)
	}
	return cost
}

func (l *Limiter) hasCapacity(now time.Time, cost int64, isolated bool) bool {
	if l.isolated || isolated && l.running > 0 {
		return false
	}
	if l.running >= l.Limit(now) {
		return false
	}
	if tokens := l.TokenLimit(now); tokens > 0 && l.runningTokens+cost > tokens {
		return false
	}
	return l.running < l.opts.ColdLimit || len(l.unconfirmed) < l.opts.ColdLimit
}

// RecordPart records a part of the response to r. The time to the first part is not sampled:
// it depends on the length of the prompt rather than on the upstream.
func (l *Limiter) RecordPart(r *Run, now time.Time) {
	previous := r.lastPart
	r.lastPart = now
	r.parts++
	l.lastWork = now
	if r.generation != l.generation || r.parts == 1 {
		return
	}
	if l.recordSample(partInterval, now.Sub(previous)) {
		l.confirmUntil(previous)
	}
}

// End ends a request; complete is set when its response was received in full. A complete
// response in time raises the limit of a warming upstream.
func (l *Limiter) End(r *Run, now time.Time, complete bool) {
	l.running--
	l.runningTokens -= r.cost
	l.lastWork = now
	if r.isolated {
		l.isolated = false
	}
	if complete {
		l.responseRate.add(now)
	}
	if r.generation != l.generation {
		return
	}
	if complete && l.isInTime(r, now) {
		l.raiseLimit()
	}
}

// isInTime records a complete response and reports whether it arrived in time. A response
// of several parts is in time, because RecordPart has checked each of them.
func (l *Limiter) isInTime(r *Run, now time.Time) bool {
	if r.parts > 1 {
		return true
	}
	if !l.recordSample(responsePerToken, now.Sub(r.startedAt)/time.Duration(max(r.cost, 1))) {
		return false
	}
	l.confirmOldest(confirmedPerResponse)
	return true
}

// raiseLimit raises the limit of a warming upstream by one and adapts that of a warm one.
func (l *Limiter) raiseLimit() {
	if l.warm {
		l.adaptLimit()
		return
	}
	l.limit++
	if l.limit >= l.opts.MaxLimit {
		l.limit = l.opts.MaxLimit
		l.warm = true
	}
}

// confirmedPerResponse is the number of starts that a response without parts confirms: the
// request that replaces it and one more, so that the work in progress can increase.
const confirmedPerResponse = 2

// Reset returns the limiter to the cold limit and discards the baselines. Requests in
// progress stay counted but no longer change the limit.
func (l *Limiter) Reset() {
	l.generation++
	l.limit = l.opts.ColdLimit
	l.warm = l.opts.ColdLimit >= l.opts.MaxLimit
	l.consecutiveLate = 0
	l.unconfirmed = l.unconfirmed[:0]
	l.latencies = latencies{}
}

// ExpectedWait returns the expected time until a request with ahead requests before it in the
// queue can start, 0 when no complete response arrived within responseRateTTL.
func (l *Limiter) ExpectedWait(now time.Time, ahead int) time.Duration {
	return l.responseRate.expectedWait(now, ahead)
}

// isIdle reports whether the upstream had no work for longer than Options.IdleTimeout.
func (l *Limiter) isIdle(now time.Time) bool {
	return l.opts.IdleTimeout > 0 && l.running == 0 && !l.lastWork.IsZero() && now.Sub(l.lastWork) > l.opts.IdleTimeout
}
