package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"github.com/samber/oops"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
)

// Errors of an edit.
var (
	// ErrUnsettled says that the edit may or may not have been accepted.
	ErrUnsettled = errors.New("configstore: it is not known whether the edit was accepted")
	// ErrNotAccepted says that the edit was certainly not accepted.
	ErrNotAccepted = errors.New("configstore: the edit was not accepted")
	// ErrBaseTooOld says that the history does not reach back to the base of the edit.
	ErrBaseTooOld = errors.New("configstore: the version that the edit was made from is too old; get the newest and edit that")
	// ErrTooLarge says that a section exceeds MaxSectionBytes.
	ErrTooLarge = errors.New("configstore: the section is too large")

	// errStaleHead says that the platform answered with a head older than one known before.
	errStaleHead = errors.New("configstore: the platform shows a configuration older than one that was in force")
)

// Edit is a change that an operator asks for.
type Edit struct {
	// ID identifies the edit; an edit with the same ID is accepted once. Empty means a new ID.
	ID     string
	Author string
	// Base is the version that the edit was made from; 0 means the current one.
	Base int64
	// Mine is the document that the edit leads to.
	Mine *configuration.Document
	// Only limits the edit to some sections; empty means all.
	Only []configuration.Section
	// Floor is the highest version known to be in force; an older head is not built upon.
	Floor int64
}

// Result is an accepted edit.
type Result struct {
	ID      string
	Version int64
	// Unchanged is set when the document already was as the edit asks.
	Unchanged bool
	// Rebased is set when other sections changed since the base.
	Rebased bool
}

// editor carries one edit through its attempts.
type editor struct {
	store    *Store
	edit     Edit
	contents map[configuration.Section]content
	hashes   configuration.Refs
	// hasUnknownWrite is set once a write of the head was hasUnknownWrite whose outcome is not known.
	hasUnknownWrite bool
	// lastHeadVersion is the highest version of the head that an attempt built upon.
	lastHeadVersion int64
}

// maxConflictPause is the longest pause of an editor that lost a race for the head.
const maxConflictPause = 20 * time.Millisecond

// Edit asks for an edit until it is accepted, refused or ctx ends. Faults of the
// platform are ridden out. A *configuration.Conflict, a validation error, ErrBaseTooOld
// and ErrTooLarge refuse it. ErrNotAccepted and ErrUnsettled, joined with the last fault,
// say how it stood when ctx ended; asking again with the same ID is safe after both.
func (s *Store) Edit(ctx context.Context, e Edit) (Result, error) {
	if e.ID == "" {
		e.ID = uuid.NewString()
	}
	ed := &editor{store: s, edit: e}
	if err := ed.encodeSections(); err != nil {
		return Result{ID: e.ID}, err
	}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = 20 * time.Millisecond
	pause.MaxInterval = 2 * time.Second
	for {
		r, err := ed.attempt(ctx)
		r.ID = e.ID
		if err == nil || ed.isFinal(err) {
			return r, err
		}
		d := pause.NextBackOff()
		if errors.Is(err, platform.ErrConflict) {
			// The platform answers; who lost a race must not wait until it loses the next.
			pause.Reset()
			d = rand.N(maxConflictPause)
		}
		if !sleep(ctx, d) {
			return r, errors.Join(ed.outcomeError(), err)
		}
	}
}

// outcomeError states how the edit stands when no further attempt is made.
func (ed *editor) outcomeError() error {
	if ed.hasUnknownWrite {
		return ErrUnsettled
	}
	return ErrNotAccepted
}

// isFinal reports whether err refuses the edit.
func (ed *editor) isFinal(err error) bool {
	var c *configuration.Conflict
	var invalid *validationError
	return errors.As(err, &c) || errors.As(err, &invalid) || errors.Is(err, ErrBaseTooOld) ||
		errors.Is(err, ErrTooLarge) || errors.Is(err, ErrUnsettled)
}

// validationError marks a document that failed validation.
type validationError struct{ error }

func (e *validationError) Unwrap() error { return e.error }

// encodeSections prepares the contents of the edit.
func (ed *editor) encodeSections() error {
	ed.contents = map[configuration.Section]content{}
	ed.hashes = configuration.Refs{}
	for _, name := range configuration.Sections() {
		text, err := configuration.Encode(ed.edit.Mine, name)
		if err != nil {
			return err
		}
		if len(text) > MaxSectionBytes {
			return oops.Wrapf(ErrTooLarge, "%s has %d bytes, more than %d", name, len(text), MaxSectionBytes)
		}
		ed.contents[name] = content{configuration.Hash(text), text}
		ed.hashes[name] = ed.contents[name].hash
	}
	return nil
}

