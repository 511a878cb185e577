package lease

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/samber/oops"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
)

// Kind is the object kind of a lease.
const Kind = "lease"

// Record is the value of a lease object.
type Record struct {
	Holder string `json:"holder"`
	// Fence rises at each change of holder.
	Fence int64 `json:"fence"`
	// DurationMillis is the time without renewal after which others may take over.
	DurationMillis int64 `json:"duration_ms"`
	// Renewals tells renewals apart.
	Renewals int64 `json:"renewals"`
}

// Lease is one candidate's view of a lease. It is not safe for concurrent use.
type Lease struct {
	client   *platform.Client
	name     string
	holder   string
	duration time.Duration

	record   Record
	revision int64
	// changed is when the record was last seen to change, on the own clock.
	changed time.Time
	held    bool
}

// New returns a view of the named lease for a candidate.
func New(c *platform.Client, name, holder string, duration time.Duration) *Lease {
	return &Lease{client: c, name: name, holder: holder, duration: duration}
}

// Held reports whether the newest Step took or renewed the lease.
func (l *Lease) Held() bool { return l.held }

// Fence returns the fencing number under which the lease is held.
func (l *Lease) Fence() int64 { return l.record.Fence }

// Step renews the lease when it is held, takes it when it is free or has lapsed, and
// otherwise only looks. Call it several times in each duration.
func (l *Lease) Step(ctx context.Context, now time.Time) error {
	if err := l.look(ctx, now); err != nil {
		l.held = false
		return err
	}
	mine := l.record.Holder == l.holder
	lapsed := l.revision == 0 || now.Sub(l.changed) > time.Duration(l.record.DurationMillis)*time.Millisecond
	if !mine && !lapsed {
		l.held = false
		return nil
	}
	return l.write(ctx, now, mine)
}

func (l *Lease) look(ctx context.Context, now time.Time) error {
	o, err := l.client.Get(ctx, Kind, l.name)
	if errors.Is(err, platform.ErrNotFound) {
		l.record = Record{}
		l.revision = 0
		return nil
	}
	if err != nil {
		return err
	}
	if o.Revision == l.revision {
		return nil
	}
	l.revision = o.Revision
	l.changed = now
	return oops.Wrapf(json.Unmarshal(o.Value, &l.record), "decode lease %s", l.name)
}

func (l *Lease) write(ctx context.Context, now time.Time, mine bool) error {
	next := Record{
		Holder:         l.holder,
		Fence:          l.record.Fence,
		DurationMillis: l.duration.Milliseconds(),
		Renewals:       l.record.Renewals + 1,
	}
	if !mine || !l.held {
		next.Fence++
	}
	o, err := l.client.Put(ctx, Kind, l.name, l.revision, next)
	l.held = err == nil
	if err != nil {
		return err
	}
	l.record = next
	l.revision = o.Revision
	l.changed = now
	return nil
}
