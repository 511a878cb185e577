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

// marginPart is the part of the duration by which a holder gives up early.
const marginPart = 10

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
	// changed is when the record was last seen to change, on the own clock.
	changed time.Time
	// until is when the holder gives up unless it renews.
	until time.Time
	// sent is the newest write whose answer was lost, and sentAt when it was sent.
	sent   *Record
	sentAt time.Time
	// tries is the number of the newest attempt to write.
	tries int64
	// floor is a fencing number that a receiver has seen; the next one is higher.
	floor int64
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
func (l *Lease) Held() bool { return l.mine() && time.Now().Before(l.until) }

// Fence returns the fencing number under which the lease is held.
func (l *Lease) Fence() int64 { return l.record.Fence }

// Holder returns the name of the holder as last seen, empty when there is none.
func (l *Lease) Holder() string { return l.record.Holder }

// Raise makes the lease use a number above fence from its next Step on. Call it when a receiver
// refuses an order because it has seen a higher number, which only happens after the
// platform was set back.
func (l *Lease) Raise(fence int64) { l.floor = max(l.floor, fence) }

// Step renews the lease when it is held, takes it when it is free or has lapsed, and
// otherwise only looks. Now is the current time. Call it several times in each duration.
// An error leaves Held as it was until the duration ends.
func (l *Lease) Step(ctx context.Context, now time.Time) error {
	if l.mine() && l.sent == nil && now.Before(l.until) {
		err := l.write(ctx, now)
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	if err := l.look(ctx, now); err != nil {
		return err
	}
	if !l.mine() && !l.free(now) {
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
	if !l.mine() {
		return nil
	}
	l.until = time.Time{}
	next := l.record
	next.Holder = ""
	next.Incarnation = ""
	_, err := l.client.Put(ctx, Kind, l.name, l.revision, next)
	l.record = Record{}
	l.revision = 0
	return err
}

func (l *Lease) mine() bool {
	return l.revision != 0 && l.record.Incarnation == l.incarnation
}

// free reports whether the lease may be taken from its holder.
func (l *Lease) free(now time.Time) bool {
	if l.record.Holder == "" {
		return true
	}
	if l.revision == 0 && l.record.Incarnation == l.incarnation && now.Before(l.until) {
		// The object was removed while this candidate held it; nobody else can hold it yet.
		return true
	}
	if l.revision != 0 && l.record.Holder == l.holder {
		// This candidate lapsed and nobody took over, or it is an earlier incarnation of
		// this process, which the fencing number stops if it still runs.
		return true
	}
	return now.Sub(l.changed) > time.Duration(l.record.DurationMillis)*time.Millisecond
}

// look reads the object and settles a write whose answer was lost.
func (l *Lease) look(ctx context.Context, now time.Time) error {
	o, err := l.client.Get(ctx, Kind, l.name)
	if errors.Is(err, platform.ErrNotFound) {
		l.missing(now)
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
	l.changed = now.Add(time.Since(now))
	if l.sent != nil && *l.sent == r {
		l.hold(l.sentAt)
	}
	l.sent = nil
	return nil
}

// missing takes in that the object does not exist. When it was removed its holder may not
// know yet, so that the candidate waits from now on as for a renewal.
func (l *Lease) missing(now time.Time) {
	if l.revision != 0 {
		l.changed = now.Add(time.Since(now))
	}
	l.revision = 0
	l.sent = nil
}

// write takes or renews the lease.
func (l *Lease) write(ctx context.Context, now time.Time) error {
	next := Record{
		Holder:         l.holder,
		Incarnation:    l.incarnation,
		Fence:          l.record.Fence,
		DurationMillis: l.duration.Milliseconds(),
		Renewals:       max(l.record.Renewals, l.tries) + 1,
	}
	// No two attempts are alike, so that a lost answer is settled for the right one.
	l.tries = next.Renewals
	if !l.mine() || l.record.Fence <= l.floor {
		fence, err := l.nextFence(ctx)
		if err != nil {
			return err
		}
		next.Fence = fence
	}
	o, err := l.client.Put(ctx, Kind, l.name, l.revision, next)
	if errors.Is(err, platform.ErrConflict) {
		l.beaten(now)
		return err
	}
	if err != nil {
		l.sent = &next
		l.sentAt = now
		return err
	}
	l.record = next
	l.revision = o.Revision
	l.changed = now
	l.sent = nil
	l.hold(now)
	return nil
}

// unknownHolder stands for a holder that was not seen yet.
const unknownHolder = "?"

// beaten takes in that another candidate wrote first. When its record was never seen and
// the object is gone at the next look, its duration must pass all the same.
func (l *Lease) beaten(now time.Time) {
	if l.record.Holder == "" {
		l.record = Record{Holder: unknownHolder, DurationMillis: l.duration.Milliseconds()}
		l.changed = now.Add(time.Since(now))
	}
}

// hold sets the end of a renewal that was sent at a time.
func (l *Lease) hold(sent time.Time) {
	l.until = sent.Add(l.duration - l.duration/marginPart)
}

// nextFence returns a number above all given before. A new object starts above the
// revision of the platform, because earlier numbers may be forgotten.
func (l *Lease) nextFence(ctx context.Context) (int64, error) {
	if l.revision != 0 {
		return max(l.record.Fence, l.floor) + 1, nil
	}
	list, err := l.client.List(ctx, Kind)
	return max(list.Revision, l.floor) + 1, err
}
