package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

func TestBudgetFollowsSuccesses(t *testing.T) {
	is := is.New(t)
	b := NewBudget(0.1, 10)
	spent := 0
	for range 1000 {
		if b.Withdraw() {
			spent++
		}
	}
	is.Equal(spent, 10) // without a successful request only the burst is spent
	for range 1000 {
		b.Deposit()
		if b.Withdraw() {
			spent++
		}
	}
	is.True(spent >= 10+99 && spent <= 10+100) // one retry for ten successful requests
}

func TestDrain(t *testing.T) {
	is := is.New(t)
	b := Backlog{Requests: 30, Limit: 10, ServiceTime: time.Second}
	is.Equal(b.DrainTime(), 2100*time.Millisecond)
	b.Requests = 9
	is.Equal(b.DrainTime(), time.Duration(0))
	is.Equal(Backlog{Requests: 5}.DrainTime(), time.Duration(0)) // unknown limit and service time
}

// Rejected callers return at no more than half of the drain rate, however many are rejected
// at the same time, until all slots are assigned.
func TestPacerSpreadsRetries(t *testing.T) {
	is := is.New(t)
	var p Pacer
	now := time.Unix(1000, 0)
	r := rand.New(rand.NewPCG(1, 2))
	b := Backlog{Requests: 10, Limit: 10, ServiceTime: time.Second, Entries: 1}
	returns := map[int]int{}
	for range 5000 {
		delay := p.RetryAfter(b, now, r.Float64())
		is.True(delay >= MinRetryAfter && delay <= MaxRetryAfter)
		returns[int(delay.Seconds())]++
	}
	for second := range 14 {
		is.True(returns[second] <= 10) // half of the rate of 10, with jitter
	}
	is.True(returns[0]+returns[1]+returns[2] > 0)
}

func TestRequestsThatCannotMeetTheirDeadlineAreRejected(t *testing.T) {
	cases := []struct {
		wait, left, service time.Duration
		want                code.Code
	}{
		{0, time.Second, 100 * time.Millisecond, code.OK},
		{0, time.Millisecond, time.Second, code.OK}, // an idle upstream may be faster than its mean
		{950 * time.Millisecond, time.Second, 100 * time.Millisecond, code.DeadlineTooShort},
		{850 * time.Millisecond, time.Second, 100 * time.Millisecond, code.OK},
		{StartBudget + 1, time.Hour, time.Second, code.Overloaded},
	}
	for _, c := range cases {
		is.New(t).Equal(CheckWait(c.wait, c.left, c.service), c.want)
	}
}

func TestRetriesWithoutCost(t *testing.T) {
	is := is.New(t)
	is.True(IsFreeRetry(code.ZoneOut))
	is.True(!IsFreeRetry(code.Overloaded))
	is.True(!IsFreeRetry(code.UpstreamLost))
}
