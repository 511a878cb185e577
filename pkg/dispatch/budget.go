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
	mu     sync.Mutex
	byName map[string]*retry.Budget
	// resumes is shared by all organisations.
	resumes *retry.Budget
}

func newBudgets() budgets {
	return budgets{
		byName:  map[string]*retry.Budget{},
		resumes: retry.NewBudget(retry.DefaultRatio, retry.ResumeBurst),
	}
}

// of returns the budget of an organisation. budgets.mu is held.
func (b *budgets) of(organisation string) *retry.Budget {
	out, ok := b.byName[organisation]
	if !ok {
		out = retry.NewBudget(retry.DefaultRatio, retry.DefaultBurst)
		b.byName[organisation] = out
	}
	return out
}

// ended notes the end of a request.
func (b *budgets) ended(organisation string, c code.Code) {
	if c.Outcome() != code.Done {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(organisation).Deposit()
	b.resumes.Deposit()
}

// allow reports whether another attempt may follow one that ended with c. The rest of
// a stream that the caller has begun to receive has a budget of its own.
func (b *budgets) allow(organisation string, c code.Code, begun bool) bool {
	if retry.IsFreeRetry(c) {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if begun {
		return b.resumes.Withdraw()
	}
	return b.of(organisation).Withdraw()
}

// timeLeft returns the time until the deadline of ctx.
func timeLeft(ctx context.Context) time.Duration {
	if at, ok := ctx.Deadline(); ok {
		return time.Until(at)
	}
	return defaultDeadline
}

// retryAfter returns the time after which a caller refused now may send its request again.
func (t *Table) retryAfter(w target) time.Duration {
	now := t.opts.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pool(w)
	return p.pacer.RetryAfter(p.backlog(t.since(now), t.entries), now, rand.Float64())
}
