// Package bubble runs tests whose goroutines share a fake clock, as testing/synctest does, in a way
// that the race detector survives.
//
// The Go runtime runs all timers of a bubble in one context of the race detector. A goroutine that
// receives from a timer's channel may run a timer that is due itself, beside the goroutine that
// advances the clock. With several processors both then write to the call stack in that context
// without a lock, and the process ends with a segmentation violation in StackDepotBase::Put.
package bubble

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs f as synctest.Test does. Under the race detector goroutines take turns on one
// processor meanwhile; races are still found, as the detector compares the order of
// synchronization and not moments. The number of processors is set for the whole process, so a
// test that calls t.Parallel must not call Test.
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	if raceDetector {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	}
	synctest.Test(t, f)
}

// TestOnAllProcessors runs f as synctest.Test does, for bubbles that would take minutes on one
// processor. With the race detector on arm64, where the crash was seen, the test is skipped; "make
// test" runs these tests without the race detector there and lists them by name.
func TestOnAllProcessors(t *testing.T, f func(*testing.T)) {
	t.Helper()
	if raceDetector && runtime.GOARCH == "arm64" {
		t.Skip("the race detector crashes in this test on arm64; make test runs it without")
	}
	synctest.Test(t, f)
}
