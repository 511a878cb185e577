package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/retry"
)

// budgets holds the retry budgets of the organisations. It is safe for concurrent use.
type budgets struct {
	mu             sync.Mutex
	byOrganisation map[string]*retry.Budget
	// resumeBudget is shared by all organisations.
	resumeBudget *retry.Budget
}

func newBudgets() budgets {
	return budgets{
		byOrganisation: map[string]*retry.Budget{},
		resumeBudget:   retry.NewBudget(retry.DefaultRatio, retry.ResumeBurst),
	}
}

// forOrganisation returns the budget forOrganisation an organisation. budgets.mu is held.
func (b *budgets) forOrganisation(organisation string) *retry.Budget {
	out, ok := b.byOrganisation[organisation]
	if !ok {
		out = retry.NewBudget(retry.DefaultRatio, retry.DefaultBurst)
		b.byOrganisation[organisation] = out
	}
	return out
}

// recordEnd notes the end of a request.
func (b *budgets) recordEnd(organisation string, c code.Code) {
	if c.Outcome() != code.Done {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forOrganisation(organisation).Deposit()
	b.resumeBudget.Deposit()
}

// allow reports whether another attempt may follow one that ended with c. The rest of
// a stream that the caller has begun to receive has a budget of its own.
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

// remainingTime returns the time until the deadline of ctx.
func remainingTime(ctx context.Context) time.Duration {
	if at, ok := ctx.Deadline(); ok {
		return time.Until(at)
	}
	return defaultDeadline
}

// retryAfter returns the time after which a caller refused now may send its request again.
func (t *Table) retryAfter(wanted workTarget) time.Duration {
	now := t.opts.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pool(wanted)
	return p.pacer.RetryAfter(p.backlog(t.sinceCreated(now), t.regionEntries), now, rand.Float64())
}
