package retry

import "time"

// windowParts is the number of parts that a window is counted in; a part leaves the
// window as a whole.
const windowParts = 10

// Window bounds the retries of one service to a ratio of its requests within a sliding
// window, and an allowance. It is not safe for concurrent use.
type Window struct {
	ratio     float64
	allowance float64
	part      time.Duration
	requests  [windowParts]int
	retries   [windowParts]int
	now       int64
	// origin is the first time seen; counting from it makes the window independent of
	// changes of the time of day.
	origin time.Time
}

// NewWindow returns a window of the given length. Allowance is this entry's part of what
// all entries may use beyond the ratio.
func NewWindow(length time.Duration, ratio, allowance float64) *Window {
	return &Window{ratio: ratio, allowance: allowance, part: max(length/windowParts, time.Millisecond)}
}

// Request notes a request of a caller.
func (w *Window) Request(now time.Time) {
	w.advance(now)
	w.requests[w.now%windowParts]++
}

// Withdraw takes one retry and reports whether the bound allowed it.
func (w *Window) Withdraw(now time.Time) bool {
	w.advance(now)
	requests, retries := 0, 0
	for i := range windowParts {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	if float64(retries+1) > w.ratio*float64(requests)+w.allowance {
		return false
	}
	w.retries[w.now%windowParts]++
	return true
}

func (w *Window) advance(now time.Time) {
	if w.origin.IsZero() {
		w.origin = now
	}
	part := int64(now.Sub(w.origin) / w.part)
	for next := max(w.now+1, part-windowParts+1); next <= part; next++ {
		w.requests[next%windowParts] = 0
		w.retries[next%windowParts] = 0
	}
	w.now = max(w.now, part)
}
