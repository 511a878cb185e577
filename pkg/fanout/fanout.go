package fanout

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// MaxDirect is the number of processes up to which the first one calls each of them itself, and
	// MaxRelayed that up to which a relay does.
	MaxDirect  = 16
	MaxRelayed = 8
	// maxRelays is the maximum number of parts into which a process divides more of them.
	maxRelays = 10
	// relayShare is the part of the time left that a relay may use. The rest is for calling its part directly
	// if it does not respond.
	relayShare = 0.7
	// relayMargin is how much earlier than its caller expects a relay ends its calls.
	relayMargin = 10 * time.Millisecond
	// avoidTime is how long a process that did not respond is not chosen as relay.
	avoidTime = 2 * time.Second
)

// Caller makes calls along trees. It is safe for concurrent use.
type Caller struct {
	// self is the address of this process.
	self string
	log  hclog.Logger

	mu sync.Mutex
	// avoidedUntil is until when a process that did not respond is not chosen as relay, by address.
	avoidedUntil map[string]time.Time
}

// NewCaller returns the caller of the process at an address.
func NewCaller(self string, log hclog.Logger) *Caller {
	return &Caller{self: self, log: log, avoidedUntil: map[string]time.Time{}}
}

// Calls are the calls to make. Both functions are called concurrently.
type Calls struct {
	// Relay calls the process with index at, which is to call all of part. An error means that it did not
	// respond.
	Relay func(ctx context.Context, part []int, at int) error
	// Direct calls the process with index i, or handles the call if that is this process.
	Direct func(ctx context.Context, i int)
}

// Do calls the processes at some addresses and waits for all calls. Processes that are near each other should stand
// together. Up to maxDirect are called directly.
func (c *Caller) Do(ctx context.Context, addresses []string, maxDirect int, calls Calls) {
	var wg sync.WaitGroup
	var others []int
	for i, address := range addresses {
		if address == c.self {
			wg.Go(func() { calls.Direct(ctx, i) })
			continue
		}
		others = append(others, i)
	}
	for _, part := range divide(others, maxDirect) {
		wg.Go(func() {
			if at := c.chooseRelay(addresses, part); at >= 0 && c.callRelay(ctx, addresses[at], part, at, calls) {
				return
			}
			for _, i := range part {
				wg.Go(func() { calls.Direct(ctx, i) })
			}
		})
	}
	wg.Wait()
}

// divide divides processes into parts. Parts with one process are called directly, as all are up to a number
// of maxDirect.
func divide(indexes []int, maxDirect int) [][]int {
	n := len(indexes)
	parts := n
	if n > maxDirect {
		parts = min(maxRelays, int(math.Ceil(math.Sqrt(float64(n)))))
	}
	out := make([][]int, 0, parts)
	for i := range parts {
		out = append(out, indexes[i*n/parts:(i+1)*n/parts])
	}
	return out
}

// chooseRelay returns the index of the process that relays for a part, or -1 if its processes are to be called
// directly.
func (c *Caller) chooseRelay(addresses []string, part []int) int {
	if len(part) < 2 {
		return -1
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, i := range part {
		if now.After(c.avoidedUntil[addresses[i]]) {
			return i
		}
	}
	return -1
}

// callRelay calls a relay with a part of the time left, and avoids it for some time if that fails. It reports whether
// it succeeded.
func (c *Caller) callRelay(ctx context.Context, address string, part []int, at int, calls Calls) bool {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(relayShare*float64(time.Until(deadline))))
		defer cancel()
	}
	err := calls.Relay(ctx, part, at)
	if err == nil {
		return true
	}
	c.log.Info("relay-failed", "address", address, "processes", len(part), "error", err.Error())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidedUntil[address] = time.Now().Add(avoidTime)
	return false
}

// TimeoutMillis returns the time in milliseconds that a relay may take of a call with this context, 0 for no limit.
func TimeoutMillis(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(1, time.Until(deadline.Add(-relayMargin)).Milliseconds())
}

// WithTimeout returns a context with the limit that TimeoutMillis returned.
func WithTimeout(ctx context.Context, millis int64) (context.Context, context.CancelFunc) {
	if millis <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(millis)*time.Millisecond)
}

// At returns the elements of a list at some indexes.
func At[T any](list []T, indexes []int) []T {
	out := make([]T, len(indexes))
	for k, i := range indexes {
		out[k] = list[i]
	}
	return out
}
