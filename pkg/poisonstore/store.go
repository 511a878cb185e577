// Package poisonstore stores suspects and convictions at the platform. It decides which
// entry may run a suspect isolated, and gives a restarted entry the verdicts in force.
// It is called only after a crash, and at the start of an entry.
package poisonstore

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/poison"
)

// Kind is the kind of the platform objects, each named by a fingerprint.
const Kind = "suspect"

// IsolatedRunTTL is the time after which the isolated run of a lost entry may be taken over.
const IsolatedRunTTL = 2 * time.Minute

// ErrBusy reports that another entry has claimed the isolated run of the suspect.
var ErrBusy = errors.New("poisonstore: another entry runs the suspect")

// ErrConvicted reports that the request is convicted.
var ErrConvicted = errors.New("poisonstore: the request is convicted")

// record is the value of an object.
type record struct {
	Verdict poison.Verdict `json:"verdict"`
	// RunID identifies the isolated run in progress, empty when there is none. ExpiresMillis is
	// the end of the run or conviction, in Unix milliseconds.
	RunID         string `json:"trial,omitempty"`
	ExpiresMillis int64  `json:"until_ms"`
}

// Store stores verdicts at the platform. It is safe for concurrent use.
type Store struct {
	client *platform.Client
	now    func() time.Time
}

// New returns a store that uses now as its clock; nil means time.Now.
func New(p *platform.Client, now func() time.Time) *Store {
	if now == nil {
		now = time.Now
	}
	return &Store{client: p, now: now}
}

// IsolatedRun is the claim of an entry on one isolated run of a suspect.
type IsolatedRun struct {
	store    *Store
	verdict  poison.Verdict
	id       string
	revision int64
}

// BeginIsolatedRun claims the isolated run of a suspect. It returns ErrBusy while another entry
// has claimed it, ErrConvicted when the request is convicted, and another error when the
// platform does not respond.
func (s *Store) BeginIsolatedRun(ctx context.Context, v poison.Verdict) (*IsolatedRun, error) {
	name := string(v.Fingerprint)
	revision := int64(0)
	o, err := s.client.Get(ctx, Kind, name)
	if err == nil {
		revision = o.Revision
		err = s.checkFree(o)
	}
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return nil, err
	}
	t := &IsolatedRun{store: s, verdict: v, id: uuid.NewString()}
	o, err = s.client.Put(ctx, Kind, name, revision, record{Verdict: v, RunID: t.id, ExpiresMillis: s.now().Add(IsolatedRunTTL).UnixMilli()})
	if err != nil {
		return s.resolveWrite(ctx, t, err)
	}
	t.revision = o.Revision
	return t, nil
}

// checkFree returns nil when the object allows a new isolated run, and otherwise ErrBusy,
// ErrConvicted or a decoding error.
func (s *Store) checkFree(o platform.Object) error {
	var r record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return oops.Wrapf(err, "decode suspect %s", o.Name)
	}
	active := time.UnixMilli(r.ExpiresMillis).After(s.now())
	if r.Verdict.State == poison.Convicted && active {
		return ErrConvicted
	}
	if r.RunID != "" && active {
		return ErrBusy
	}
	return nil
}

// resolveWrite reads the object back after a failed write, which may have taken effect.
func (s *Store) resolveWrite(ctx context.Context, t *IsolatedRun, writeErr error) (*IsolatedRun, error) {
	if errors.Is(writeErr, platform.ErrConflict) {
		return nil, ErrBusy
	}
	o, err := s.client.Get(ctx, Kind, string(t.verdict.Fingerprint))
	if err != nil {
		return nil, errors.Join(writeErr, err)
	}
	var r record
	if json.Unmarshal(o.Value, &r) != nil || r.RunID != t.id {
		return nil, errors.Join(ErrBusy, writeErr)
	}
	t.revision = o.Revision
	return t, nil
}

// End ends the isolated run. A conviction is stored until it expires; otherwise the object is
// removed.
func (t *IsolatedRun) End(ctx context.Context, v poison.Verdict) error {
	p := t.store.client
	if v.State != poison.Convicted {
		return p.Delete(ctx, Kind, string(v.Fingerprint), t.revision)
	}
	expires := t.store.now().Add(poison.ConvictionTTL).UnixMilli()
	_, err := p.Put(ctx, Kind, string(v.Fingerprint), t.revision, record{Verdict: v, ExpiresMillis: expires})
	return err
}

// Load returns the verdicts in force and removes those that have expired.
func (s *Store) Load(ctx context.Context) ([]poison.Verdict, error) {
	l, err := s.client.List(ctx, Kind)
	if err != nil {
		return nil, err
	}
	var out []poison.Verdict
	for _, o := range l.Items {
		var r record
		if json.Unmarshal(o.Value, &r) != nil {
			continue
		}
		if time.UnixMilli(r.ExpiresMillis).After(s.now()) {
			out = append(out, r.Verdict)
			continue
		}
		// A failure means that another entry removed or replaced the object; that is harmless.
		_ = s.client.Delete(ctx, Kind, o.Name, o.Revision)
	}
	return out, nil
}
