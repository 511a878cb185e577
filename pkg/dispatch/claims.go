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
	// homeCall bounds a call to the home of a partition.
	homeCall = 2 * time.Second
	// homesTried is the number of entries asked, in the order of the homes.
	homesTried = 2
	// endTries and endPause bound the messages that end a claim.
	endTries = 10
	endPause = time.Second
)

// claimer hands operations on claims to the home of their partition.
type claimer struct {
	table *Table
	store *claimstore.Store

	// ending counts the claims whose end is not committed yet.
	ending sync.WaitGroup
}

func newClaimer(t *Table, s *claimstore.Store) *claimer { return &claimer{table: t, store: s} }

// do commits an operation at the first home that answers. An unreachable home is passed
// over; one that cannot reach the platform is not, so that an outage meets few writers.
func (c *claimer) do(ctx context.Context, o idempotency.Op) (idempotency.Decision, error) {
	homes := c.table.homes(o.Key.Partition())
	for _, h := range homes[:min(homesTried, len(homes))] {
		if h.client == nil {
			return c.store.Do(ctx, o)
		}
		callCtx, cancel := context.WithTimeout(ctx, homeCall)
		r, err := peer.Call[peer.ClaimResult](callCtx, h.client, peer.MethodClaim, peer.ClaimRequest{News: c.table.news(), Op: o})
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

// end commits the end of a claim in the background and repeats it when it fails. A
// claim whose end is lost counts as unsettled after its deadline.
func (c *claimer) end(o idempotency.Op) {
	c.ending.Go(func() {
		for range endTries {
			ctx, cancel := context.WithTimeout(context.Background(), 2*homeCall)
			_, err := c.do(ctx, o)
			cancel()
			if err == nil {
				return
			}
			time.Sleep(endPause)
		}
	})
}

// Drain waits until the ends of all claims are committed or ctx ends.
func (d *Dispatcher) Drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		d.claims.ending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// home is an entry that may commit the claims of a partition.
type home struct {
	name string
	// client is nil for this entry.
	client *peer.Client
}

// homes returns the entries in the order in which they are home of a partition.
func (t *Table) homes(partition int) []home {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := []string{t.opts.Name}
	for id, m := range t.members {
		if id != t.opts.Name && m.home(t.opts.Now()) {
			names = append(names, id)
		}
	}
	out := make([]home, 0, len(names))
	for _, n := range idempotency.Homes(partition, names) {
		h := home{name: n}
		if n != t.opts.Name {
			h.client = t.members[n].client
		}
		out = append(out, h)
	}
	return out
}

// home reports whether the member is an entry that lately answered.
func (m *member) home(now time.Time) bool {
	return m.instance.Role == instancelist.Entry && m.instance.State == instancelist.Live &&
		!m.status.Leaving && now.Sub(m.seen) <= StatusAge
}
