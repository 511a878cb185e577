package admission

import (
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serviceCall is one serviceCall of a plain service, whose answer comes in one piece.
type serviceCall struct {
	run          *Run
	endsAt       time.Time
	resetsBefore int
}

// plainService models a service without parts. Its answers take 30 to 50 ms, and
// coldFactor times as long while it is cold.
type plainService struct {
	now        time.Time
	calls      []*serviceCall
	warm       bool
	coldResets int
	random     *rand.Rand
	started    int
}

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

// endNextCall ends the call that is due first and reports whether it started before the turn.
func (s *plainService) endNextCall(l *Limiter) bool {
	first := slices.MinFunc(s.calls, func(a, b *serviceCall) int { return a.endsAt.Compare(b.endsAt) })
	s.now = first.endsAt
	s.calls = slices.DeleteFunc(s.calls, func(c *serviceCall) bool { return c == first })
	l.End(first.run, s.now, true)
	return first.resetsBefore < s.coldResets
}

// resetToCold stretches what is left of each call.
func (s *plainService) resetToCold() {
	s.warm = false
	s.coldResets++
	for _, c := range s.calls {
		c.endsAt = s.now.Add(c.endsAt.Sub(s.now) * coldSlowdown)
	}
}

// TestUnreportedColdResetOfPlainService checks what is promised for answers without parts:
// after a silent turn at most the cold limit starts, and two more for each answer
// that was so near its end at the turn that it still came in time.
func TestUnreportedColdResetOfPlainService(t *testing.T) {
	is := is.New(t)
	const turns = 2000
	random := rand.New(rand.NewSource(20261203))
	exposed := make([]int, 0, turns)
	for range turns {
		s := &plainService{now: time.Unix(1, 0), warm: true, random: random}
		l := New(testOptions())
		for range 500 + random.Intn(100) {
			s.fill(l)
			s.endNextCall(l)
		}
		is.Equal(l.Limit(s.now), warmLimit)
		s.resetToCold()
		s.started = 0
		old := 0
		for !l.Cold() {
			if s.endNextCall(l) {
				old++
			}
			s.fill(l)
			is.True(s.started <= coldLimit+confirmedPerResponse*old)
		}
		exposed = append(exposed, s.started)
	}
	slices.Sort(exposed)
	t.Logf("starts between the turn and its sign: median %d, p95 %d, most %d", exposed[turns/2], exposed[turns*95/100], exposed[turns-1])
	is.True(exposed[turns-1] <= warmLimit)
}
