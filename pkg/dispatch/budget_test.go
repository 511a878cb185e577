package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/retry"
)

// Without successful requests, retries and resumes stop once their bursts are spent. An
// organisation does not spend the retries of another.
func TestBudgetsAreLimitedWithoutSuccess(t *testing.T) {
	is := is.New(t)
	b := newBudgets()
	count := func(organisation string, c code.Code, streamStarted bool) int {
		n := 0
		for range 1000 {
			if b.allow(organisation, c, streamStarted) {
				n++
			}
		}
		return n
	}
	is.Equal(count("dominant", code.UpstreamLost, false), retry.DefaultBurst)
	is.Equal(count("small", code.UpstreamLost, false), retry.DefaultBurst)
	is.Equal(count("dominant", code.UpstreamLost, true), retry.ResumeBurst)
	is.Equal(count("dominant", code.ZoneOut, false), 1000) // a retry after ZoneOut uses no budget
	for range 100 {
		b.recordEnd("small", code.OK)
	}
	is.True(count("small", code.UpstreamLost, false) >= 9)
	is.Equal(count("dominant", code.UpstreamLost, false), 0)
}
