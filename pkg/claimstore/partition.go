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
	// maxUpdateAttempts bounds the updates made for one group of operations.
	maxUpdateAttempts = 4
	// maxRejectionAge is the age up to which a refusal may be given from memory.
	maxRejectionAge = time.Second
)

// committer is the state of a partition as this process knows it. Only one goroutine uses
// it at a time.
type committer struct {
	name    string
	objects Objects
	now     func() time.Time
	// sleep waits between two updates after a conflict.
	sleep    func(context.Context, time.Duration)
	counters counters
	document idempotency.Document
	revision int64
	// isCurrent is set while document and revision are those of the platform as far as
	// this process can tell, and read is when they were last confirmed.
	isCurrent   bool
	confirmedAt time.Time
}

func newCommitter(partition int, o Options, m counters) *committer {
	return &committer{name: strconv.Itoa(partition), objects: o.Objects, now: o.Now, sleep: sleepContext, counters: m}
}

// commit applies a group of operations and returns a decision for each. An error
// means that none was settled.
func (h *committer) commit(ctx context.Context, ops []idempotency.Op) ([]idempotency.Decision, error) {
	for range maxUpdateAttempts {
		if err := h.load(ctx); err != nil {
			return nil, err
		}
		next, decisions, changed := h.apply(ops)
		if !changed && h.canUseCached(decisions) {
			return decisions, nil
		}
		if !changed {
			h.isCurrent = false
			continue
		}
		written, err := h.write(ctx, next)
		if written {
			return decisions, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, errTooManyConflicts
}

var errTooManyConflicts = errors.New("claimstore: other processes kept changing the partition")

// canUseCached reports whether decisions that change nothing canUseCached be given out from memory. A
// refusal must rest on a document that was confirmed lately; what is done stays done.
func (h *committer) canUseCached(decisions []idempotency.Decision) bool {
	if h.now().Sub(h.confirmedAt) <= maxRejectionAge {
		return true
	}
	for _, d := range decisions {
		if d.Code != code.Duplicate {
			return false
		}
	}
	return true
}

// load reads the document unless it is known.
func (h *committer) load(ctx context.Context) error {
	if h.isCurrent {
		return nil
	}
	h.counters.reads.Inc(1)
	o, err := h.objects.Get(ctx, Kind, h.name)
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
	h.document = d
	h.setConfirmed(o.Revision)
	return nil
}

func (h *committer) setConfirmed(revision int64) {
	h.revision = revision
	h.isCurrent = true
	h.confirmedAt = h.now()
}

// apply applies the operations to a copy of the document.
func (h *committer) apply(ops []idempotency.Op) (idempotency.Document, []idempotency.Decision, bool) {
	now := h.now().UnixMilli()
	next := h.document.Clone()
	next.Expire(now)
	out := make([]idempotency.Decision, len(ops))
	changed := false
	for i, o := range ops {
		d, opChanged := next.Apply(o, now)
		out[i] = d
		changed = changed || opChanged
	}
	return next, out, changed
}

// write updates the document. It returns false without an error when the operations
// must be applied again.
func (h *committer) write(ctx context.Context, next idempotency.Document) (bool, error) {
	h.counters.writes.Inc(1)
	o, err := h.objects.Put(ctx, Kind, h.name, h.revision, next)
	if err == nil {
		h.document = next
		h.setConfirmed(o.Revision)
		return true, nil
	}
	h.isCurrent = false
	if errors.Is(err, platform.ErrConflict) {
		h.counters.conflicts.Inc(1)
		h.sleep(ctx, rand.N(Interval/4))
		return false, nil
	}
	h.counters.faults.Inc(1)
	// The update may have taken effect: read back.
	return false, ctx.Err()
}

func sleepContext(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
