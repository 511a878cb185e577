package lease

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
)

// Kind is the object kind of a lease.
const Kind = "lease"

// marginDivisor sets the margin for differing clock speeds: a holder considers its lease ended
// duration/marginDivisor early.
const marginDivisor = 10

// Record is the value of a lease object.
type Record struct {
	// Holder is the name of the holder, empty after a release.
	Holder string `json:"holder"`
	// Incarnation distinguishes processes of the same name.
	Incarnation string `json:"incarnation"`
	// FencingToken rises at each change of holder.
	FencingToken int64 `json:"fence"`
	// DurationMillis is the time without renewal after which another candidate may take over.
	DurationMillis int64 `json:"duration_ms"`
	// Renewals counts writes, so that each renewal changes the record.
	Renewals int64 `json:"renewals"`
}

// Lease is the view that one candidate has of a lease. It is not safe for concurrent use.
type Lease struct {
	client      *platform.Client
	name        string
	holder      string
	incarnation string
	duration    time.Duration

	record   Record
	revision int64
	// changedAt is the local time at which the record was last seen to change.
	changedAt time.Time
	// expiresAt is the local time at which the lease ends for this holder unless renewed.
	expiresAt time.Time
	// unconfirmedWrite is the newest write without a response, sent at unconfirmedSentAt.
	unconfirmedWrite  *Record
	unconfirmedSentAt time.Time
	// lastAttempt is the value of Renewals in the newest write attempt.
	lastAttempt int64
	// minFencingToken is a fencing token that a receiver has seen; the next fencing token is
	// higher.
	minFencingToken int64
}

// New returns a candidate's view of the named lease. Each view has an incarnation of its own.
func New(c *platform.Client, name, holder string, duration time.Duration) *Lease {
	return &Lease{
		client: c.WithPriority(platform.PrioritySafety), name: name, holder: holder,
		incarnation: uuid.NewString(), duration: duration,
	}
}

// IsHeld reports whether this candidate holds the lease now. It becomes false without a call when
// the lease is not renewed in time.
func (l *Lease) IsHeld() bool { return l.ownsRecord() && time.Now().Before(l.expiresAt) }

// FencingToken returns the fencing token under which the lease is held.
func (l *Lease) FencingToken() int64 { return l.record.FencingToken }

// Holder returns the name of the holder last seen, empty when there is none.
func (l *Lease) Holder() string { return l.record.Holder }

// RequireFencingTokenAbove makes the lease use fencing tokens above fencingToken from the next
// AcquireOrRenew on. Call it when a receiver rejects an order because it has seen a higher
// fencing token, which happens only after the platform was restored to an earlier state.
func (l *Lease) RequireFencingTokenAbove(fencingToken int64) {
	l.minFencingToken = max(l.minFencingToken, fencingToken)
}

