package retry

import "github.com/coltsfootpitch/coltsfootpitch/pkg/code"

// Budget limits the retries of one organisation to a fraction of its successful requests,
// plus a burst. It is not safe for concurrent use.
type Budget struct {
	ratio float64
	burst float64
	// balance is the number of retries that may be spent now.
	balance float64
}

// Default values of a budget.
const (
	// DefaultRatio is the number of retries that one successful request adds.
	DefaultRatio = 0.1
	// DefaultBurst is the largest number of retries that are saved up.
	DefaultBurst = 10
	// ResumeBurst is the largest number of stream resumptions that are saved up. It covers
	// the streams that an entry has in progress at the upstreams of one rack, so that all
	// of them can resume when the rack fails.
	ResumeBurst = 64
)

// NewBudget returns a full budget. Ratio is the number of retries added by each successful
// request; burst is the largest balance.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, balance: burst}
}

// Deposit records a successful request.
func (b *Budget) Deposit() { b.balance = min(b.burst, b.balance+b.ratio) }

// Withdraw spends one retry and reports whether the balance allowed it.
func (b *Budget) Withdraw() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// IsFreeRetry reports whether a retry after an attempt that ended with c costs no budget. The
// upstream rejected the attempt at once, and the rejection itself informs the entry that the
// upstream is not usable. Each upstream therefore rejects only those attempts of an entry
// that were already on their way.
func IsFreeRetry(c code.Code) bool {
	switch c {
	case code.ZoneOut, code.UpstreamLeaving, code.StaleIncarnation:
		return true
	}
	return false
}
