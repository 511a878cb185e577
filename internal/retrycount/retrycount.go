// Package retrycount counts retries against a budget in every window of a test.
package retrycount

import (
	"slices"
	"time"
)

// step is the time between two windows that are checked.
const step = 100 * time.Millisecond

// Budget allows a ratio of the requests of a window as retries, and some more.
type Budget struct {
	Window    time.Duration
	Ratio     float64
	Allowance float64
}

// Use is the window that used the largest part of a budget.
type Use struct {
	// From is its begin, the zero time if there are no requests.
	From    time.Time
	Retries float64
	Allowed float64
}

// Part returns the part of the budget that was used; 1 is all of it.
func (u Use) Part() float64 {
	if u.Allowed == 0 {
		return 0
	}
	return u.Retries / u.Allowed
}

// Most returns the window that used the largest part of the budget. Requests count in the window, in the one before it
// or in the one half a window before it. Both lists are in order.
func (b Budget) Most(requests, retries []time.Time) Use {
	var most Use
	if len(requests) == 0 {
		return most
	}
	for from := requests[0]; !from.After(requests[len(requests)-1]); from = from.Add(step) {
		counted := 0
		for _, earlier := range []time.Duration{0, b.Window / 2, b.Window} {
			counted = max(counted, count(requests, from.Add(-earlier), from.Add(b.Window-earlier)))
		}
		u := Use{From: from, Retries: float64(count(retries, from, from.Add(b.Window))), Allowed: b.Ratio*float64(counted) + b.Allowance}
		if u.Part() >= most.Part() {
			most = u
		}
	}
	return most
}

// count returns the number of times within a span. They are in order.
func count(times []time.Time, from, to time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)
	return end - first
}
