package retry

import "github.com/coltsfootpitch/coltsfootpitch/pkg/code"

// Budget bounds the retries of one organisation. It is not safe for concurrent use.
type Budget struct {
	ratio   float64
	max     float64
	balance float64
}

// Default values of a budget.
const (
	// DefaultRatio is the number of retries that one success pays for.
	DefaultRatio = 0.1
	// DefaultBurst is the largest number of retries saved up.
	DefaultBurst = 10
	// ResumeBurst is the largest number of resumed streams saved up: those that an entry
	// has in progress at the upstreams of a rack.
	ResumeBurst = 64
)

// New returns a full budget.
func New(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, max: burst, balance: burst}
}

// Deposit notes a request that was answered.
func (b *Budget) Deposit() { b.balance = min(b.max, b.balance+b.ratio) }

// Withdraw takes one retry and reports whether the budget allowed it.
func (b *Budget) Withdraw() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Free reports whether a further attempt after c costs no budget. The upstream refused
// at once for a reason that the entry learns with the refusal, so that each upstream
// refuses an entry only the attempts that were under way.
func Free(c code.Code) bool {
	switch c {
	case code.ZoneOut, code.UpstreamLeaving, code.StaleIncarnation:
		return true
	}
	return false
}