// AcquireOrRenew renews the lease when it is held, takes it when it is free or expired, and
// otherwise only reads it. now is the current time. Call it several times within each duration.
// After an error the lease stays held, if it was, until the duration ends.
func (l *Lease) AcquireOrRenew(ctx context.Context, now time.Time) error {
	if l.ownsRecord() && l.unconfirmedWrite == nil && now.Before(l.expiresAt) {
		err := l.write(ctx, now)
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	if err := l.load(ctx, now); err != nil {
		return err
	}
	if !l.ownsRecord() && !l.canTake(now) {
		return nil
	}
	err := l.write(ctx, now)
	if errors.Is(err, platform.ErrConflict) {
		// Another candidate wrote first; the next AcquireOrRenew reads its record.
		return nil
	}
	return err
}

// Release gives the lease up, so that another candidate can take it without waiting.
func (l *Lease) Release(ctx context.Context) error {
	if !l.ownsRecord() {
		return nil
	}
	l.expiresAt = time.Time{}
	next := l.record
	next.Holder = ""
	next.Incarnation = ""
	_, err := l.client.Put(ctx, Kind, l.name, l.revision, next)
	l.record = Record{}
	l.revision = 0
	return err
}

// ownsRecord reports whether the record last seen was written by this incarnation.
func (l *Lease) ownsRecord() bool {
	return l.revision != 0 && l.record.Incarnation == l.incarnation
}

// canTake reports whether this candidate may write the lease: it is released, expired or its
// own.
func (l *Lease) canTake(now time.Time) bool {
	if l.record.Holder == "" {
		return true
	}
	if l.revision == 0 && l.record.Incarnation == l.incarnation && now.Before(l.expiresAt) {
		// The object was removed while this candidate held it; no other candidate can hold it yet.
		return true
	}
	if l.revision != 0 && l.record.Holder == l.holder {
		// Either the lease of this candidate expired and was not taken over, or an earlier
		// incarnation of this process holds it, whose orders the new fencing token makes stale.
		return true
	}
	return now.Sub(l.changedAt) > time.Duration(l.record.DurationMillis)*time.Millisecond
}

// load reads the object and resolves a write whose response was lost.
func (l *Lease) load(ctx context.Context, now time.Time) error {
	o, err := l.client.Get(ctx, Kind, l.name)
	if errors.Is(err, platform.ErrNotFound) {
		l.handleMissing(now)
		return nil
	}
	if err != nil {
		return err
	}
	if o.Revision == l.revision {
		return nil
	}
	var r Record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return oops.Wrapf(err, "decode lease %s", l.name)
	}
	l.record = r
	l.revision = o.Revision
	// The change took effect at some time before the response arrived.
	l.changedAt = now.Add(time.Since(now))
	if l.unconfirmedWrite != nil && *l.unconfirmedWrite == r {
		l.extendFrom(l.unconfirmedSentAt)
	}
	l.unconfirmedWrite = nil
	return nil
}

// handleMissing records that the object does not exist. After a removal the holder may not have
// noticed yet, so the candidate waits a full duration from now as after a renewal.
func (l *Lease) handleMissing(now time.Time) {
	if l.revision != 0 {
		l.changedAt = now.Add(time.Since(now))
	}
	l.revision = 0
	l.unconfirmedWrite = nil
}

// write takes or renews the lease.
func (l *Lease) write(ctx context.Context, now time.Time) error {
	next := Record{
		Holder:         l.holder,
		Incarnation:    l.incarnation,
		FencingToken:   l.record.FencingToken,
		DurationMillis: l.duration.Milliseconds(),
		Renewals:       max(l.record.Renewals, l.lastAttempt) + 1,
	}
	// Each attempt differs, so that a read identifies the attempt that took effect.
	l.lastAttempt = next.Renewals
	if !l.ownsRecord() || l.record.FencingToken <= l.minFencingToken {
		fencingToken, err := l.nextFencingToken(ctx)
		if err != nil {
			return err
		}
		next.FencingToken = fencingToken
	}
	o, err := l.client.Put(ctx, Kind, l.name, l.revision, next)
	if errors.Is(err, platform.ErrConflict) {
		l.handleConflict(now)
		return err
	}
	if err != nil {
		l.unconfirmedWrite = &next
		l.unconfirmedSentAt = now
		return err
	}
	l.record = next
	l.revision = o.Revision
	l.changedAt = now
	l.unconfirmedWrite = nil
	l.extendFrom(now)
	return nil
}

// unseenHolder stands for a holder whose record was not read yet.
const unseenHolder = "?"

// handleConflict records that another candidate wrote first. If its record was never read and
// the object is gone at the next read, its duration must still pass.
func (l *Lease) handleConflict(now time.Time) {
	if l.record.Holder == "" {
		l.record = Record{Holder: unseenHolder, DurationMillis: l.duration.Milliseconds()}
		l.changedAt = now.Add(time.Since(now))
	}
}

// extendFrom sets the end of the lease after a write sent at sentAt.
func (l *Lease) extendFrom(sentAt time.Time) {
	l.expiresAt = sentAt.Add(l.duration - l.duration/marginDivisor)
}

// nextFencingToken returns a fencing token above all earlier ones. A new object starts above the
// revision of the platform, because earlier tokens may be lost with the object.
func (l *Lease) nextFencingToken(ctx context.Context) (int64, error) {
	if l.revision != 0 {
		return max(l.record.FencingToken, l.minFencingToken) + 1, nil
	}
	list, err := l.client.List(ctx, Kind)
	return max(list.Revision, l.minFencingToken) + 1, err
}
