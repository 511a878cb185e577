package fanout

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/internal/bubble"
)

// tree is a set of processes that call each other.
type tree struct {
	mu      sync.Mutex
	callers map[string]*Caller
	down    map[string]bool
	// reached counts how often each process handled its own call, and calls the calls that each made.
	reached map[string]int
	calls   map[string]int
}

func newTree(n int) (*tree, []string) {
	t := &tree{callers: map[string]*Caller{}, down: map[string]bool{}, reached: map[string]int{}, calls: map[string]int{}}
	var addresses []string
	for i := range n {
		address := fmt.Sprint("process-", i)
		t.callers[address] = NewCaller(address, hclog.NewNullLogger())
		addresses = append(addresses, address)
	}
	return t, addresses
}

func (t *tree) call(ctx context.Context, from, to string) error {
	t.mu.Lock()
	t.calls[from]++
	down := t.down[to]
	t.mu.Unlock()
	if down {
		<-ctx.Done()
		return errors.New("no response")
	}
	return nil
}

// run makes one process call all.
func (t *tree) run(ctx context.Context, from string, addresses []string, maxDirect int) {
	t.callers[from].Do(ctx, addresses, maxDirect, Calls{
		Relay: func(ctx context.Context, part []int, at int) error {
			if err := t.call(ctx, from, addresses[at]); err != nil {
				return err
			}
			relayed, cancel := WithTimeout(context.Background(), TimeoutMillis(ctx))
			defer cancel()
			t.run(relayed, addresses[at], At(addresses, part), MaxRelayed)
			return ctx.Err()
		},
		Direct: func(ctx context.Context, i int) {
			if addresses[i] != from && t.call(ctx, from, addresses[i]) != nil {
				return
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			t.reached[addresses[i]]++
		},
	})
}

// SHORT: what a process calls grew with the number of processes. Each must be reached once.
func TestCallsOfAProcessDoNotGrowWithTheirNumber(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 10, 40, 160, 640} {
		tree, addresses := newTree(n)
		tree.run(t.Context(), addresses[0], addresses, MaxDirect)
		most := 0
		for _, address := range addresses {
			is.Equal(tree.reached[address], 1)
			most = max(most, tree.calls[address])
		}
		t.Logf("processes=%d calls=%d", n, most)
		is.True(most <= MaxDirect)
	}
}

// Processes that are down must not keep the others of their part from being called in time, and must not relay the
// next time.
func TestPartOfARelayThatIsDownIsCalledDirectly(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		const n, timeout = 72, 150 * time.Millisecond
		tree, addresses := newTree(n)
		for _, i := range []int{9, 25, 60} {
			tree.down[addresses[i]] = true
		}
		for range 2 {
			clear(tree.reached)
			begun := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			tree.run(ctx, addresses[0], addresses, MaxDirect)
			cancel()
			is.True(time.Since(begun) <= timeout)
			for i, address := range addresses {
				is.Equal(tree.reached[address] > 0, i != 9 && i != 25 && i != 60)
			}
		}
	})
}