// attempt makes one attempt on top of the current head.
func (ed *editor) attempt(ctx context.Context) (Result, error) {
	h, revision, err := ed.store.Head(ctx)
	if err != nil {
		return Result{}, err
	}
	if v, ok := h.Find(ed.edit.ID); ok {
		return Result{Version: v, Rebased: v > ed.edit.Base+1}, nil
	}
	if h.Version < max(ed.edit.Floor, ed.edit.Base, ed.lastHeadVersion) {
		return Result{}, errStaleHead
	}
	if ed.hasUnknownWrite && !h.Reaches(ed.lastHeadVersion) {
		return Result{}, oops.Wrapf(ErrUnsettled, "more than %d edits were accepted since", configuration.HistoryLength)
	}
	if ed.edit.Base == 0 {
		ed.edit.Base = h.Version
	}
	ed.lastHeadVersion = h.Version
	plan, err := ed.plan(ctx, h)
	if err != nil {
		return Result{}, err
	}
	if len(plan.Set) == 0 {
		return Result{Version: h.Version, Unchanged: true}, nil
	}
	return ed.write(ctx, h, revision, plan)
}

// plan merges the edit with the head.
func (ed *editor) plan(ctx context.Context, h configuration.Head) (configuration.Plan, error) {
	base, ok := h.RefsAt(ed.edit.Base)
	if !ok {
		return configuration.Plan{}, ErrBaseTooOld
	}
	plan := configuration.Merge(base, h.Refs, ed.hashes, ed.edit.Only)
	if len(plan.Conflicts) == 0 {
		return plan, nil
	}
	name := plan.Conflicts[0]
	theirs, err := ed.store.readSection(ctx, name, h.Refs[name])
	if err != nil {
		return plan, err
	}
	return plan, &configuration.Conflict{
		Section: name, Base: ed.edit.Base, Current: h.Version, Theirs: theirs, Mine: ed.contents[name].encoded,
	}
}

// write validates the merged document, writes its sections and then the head.
func (ed *editor) write(ctx context.Context, h configuration.Head, revision int64, plan configuration.Plan) (Result, error) {
	update, err := ed.buildUpdate(ctx, h, plan)
	if err != nil {
		return Result{}, err
	}
	record := configuration.Edit{
		ID: ed.edit.ID, Author: ed.edit.Author, AtMillis: ed.store.now().UnixMilli(), Update: update,
	}
	next := h.Append(record, plan.Set)
	// The revisions are read before the head is written; see the package comment.
	garbage := ed.store.readRevisions(ctx, h.Dropped(next))
	for name := range plan.Set {
		if err := ed.store.putSection(ctx, name, ed.contents[name]); err != nil {
			return Result{}, err
		}
	}
	if _, err := ed.store.objects.Put(ctx, Kind, Name, revision, next); err != nil {
		ed.hasUnknownWrite = ed.hasUnknownWrite || !errors.Is(err, platform.ErrConflict)
		return Result{}, err
	}
	ed.store.removeContents(ctx, garbage)
	return Result{Version: next.Version, Rebased: h.Version != ed.edit.Base}, nil
}

// buildUpdate checks the document that the plan leads to and returns the update to it, or
// nil when that is too large for the history.
func (ed *editor) buildUpdate(ctx context.Context, h configuration.Head, plan configuration.Plan) (*configuration.Update, error) {
	old := &configuration.Document{}
	if h.Version > 0 {
		d, err := ed.store.assemble(ctx, h)
		if err != nil {
			return nil, err
		}
		old = d
	}
	next := *old
	for name := range plan.Set {
		configuration.CopySection(&next, ed.edit.Mine, name)
	}
	next.Version = h.Version + 1
	next.Edit = ed.edit.ID
	if err := configuration.Check(&next); err != nil {
		return nil, &validationError{err}
	}
	if h.Version == 0 {
		return nil, nil
	}
	u, err := configuration.Diff(old, &next)
	if err != nil {
		return nil, err
	}
	// The follower takes the trail from the head.
	u.Trail = nil
	u.Continues = false
	text, err := json.Marshal(u)
	if err != nil || len(text) > configuration.MaxUpdateBytes {
		return nil, err
	}
	return &u, nil
}

// sleep pauses and reports whether ctx goes on.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// putSection writes a content. One that exists is written again, so that its revision
// changes and a removal that was decided before fails.
func (s *Store) putSection(ctx context.Context, name configuration.Section, c content) error {
	_, err := s.objects.Put(ctx, SectionKind, contentName(name, c.hash), 0, json.RawMessage(c.encoded))
	if !errors.Is(err, platform.ErrConflict) {
		return err
	}
	o, err := s.objects.Get(ctx, SectionKind, contentName(name, c.hash))
	if err != nil {
		return err
	}
	_, err = s.objects.Put(ctx, SectionKind, contentName(name, c.hash), o.Revision, json.RawMessage(c.encoded))
	return err
}
