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
	// maxTries bounds the updates made for one group of operations.
	maxTries = 4
	// freshness is the age up to which a refusal may be given from memory.
	freshness = time.Second
)

// held is the state of a partition as this process knows it. Only one goroutine uses
// it at a time.
type held struct {
	name    string
	objects Objects
	now     func() time.Time
	// pause waits between two updates after a conflict.
	pause    func(context.Context, time.Duration)
	meters   meters
	document idempotency.Document
	revision int64
	// known is set while document and revision are those of the platform as far as
	// this process can tell, and read is when they were last confirmed.
	known bool
	read  time.Time
}

func newHeld(partition int, o Options, m meters) *held {
	return &held{name: strconv.Itoa(partition), objects: o.Objects, now: o.Now, pause: pause, meters: m}
}

// commit applies a group of operations and returns a decision for each. An error
// means that none was settled.
func (h *held) commit(ctx context.Context, ops []idempotency.Op) ([]idempotency.Decision, error) {
	for range maxTries {
		if err := h.load(ctx); err != nil {
			return nil, err
		}
		next, decisions, changed := h.apply(ops)
		if !changed && h.may(decisions) {
			return decisions, nil
		}
		if !changed {
			h.known = false
			continue
		}
		done, err := h.write(ctx, next)
		if done {
			return decisions, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, errContended
}

var errContended = errors.New("claimstore: other processes kept changing the partition")

// may reports whether decisions that change nothing may be given out from memory. A
// refusal must rest on a document that was confirmed lately; what is done stays done.
func (h *held) may(decisions []idempotency.Decision) bool {
	if h.now().Sub(h.read) <= freshness {
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
func (h *held) load(ctx context.Context) error {
	if h.known {
		return nil
	}
	h.meters.reads.Inc(1)
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
	h.confirmed(o.Revision)
	return nil
}

func (h *held) confirmed(revision int64) {
	h.revision = revision
	h.known = true
	h.read = h.now()
}

// apply applies the operations to a copy of the document.
func (h *held) apply(ops []idempotency.Op) (idempotency.Document, []idempotency.Decision, bool) {
	now := h.now().UnixMilli()
	next := h.document.Clone()
	next.Expire(now)
	out := make([]idempotency.Decision, len(ops))
	changed := false
	for i, o := range ops {
		d, c := next.Apply(o, now)
		out[i] = d
		changed = changed || c
	}
	return next, out, changed
}

// write updates the document. It returns false without an error when the operations
// must be applied again.
func (h *held) write(ctx context.Context, next idempotency.Document) (bool, error) {
	h.meters.writes.Inc(1)
	o, err := h.objects.Put(ctx, Kind, h.name, h.revision, next)
	if err == nil {
		h.document = next
		h.confirmed(o.Revision)
		return true, nil
	}
	h.known = false
	if errors.Is(err, platform.ErrConflict) {
		h.meters.conflicts.Inc(1)
		h.pause(ctx, rand.N(Interval/4))
		return false, nil
	}
	h.meters.faults.Inc(1)
	// The update may have taken effect: read back.
	return false, ctx.Err()
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
