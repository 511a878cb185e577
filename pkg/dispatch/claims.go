package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/claimstore"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/idempotency"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/instancelist"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

const (
	// coordinatorCallTimeout is the timeout of a call to the coordinator of a partition.
	coordinatorCallTimeout = 2 * time.Second
	// maxCoordinatorsTried is the number of coordinators called in turn for one operation.
	maxCoordinatorsTried = 2
	// maxEndAttempts and endRetryInterval limit the attempts to commit the end of a claim.
	maxEndAttempts   = 10
	endRetryInterval = time.Second
)

// claimer sends claim operations to the coordinator of their partition.
type claimer struct {
	table *InstanceTable
	store *claimstore.Store

	// uncommittedEnds tracks the claims whose end is not committed yet.
	uncommittedEnds sync.WaitGroup
}

func newClaimer(t *InstanceTable, s *claimstore.Store) *claimer { return &claimer{table: t, store: s} }

// commit commits an operation at the first coordinator that responds. It skips an unreachable
// coordinator, but not one that cannot reach the platform: otherwise more entries would write
// to the platform during an outage. It returns claimstore.ErrUnavailable when no coordinator
// can commit.
func (c *claimer) commit(ctx context.Context, o idempotency.Op) (idempotency.Decision, error) {
	coordinators := c.table.coordinators(o.Key.Partition())
	for _, coord := range coordinators[:min(maxCoordinatorsTried, len(coordinators))] {
		if coord.client == nil {
			return c.store.Commit(ctx, o)
		}
		callCtx, cancel := context.WithTimeout(ctx, coordinatorCallTimeout)
		r, err := peer.Call[peer.ClaimResult](callCtx, coord.client, peer.MethodClaim, peer.ClaimRequest{SenderState: c.table.senderState(), Op: o})
		cancel()
		if err != nil {
			continue
		}
		if !r.Confirmed {
			return idempotency.Decision{}, claimstore.ErrUnavailable
		}
		return r.Decision, nil
	}
	return idempotency.Decision{}, claimstore.ErrUnavailable
}

// commitEnd commits the end of a claim in the background and retries when that fails. A
// claim whose end is lost counts as unsettled after its deadline.
func (c *claimer) commitEnd(o idempotency.Op) {
	c.uncommittedEnds.Go(func() {
		for range maxEndAttempts {
			ctx, cancel := context.WithTimeout(context.Background(), 2*coordinatorCallTimeout)
			_, err := c.commit(ctx, o)
			cancel()
			if err == nil {
				return
			}
			time.Sleep(endRetryInterval)
		}
	})
}

// Drain waits until the ends of all claims are committed or ctx ends.
func (d *Dispatcher) Drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		d.claims.uncommittedEnds.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// coordinator is an entry that commits the claims of a partition.
type coordinator struct {
	name string
	// client is nil for this entry.
	client *peer.Client
}

// coordinators returns the coordinators of a partition, in order of preference.
func (t *InstanceTable) coordinators(partition int) []coordinator {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := []string{t.opts.Name}
	for id, m := range t.members {
		if id != t.opts.Name && m.canCoordinate(t.opts.Now()) {
			names = append(names, id)
		}
	}
	out := make([]coordinator, 0, len(names))
	for _, n := range idempotency.CoordinatorOrder(partition, names) {
		coord := coordinator{name: n}
		if n != t.opts.Name {
			coord.client = t.members[n].client
		}
		out = append(out, coord)
	}
	return out
}

// canCoordinate reports whether the member is a live entry with a recent status.
func (m *member) canCoordinate(now time.Time) bool {
	return m.instance.Role == instancelist.RoleEntry && m.instance.State == instancelist.StateLive &&
		!m.status.Leaving && now.Sub(m.requestedAt) <= MaxStatusAge
}
