package retry

import "time"

// windowParts is the number of equal parts of a window. Counts expire one part at a time.
const windowParts = 10

// ShareOfAllowance returns the share of an entry in the retries that all entries may add to a ratio of the requests
// within a window. It divides them among the entries that share them; with 0 entries their number is not known, and nothing may
// be added. Age is the time since the start of the entry: in its first window it adds nothing, as its former process
// may have spent the share.
func ShareOfAllowance(allowance float64, entries int, age, window time.Duration) float64 {
	if entries <= 0 || age < window {
		return 0
	}
	return allowance / float64(entries)
}

// Window limits the retries of one service within a sliding window to a ratio of its
// requests plus an allowance. It is not safe for concurrent use.
type Window struct {
	ratio      float64
	allowance  float64
	partLength time.Duration
	requests   [windowParts]int
	retries    [windowParts]int
	// currentPart is the number of parts from origin to the latest call.
	currentPart int64
	// origin is the time of the first call. Parts are counted from it on the monotonic clock,
	// so that changes of the wall clock do not move the window.
	origin time.Time
}

// NewWindow returns a window of the given length. Ratio is the number of retries allowed per
// request, allowance this entry's share of the retries that all entries may add to that.
func NewWindow(length time.Duration, ratio, allowance float64) *Window {
	return &Window{ratio: ratio, allowance: allowance, partLength: max(length/windowParts, time.Millisecond)}
}

// SetAllowance changes this entry's share of the retries that all entries may add. What has been spent counts on.
func (w *Window) SetAllowance(allowance float64) { w.allowance = allowance }

// RecordRequest records a request of a caller.
func (w *Window) RecordRequest(now time.Time) {
	w.advance(now)
	w.requests[w.currentPart%windowParts]++
}

// Withdraw records one retry if the limit allows it, and reports whether it does.
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
	w.retries[w.currentPart%windowParts]++
	return true
}

// advance clears the parts that have left the window. A time before that of an earlier call
// counts to the latest part.
func (w *Window) advance(now time.Time) {
	if w.origin.IsZero() {
		w.origin = now
	}
	part := int64(now.Sub(w.origin) / w.partLength)
	for next := max(w.currentPart+1, part-windowParts+1); next <= part; next++ {
		w.requests[next%windowParts] = 0
		w.retries[next%windowParts] = 0
	}
	w.currentPart = max(w.currentPart, part)
}
