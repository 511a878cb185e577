package claimstore

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/idempotency"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
)

// Kind is the object kind of a partition.
const Kind = "idempotency-claims"

const (
	// maxUpdateAttempts limits the updates made for one group of operations.
	maxUpdateAttempts = 4
	// maxRejectionAge is the maximum age of a cached document on which a rejection may rest.
	maxRejectionAge = time.Second
)

// committer commits operations on one partition and caches its document. Only one goroutine uses
// it at a time.
type committer struct {
	name    string
	objects ObjectClient
	now     func() time.Time
	// sleep waits between two updates after a conflict.
	sleep    func(context.Context, time.Duration)
	counters counters
	document idempotency.Document
	revision int64
	// isCurrent is set while document and revision are assumed to match those of the platform;
	// confirmedAt is when the platform last confirmed them.
	isCurrent   bool
	confirmedAt time.Time
}

func newCommitter(partition int, o Options, m counters) *committer {
	return &committer{name: strconv.Itoa(partition), objects: o.Objects, now: o.Now, sleep: sleepContext, counters: m}
}

// commit applies a group of operations and returns a decision for each. After an error no
// operation has a decision.
func (c *committer) commit(ctx context.Context, ops []idempotency.Op) ([]idempotency.Decision, error) {
	for range maxUpdateAttempts {
		if err := c.load(ctx); err != nil {
			return nil, err
		}
		next, decisions, changed := c.apply(ops)
		if !changed && c.canUseCached(decisions) {
			return decisions, nil
		}
		if !changed {
			c.isCurrent = false
			continue
		}
		written, err := c.write(ctx, next)
		if written {
			return decisions, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, errTooManyConflicts
}

var errTooManyConflicts = errors.New("claimstore: update partition: too many conflicts with other processes")

// canUseCached reports whether decisions that change nothing may be returned from the cached
// document. A rejection requires a document that was confirmed recently; a finished claim stays
// finished, so its recorded response needs no confirmation.
func (c *committer) canUseCached(decisions []idempotency.Decision) bool {
	if c.now().Sub(c.confirmedAt) <= maxRejectionAge {
		return true
	}
	for _, d := range decisions {
		if d.Code != code.Duplicate {
			return false
		}
	}
	return true
}

// load reads the document unless the cached one is current.
func (c *committer) load(ctx context.Context) error {
	if c.isCurrent {
		return nil
	}
	c.counters.reads.Inc(1)
	o, err := c.objects.Get(ctx, Kind, c.name)
	if errors.Is(err, platform.ErrNotFound) {
		o = platform.Object{Value: json.RawMessage("{}")}
		err = nil
	}
	if err != nil {
		return err
	}
	var d idempotency.Document
	if err := json.Unmarshal(o.Value, &d); err != nil {
		return err
	}
	c.document = d
	c.setConfirmed(o.Revision)
	return nil
}

// setConfirmed marks the cached document as that of the platform at a revision.
func (c *committer) setConfirmed(revision int64) {
	c.revision = revision
	c.isCurrent = true
	c.confirmedAt = c.now()
}

// apply applies the operations to a copy of the document. It returns the copy, a decision for
// each operation, and whether the copy differs.
func (c *committer) apply(ops []idempotency.Op) (idempotency.Document, []idempotency.Decision, bool) {
	now := c.now().UnixMilli()
	next := c.document.Clone()
	next.RemoveExpired(now)
	out := make([]idempotency.Decision, len(ops))
	changed := false
	for i, o := range ops {
		d, opChanged := next.Apply(o, now)
		out[i] = d
		changed = changed || opChanged
	}
	return next, out, changed
}

// write updates the document at the platform. It returns false without an error when the
// operations must be applied again.
func (c *committer) write(ctx context.Context, next idempotency.Document) (bool, error) {
	c.counters.writes.Inc(1)
	o, err := c.objects.Put(ctx, Kind, c.name, c.revision, next)
	if err == nil {
		c.document = next
		c.setConfirmed(o.Revision)
		return true, nil
	}
	c.isCurrent = false
	if errors.Is(err, platform.ErrConflict) {
		c.counters.conflicts.Inc(1)
		c.sleep(ctx, rand.N(CommitInterval/4))
		return false, nil
	}
	c.counters.faults.Inc(1)
	// The update may have taken effect; the next attempt reads the document back.
	return false, ctx.Err()
}

// sleepContext waits for d or until ctx is done.
func sleepContext(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
