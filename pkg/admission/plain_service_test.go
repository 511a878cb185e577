package admission

import (
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serviceCall is a call of a plain service, whose response arrives in one piece.
type serviceCall struct {
	run    *Run
	endsAt time.Time
	// resetsBefore is the number of cold resets of the service before the start.
	resetsBefore int
}

// plainService simulates a service without parts. Its responses take 30 to 50 ms, and
// coldSlowdown times as long while it is cold.
type plainService struct {
	now        time.Time
	calls      []*serviceCall
	warm       bool
	coldResets int
	random     *rand.Rand
	// started counts the calls started since the test last set it to 0.
	started int
}

// fill starts as many calls as the limiter allows.
func (s *plainService) fill(l *Limiter) {
	for {
		r, ok := l.Start(s.now, 1, false)
		if !ok {
			return
		}
		took := 30*time.Millisecond + time.Duration(s.random.Int63n(int64(20*time.Millisecond)))
		if !s.warm {
			took *= coldSlowdown
		}
		s.calls = append(s.calls, &serviceCall{run: r, endsAt: s.now.Add(took), resetsBefore: s.coldResets})
		s.started++
	}
}

// endNextCall ends the call that is due first and reports whether it started before the
// newest cold reset.
func (s *plainService) endNextCall(l *Limiter) bool {
	first := slices.MinFunc(s.calls, func(a, b *serviceCall) int { return a.endsAt.Compare(b.endsAt) })
	s.now = first.endsAt
	s.calls = slices.DeleteFunc(s.calls, func(c *serviceCall) bool { return c == first })
	l.End(first.run, s.now, true)
	return first.resetsBefore < s.coldResets
}

// resetToCold makes the service cold without notice to the limiter: the time left of each
// call is multiplied by coldSlowdown.
func (s *plainService) resetToCold() {
	s.warm = false
	s.coldResets++
	for _, c := range s.calls {
		c.endsAt = s.now.Add(c.endsAt.Sub(s.now) * coldSlowdown)
	}
}

// TestUnreportedColdResetOfPlainService checks the limit for responses without parts: after
// an unreported cold reset at most the cold limit of calls starts, and two more for each
// response that was so near its end at the reset that it still arrived in time.
func TestUnreportedColdResetOfPlainService(t *testing.T) {
	is := is.New(t)
	const resets = 2000
	random := rand.New(rand.NewSource(20261203))
	startsUndetected := make([]int, 0, resets)
	for range resets {
		s := &plainService{now: time.Unix(1, 0), warm: true, random: random}
		l := New(testOptions())
		for range 500 + random.Intn(100) {
			s.fill(l)
			s.endNextCall(l)
		}
		is.Equal(l.Limit(s.now), warmLimit)
		s.resetToCold()
		s.started = 0
		endedFromBefore := 0
		for !l.IsCold() {
			if s.endNextCall(l) {
				endedFromBefore++
			}
			s.fill(l)
			is.True(s.started <= coldLimit+confirmedPerResponse*endedFromBefore)
		}
		startsUndetected = append(startsUndetected, s.started)
	}
	slices.Sort(startsUndetected)
	t.Logf("starts between the reset and its detection: median %d, p95 %d, most %d", startsUndetected[resets/2], startsUndetected[resets*95/100], startsUndetected[resets-1])
	is.True(startsUndetected[resets-1] <= warmLimit)
}
