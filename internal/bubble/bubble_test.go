package bubble

import (
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
)

// With the race detector the process ended with a segmentation violation: the goroutine that advances
// the clock and those that receive ran timers of one bubble at the same moment.
func TestTimersThatAreDueTogetherDoNotCrashTheRaceDetector(t *testing.T) {
	const bubbles, goroutines, timers = 20, 64, 300
	for range bubbles {
		Test(t, func(*testing.T) {
			for range goroutines {
				go receiveFromPairs(timers)
			}
			time.Sleep(2 * timers * time.Millisecond)
		})
	}
}

// receiveFromPairs receives from n pairs of timers that are due at the same moment.
func receiveFromPairs(n int) {
	for range n {
		first, second := time.NewTimer(time.Millisecond), time.NewTimer(time.Millisecond)
		select {
		case <-first.C:
		case <-second.C:
		}
		select {
		case <-first.C:
		case <-second.C:
		default:
		}
		time.AfterFunc(time.Millisecond, func() {})
	}
}

// One processor would remain for all later tests, which then would not run beside each other.
func TestNumberOfProcessorsIsRestored(t *testing.T) {
	is := is.New(t)
	before := runtime.GOMAXPROCS(0)
	Test(t, func(*testing.T) { time.Sleep(time.Hour) })
	is.Equal(runtime.GOMAXPROCS(0), before)
}
