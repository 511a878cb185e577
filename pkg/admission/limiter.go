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
	cost    int64
	alone   bool
	turn    int
	started time.Time
	part    time.Time
	parts   int
}

// Limiter tracks the limit of one upstream. It is not safe for concurrent use.
type Limiter struct {
	opts     Options
	limit    int
	warm     bool
	turn     int
	running  int
	tokens   int64
	alone    bool
	last     time.Time
	late     int
	unproven []time.Time
	pace     pace
	drain    drain
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
	if l.idle(now) {
		l.Reset()
		l.last = now
	}
	if !l.warm && l.running == 0 && now.Sub(l.last) >= Lull {
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
func (l *Limiter) Unproven() int { return len(l.unproven) }

// Start starts a request of an expected cost in tokens when the upstream bears it. A
// request that must run alone starts only when nothing runs, and nothing starts
// beside it.
func (l *Limiter) Start(now time.Time, cost int64, alone bool) (*Run, bool) {
	cost = l.charged(cost)
	if !l.bears(now, cost, alone) {
		return nil, false
	}
	l.running++
	l.tokens += cost
	l.alone = alone
	l.last = now
	l.unprove(now)
	return &Run{cost: cost, alone: alone, turn: l.turn, started: now, part: now}, true
}

// Fits reports whether the upstream bears a request of the cost when nothing else runs.
func (l *Limiter) Fits(now time.Time, cost int64) bool {
	limit := l.TokenLimit(now)
	return limit == 0 || l.charged(cost) <= limit
}

// charged caps a cost at what a warm upstream bears: a larger request runs by itself.
func (l *Limiter) charged(cost int64) int64 {
	if l.opts.MaxTokens > 0 {
		return min(cost, l.opts.MaxTokens)
	}
	return cost
}

func (l *Limiter) bears(now time.Time, cost int64, alone bool) bool {
	if l.alone || alone && l.running > 0 {
		return false
	}
	if l.running >= l.Limit(now) {
		return false
	}
	if tokens := l.TokenLimit(now); tokens > 0 && l.tokens+cost > tokens {
		return false
	}
	return l.running < l.opts.Cold || len(l.unproven) < l.opts.Cold
}

// Part takes in a part of the answer to r. The time to the first part depends on the
// length of the prompt and says nothing about the upstream.
func (l *Limiter) Part(r *Run, now time.Time) {
	began := r.part
	r.part = now
	r.parts++
	l.last = now
	if r.turn != l.turn || r.parts == 1 {
		return
	}
	if l.judge(partTime, now.Sub(began)) {
		l.proveBefore(began)
	}
}

// End ends a request. A whole answer raises the limit of a warming upstream.
func (l *Limiter) End(r *Run, now time.Time, whole bool) {
	l.running--
	l.tokens -= r.cost
	l.last = now
	if r.alone {
		l.alone = false
	}
	if whole {
		l.drain.add(now)
	}
	if r.turn != l.turn {
		return
	}
	if whole && l.inTime(r, now) {
		l.grow()
	}
}

// inTime judges a whole answer. An answer that came in several parts was judged by
// its parts.
func (l *Limiter) inTime(r *Run, now time.Time) bool {
	if r.parts > 1 {
		return true
	}
	if !l.judge(answerTime, now.Sub(r.started)/time.Duration(max(r.cost, 1))) {
		return false
	}
	l.proveOldest(provenByAnswer)
	return true
}

// grow raises the limit of a warming upstream and adapts that of a warm one.
func (l *Limiter) grow() {
	if l.warm {
		l.adapt()
		return
	}
	l.limit++
	if l.limit >= l.opts.Max {
		l.limit = l.opts.Max
		l.warm = true
	}
}

// provenByAnswer is the number of starts that an answer without parts vouches for:
// the request that takes its place and one more, so that work can grow.
const provenByAnswer = 2

// Reset sets the limit back to the cold limit.
func (l *Limiter) Reset() {
	l.turn++
	l.limit = l.opts.Cold
	l.warm = l.opts.Cold >= l.opts.Max
	l.late = 0
	l.unproven = l.unproven[:0]
	l.pace = pace{}
}

// Wait returns the expected time until the request with so many before it can start,
// 0 when no answer was seen lately.
func (l *Limiter) Wait(now time.Time, before int) time.Duration {
	return l.drain.wait(now, before)
}

func (l *Limiter) idle(now time.Time) bool {
	return l.opts.Idle > 0 && l.running == 0 && !l.last.IsZero() && now.Sub(l.last) > l.opts.Idle
}
