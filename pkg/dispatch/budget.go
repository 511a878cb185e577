package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/retry"
)

// budgets holds the retry budgets by organisation. It is safe for concurrent use.
type budgets struct {
	mu             sync.Mutex
	byOrganisation map[string]*retry.Budget
	// resumeBudget limits resumed streams. All organisations share it.
	resumeBudget *retry.Budget
}

func newBudgets() budgets {
	return budgets{
		byOrganisation: map[string]*retry.Budget{},
		resumeBudget:   retry.NewBudget(retry.DefaultRatio, retry.ResumeBurst),
	}
}

// forOrganisation returns the retry budget of an organisation. The caller holds budgets.mu.
func (b *budgets) forOrganisation(organisation string) *retry.Budget {
	budget, ok := b.byOrganisation[organisation]
	if !ok {
		budget = retry.NewBudget(retry.DefaultRatio, retry.DefaultBurst)
		b.byOrganisation[organisation] = budget
	}
	return budget
}

// recordEnd adds to the budgets when a request has ended with a complete response.
func (b *budgets) recordEnd(organisation string, c code.Code) {
	if c.Outcome() != code.Done {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forOrganisation(organisation).Deposit()
	b.resumeBudget.Deposit()
}

// allow reports whether another attempt may follow one that ended with c. Attempts that
// resume a stream, of which the caller already has a part, use a separate budget.
func (b *budgets) allow(organisation string, c code.Code, streamStarted bool) bool {
	if retry.IsFreeRetry(c) {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if streamStarted {
		return b.resumeBudget.Withdraw()
	}
	return b.forOrganisation(organisation).Withdraw()
}

// remainingTime returns the time until the deadline of ctx, or defaultDeadline without one.
func remainingTime(ctx context.Context) time.Duration {
	if at, ok := ctx.Deadline(); ok {
		return time.Until(at)
	}
	return defaultDeadline
}

// retryAfter returns the delay after which a caller that is rejected now may retry.
func (t *InstanceTable) retryAfter(wanted workTarget) time.Duration {
	now := t.opts.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pool(wanted)
	return p.pacer.RetryAfter(p.backlog(t.sinceCreated(now), t.regionEntries), now, rand.Float64())
}
