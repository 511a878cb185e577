package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxSpent ends the spending of a budget without end.
const maxSpent = 1000

// spend takes all retries that the budgets of the gateways allow now and returns their number.
func spend(gateways []*Gateway, now time.Time) int {
	n := 0
	for _, g := range gateways {
		for n < maxSpent && g.withdrawRetry("s", now) {
			n++
		}
	}
	return n
}

// budgetGateways returns gateways that have run for longer than the window of the retry budget.
func budgetGateways(t *testing.T, count int, now time.Time) []*Gateway {
	t.Helper()
	var out []*Gateway
	for range count {
		g := newTestbed(t, 0).gateway
		g.SetGatewayCount(max(1, count), count)
		out = append(out, g)
	}
	return out
}

// BUDGET: gateways spent their retries again each time the number of gateways changed, as they count it.
func TestRetryBudgetOutlivesChangesOfTheNumberOfGateways(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	gateways := budgetGateways(t, 4, now)
	spent := 0
	for i := range 14 {
		for _, g := range gateways {
			g.SetGatewayCount(4-i%2, 4-i%2)
		}
		spent += spend(gateways, now)
		now = now.Add(700 * time.Millisecond)
	}
	t.Logf("%d retries in 9.8 s without a request", spent)
	is.True(spent <= 94)
	is.True(spent >= 60) // the budget is used
}

// BUDGET: gateways that restart together counted themselves as alone, or as new, and spent the retries that their former
// processes had spent.
func TestStartedGatewaysDoNotSpendTheRetryBudgetAgain(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	spent := spend(budgetGateways(t, 4, now), now)
	var started []*Gateway
	for range 4 {
		g := newTestbed(t, 0).gateway
		g.startedAt = now
		started = append(started, g)
	}
	for _, count := range []int{0, 1, 2, 3, 4} { // they find each other
		for _, g := range started {
			g.SetGatewayCount(max(1, count), count)
		}
		spent += spend(started, now)
		now = now.Add(time.Second)
	}
	t.Logf("%d retries in 5 s without a request", spent)
	is.True(spent <= 94)
}
