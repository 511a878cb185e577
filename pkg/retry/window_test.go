package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// retry_abuse: requests arrive at a steady rate and each of them tries to retry. The limit must
// hold in every span of the length of the window.
func TestWindowLimitHoldsInEverySpan(t *testing.T) {
	is := is.New(t)
	const ratio, allowance = 0.15, 8.0
	w := NewWindow(10*time.Second, ratio, allowance)
	begin := time.Unix(100, 0)
	var requests, retries []time.Duration
	for at := time.Duration(0); at < 40*time.Second; at += 50 * time.Millisecond {
		w.RecordRequest(begin.Add(at))
		requests = append(requests, at)
		if w.Withdraw(begin.Add(at)) {
			retries = append(retries, at)
		}
	}
	count := func(list []time.Duration, from time.Duration) (n float64) {
		for _, at := range list {
			if at >= from && at < from+10*time.Second {
				n++
			}
		}
		return n
	}
	for from := time.Duration(0); from <= 30*time.Second; from += 500 * time.Millisecond {
		// A part of the window may expire early; for this reason the entries use only three
		// quarters of the configured limit.
		is.True(count(retries, from) <= (ratio*count(requests, from)+allowance)/0.75)
	}
	is.True(len(retries) > 100) // the retries that the limit allows are granted
}

func TestWindowIsIndependentOfTheTimeOfDay(t *testing.T) {
	is := is.New(t)
	w := NewWindow(10*time.Second, 0, 1)
	begin := time.Unix(1000, 0)
	is.True(w.Withdraw(begin))
	is.True(!w.Withdraw(begin.Add(-time.Hour)))
	is.True(w.Withdraw(begin.Add(12 * time.Second)))
}
