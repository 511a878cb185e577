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

// marginDivisor is the part of the duration by which a holder gives up early.
const marginDivisor = 10

// Record is the value of a lease object.
type Record struct {
	// Holder is the name of the holder, empty when the lease was released.
	Holder string `json:"holder"`
	// Incarnation tells two processes with the same name apart.
	Incarnation string `json:"incarnation"`
	// Fence rises at each change of holder.
	Fence int64 `json:"fence"`
	// DurationMillis is the time without renewal after which others may take over.
	DurationMillis int64 `json:"duration_ms"`
	// Renewals tells renewals apart.
	Renewals int64 `json:"renewals"`
}

// Lease is one candidate's view of a lease. It is not safe for concurrent use.
type Lease struct {
	client      *platform.Client
	name        string
	holder      string
	incarnation string
	duration    time.Duration

	record   Record
	revision int64
	// changedAt is when the record was last seen to change, on the own clock.
	changedAt time.Time
	// heldUntil is when the holder gives up unless it renews.
	heldUntil time.Time
	// unconfirmedWrite is the newest write whose answer was lost, and sentAt when it was unconfirmedWrite.
	unconfirmedWrite  *Record
	unconfirmedSentAt time.Time
	// lastAttempt is the number of the newest attempt to write.
	lastAttempt int64
	// tokenFloor is a fencing number that a receiver has seen; the next one is higher.
	tokenFloor int64
}

// New returns a view of the named lease for a candidate.
func New(c *platform.Client, name, holder string, duration time.Duration) *Lease {
	return &Lease{
		client: c.With(platform.Safety), name: name, holder: holder,
		incarnation: uuid.NewString(), duration: duration,
	}
}

// Held reports whether the lease is held now. It turns false by itself when the
// lease was not renewed in time.
func (l *Lease) Held() bool { return l.ownsRecord() && time.Now().Before(l.heldUntil) }

// Fence returns the fencing number under which the lease is held.
func (l *Lease) Fence() int64 { return l.record.Fence }

// Holder returns the name of the holder as last seen, empty when there is none.
func (l *Lease) Holder() string { return l.record.Holder }

// Raise makes the lease use a number above fence from its next Step on. Call it when a receiver
// refuses an order because it has seen a higher number, which only happens after the
// platform was set back.
func (l *Lease) Raise(token int64) { l.tokenFloor = max(l.tokenFloor, token) }

// Step renews the lease when it is held, takes it when it is free or has lapsed, and
// otherwise only looks. Now is the current time. Call it several times in each duration.
// An error leaves Held as it was until the duration ends.
func (l *Lease) Step(ctx context.Context, now time.Time) error {
	if l.ownsRecord() && l.unconfirmedWrite == nil && now.Before(l.heldUntil) {
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
		// Another candidate was faster; the next Step sees it.
		return nil
	}
	return err
}

// Release gives the lease up, so that another candidate need not wait.
func (l *Lease) Release(ctx context.Context) error {
	if !l.ownsRecord() {
		return nil
	}
	l.heldUntil = time.Time{}
	next := l.record
	next.Holder = ""
	next.Incarnation = ""
	_, err := l.client.Put(ctx, Kind, l.name, l.revision, next)
	l.record = Record{}
	l.revision = 0
	return err
}

func (l *Lease) ownsRecord() bool {
	return l.revision != 0 && l.record.Incarnation == l.incarnation
}

// canTake reports whether the lease may be taken from its holder.
func (l *Lease) canTake(now time.Time) bool {
	if l.record.Holder == "" {
		return true
	}
	if l.revision == 0 && l.record.Incarnation == l.incarnation && now.Before(l.heldUntil) {
		// The object was removed while this candidate held it; nobody else can hold it yet.
		return true
	}
	if l.revision != 0 && l.record.Holder == l.holder {
		// This candidate lapsed and nobody took over, or it is an earlier incarnation of
		// this process, which the fencing number stops if it still runs.
		return true
	}
	return now.Sub(l.changedAt) > time.Duration(l.record.DurationMillis)*time.Millisecond
}

// load reads the object and settles a write whose answer was lost.
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
	// The change took effect at some time before the answer arrived.
	l.changedAt = now.Add(time.Since(now))
	if l.unconfirmedWrite != nil && *l.unconfirmedWrite == r {
		l.extendFrom(l.unconfirmedSentAt)
	}
	l.unconfirmedWrite = nil
	return nil
}

// handleMissing takes in that the object does not exist. When it was removed its holder may not
// know yet, so that the candidate waits from now on as for a renewal.
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
		Fence:          l.record.Fence,
		DurationMillis: l.duration.Milliseconds(),
		Renewals:       max(l.record.Renewals, l.lastAttempt) + 1,
	}
	// No two attempts are alike, so that a lost answer is settled for the right one.
	l.lastAttempt = next.Renewals
	if !l.ownsRecord() || l.record.Fence <= l.tokenFloor {
		token, err := l.nextToken(ctx)
		if err != nil {
			return err
		}
		next.Fence = token
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

// unseenHolder stands for a holder that was not seen yet.
const unseenHolder = "?"

// handleConflict takes in that another candidate wrote first. When its record was never seen and
// the object is gone at the next look, its duration must pass all the same.
func (l *Lease) handleConflict(now time.Time) {
	if l.record.Holder == "" {
		l.record = Record{Holder: unseenHolder, DurationMillis: l.duration.Milliseconds()}
		l.changedAt = now.Add(time.Since(now))
	}
}

// extendFrom sets the end of a renewal that was sent at a time.
func (l *Lease) extendFrom(sentAt time.Time) {
	l.heldUntil = sentAt.Add(l.duration - l.duration/marginDivisor)
}

// nextToken returns a number above all given before. A new object starts above the
// revision of the platform, because earlier numbers may be forgotten.
func (l *Lease) nextToken(ctx context.Context) (int64, error) {
	if l.revision != 0 {
		return max(l.record.Fence, l.tokenFloor) + 1, nil
	}
	list, err := l.client.List(ctx, Kind)
	return max(list.Revision, l.tokenFloor) + 1, err
}
