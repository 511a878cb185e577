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
	// coordinatorCallTimeout bounds a call to the home of a partition.
	coordinatorCallTimeout = 2 * time.Second
	// maxCoordinatorsTried is the number of entries asked, in the order of the homes.
	maxCoordinatorsTried = 2
	// maxEndAttempts and endPause bound the messages that end a claim.
	maxEndAttempts   = 10
	endRetryInterval = time.Second
)

// claimer hands operations on claims to the home of their partition.
type claimer struct {
	table *Table
	store *claimstore.Store

	// uncommittedEnds counts the claims whose end is not committed yet.
	uncommittedEnds sync.WaitGroup
}

func newClaimer(t *Table, s *claimstore.Store) *claimer { return &claimer{table: t, store: s} }

// commit commits an operation at the first home that answers. An unreachable home is passed
// over; one that cannot reach the platform is not, so that an outage meets few writers.
func (c *claimer) commit(ctx context.Context, o idempotency.Op) (idempotency.Decision, error) {
	homes := c.table.coordinators(o.Key.Partition())
	for _, h := range homes[:min(maxCoordinatorsTried, len(homes))] {
		if h.client == nil {
			return c.store.Do(ctx, o)
		}
		callCtx, cancel := context.WithTimeout(ctx, coordinatorCallTimeout)
		r, err := peer.Call[peer.ClaimResult](callCtx, h.client, peer.MethodClaim, peer.ClaimRequest{News: c.table.updates(), Op: o})
		cancel()
		if err != nil {
			continue
		}
		if !r.Available {
			return idempotency.Decision{}, claimstore.ErrUnavailable
		}
		return r.Decision, nil
	}
	return idempotency.Decision{}, claimstore.ErrUnavailable
}

// commitEnd commits the commitEnd of a claim in the background and repeats it when it fails. A
// claim whose commitEnd is lost counts as unsettled after its deadline.
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

// coordinator is an entry that may commit the claims of a partition.
type coordinator struct {
	name string
	// client is nil for this entry.
	client *peer.Client
}

// coordinators returns the entries in the order in which they are home of a partition.
func (t *Table) coordinators(partition int) []coordinator {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := []string{t.opts.Name}
	for id, m := range t.members {
		if id != t.opts.Name && m.canCoordinate(t.opts.Now()) {
			names = append(names, id)
		}
	}
	out := make([]coordinator, 0, len(names))
	for _, n := range idempotency.Homes(partition, names) {
		h := coordinator{name: n}
		if n != t.opts.Name {
			h.client = t.members[n].client
		}
		out = append(out, h)
	}
	return out
}

// canCoordinate reports whether the member is an entry that lately answered.
func (m *member) canCoordinate(now time.Time) bool {
	return m.instance.Role == instancelist.Entry && m.instance.State == instancelist.Live &&
		!m.status.Leaving && now.Sub(m.requestedAt) <= StatusAge
}
