package admission

import "time"

// Options configure a limiter.
type Options struct {
	// Cold is the number of requests that an upstream bears when it has just started.
	Cold int
	// Max is the number of requests that a warm upstream bears at most.
	Max int
	// ColdTokens and MaxTokens are the expected tokens in progress that the cold and
	// the warm upstream bear; 0 means that tokens are not limited.
	ColdTokens int64
	MaxTokens  int64
	// Idle is the time without work after which the upstream counts as cold; 0 means never.
	Idle time.Duration
	// LateFactor is the multiple of the baseline beyond which a part or an answer is
	// late; 0 means DefaultLateFactor.
	LateFactor float64
	// LateFloor is a time up to which nothing is late, whatever the baseline is.
	LateFloor time.Duration
	// LateLimit is the number of late parts or answers in a row that set the upstream
	// back to cold; 0 means DefaultLateLimit.
	LateLimit int
}

// Defaults of Options.
const (
	DefaultLateFactor = 3.0
	DefaultLateLimit  = 4
)

// Lull is the time without running work after which the limit of a warming upstream
// falls back to the cold limit. A process cannot be replaced in less.
const Lull = 50 * time.Millisecond

// Run is one request in progress.
type Run struct {
	cost       int64
	isolated   bool
	generation int
	startedAt  time.Time
	lastPart   time.Time
	parts      int
}

// Limiter tracks the limit of one upstream. It is not safe for concurrent use.
type Limiter struct {
	opts            Options
	limit           int
	warm            bool
	generation      int
	running         int
	runningTokens   int64
	isolated        bool
	lastWork        time.Time
	consecutiveLate int
	unconfirmed     []time.Time
	latencies       latencies
	responseRate    responseRate
}

// New returns a limiter at the cold limit.
func New(o Options) *Limiter {
	if o.LateFactor == 0 {
		o.LateFactor = DefaultLateFactor
	}
	if o.LateLimit == 0 {
		o.LateLimit = DefaultLateLimit
	}
	return &Limiter{opts: o, limit: o.Cold, warm: o.Cold >= o.Max}
}

// Limit returns the number of requests that the upstream bears at now.
func (l *Limiter) Limit(now time.Time) int {
	if l.isIdle(now) {
		l.Reset()
		l.lastWork = now
	}
	if !l.warm && l.running == 0 && now.Sub(l.lastWork) >= Lull {
		l.limit = l.opts.Cold
	}
	return l.limit
}

// TokenLimit returns the expected tokens in progress that the upstream bears at now,
// 0 when they are not limited. It grows in proportion to the limit of requests.
func (l *Limiter) TokenLimit(now time.Time) int64 {
	limit := l.Limit(now)
	if l.opts.MaxTokens == 0 || l.opts.Max == l.opts.Cold {
		return l.opts.MaxTokens
	}
	span := l.opts.MaxTokens - l.opts.ColdTokens
	return l.opts.ColdTokens + span*int64(limit-l.opts.Cold)/int64(l.opts.Max-l.opts.Cold)
}

// Cold reports whether the upstream warms up.
func (l *Limiter) Cold() bool { return !l.warm }

// Running returns the number of requests that were started and have not ended.
func (l *Limiter) Running() int { return l.running }

// Unproven returns the number of starts that no answer has vouched for yet.
func (l *Limiter) Unproven() int { return len(l.unconfirmed) }

// Start starts a request of an expected cost in tokens when the upstream bears it. A
// request that must run alone starts only when nothing runs, and nothing starts
// beside it.
func (l *Limiter) Start(now time.Time, cost int64, alone bool) (*Run, bool) {
	cost = l.cappedCost(cost)
	if !l.hasCapacity(now, cost, alone) {
		return nil, false
	}
	l.running++
	l.runningTokens += cost
	l.isolated = alone
	l.lastWork = now
	l.addUnconfirmed(now)
	return &Run{cost: cost, isolated: alone, generation: l.generation, startedAt: now, lastPart: now}, true
}

// Fits reports whether the upstream bears a request of the cost when nothing else runs.
func (l *Limiter) Fits(now time.Time, cost int64) bool {
	limit := l.TokenLimit(now)
	return limit == 0 || l.cappedCost(cost) <= limit
}

// cappedCost caps a cost at what a warm upstream bears: a larger request runs by itself.
func (l *Limiter) cappedCost(cost int64) int64 {
	if l.opts.MaxTokens > 0 {
		return min(cost, l.opts.MaxTokens)
	}
	return cost
}

func (l *Limiter) hasCapacity(now time.Time, cost int64, alone bool) bool {
	if l.isolated || alone && l.running > 0 {
		return false
	}
	if l.running >= l.Limit(now) {
		return false
	}
	if tokens := l.TokenLimit(now); tokens > 0 && l.runningTokens+cost > tokens {
		return false
	}
	return l.running < l.opts.Cold || len(l.unconfirmed) < l.opts.Cold
}

// Part takes in a part of the answer to r. The time to the first part depends on the
// length of the prompt and says nothing about the upstream.
func (l *Limiter) Part(r *Run, now time.Time) {
	began := r.lastPart
	r.lastPart = now
	r.parts++
	l.lastWork = now
	if r.generation != l.generation || r.parts == 1 {
		return
	}
	if l.recordSample(partInterval, now.Sub(began)) {
		l.confirmUntil(began)
	}
}

// End ends a request. A whole answer raises the limit of a warming upstream.
func (l *Limiter) End(r *Run, now time.Time, whole bool) {
	l.running--
	l.runningTokens -= r.cost
	l.lastWork = now
	if r.isolated {
		l.isolated = false
	}
	if whole {
		l.responseRate.add(now)
	}
	if r.generation != l.generation {
		return
	}
	if whole && l.isInTime(r, now) {
		l.raiseLimit()
	}
}

// isInTime judges a whole answer. An answer that came in several parts was judged by
// its parts.
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

// raiseLimit raises the limit of a warming upstream and adapts that of a warm one.
func (l *Limiter) raiseLimit() {
	if l.warm {
		l.adaptLimit()
		return
	}
	l.limit++
	if l.limit >= l.opts.Max {
		l.limit = l.opts.Max
		l.warm = true
	}
}

// confirmedPerResponse is the number of starts that an answer without parts vouches for:
// the request that takes its place and one more, so that work can grow.
const confirmedPerResponse = 2

// Reset sets the limit back to the cold limit.
func (l *Limiter) Reset() {
	l.generation++
	l.limit = l.opts.Cold
	l.warm = l.opts.Cold >= l.opts.Max
	l.consecutiveLate = 0
	l.unconfirmed = l.unconfirmed[:0]
	l.latencies = latencies{}
}

// Wait returns the expected time until the request with so many before it can start,
// 0 when no answer was seen lately.
func (l *Limiter) Wait(now time.Time, before int) time.Duration {
	return l.responseRate.expectedWait(now, before)
}

func (l *Limiter) isIdle(now time.Time) bool {
	return l.opts.Idle > 0 && l.running == 0 && !l.lastWork.IsZero() && now.Sub(l.lastWork) > l.opts.Idle
}
