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
	// ErrOutcomeUnknown is returned when the edit may or may not have been accepted.
	ErrOutcomeUnknown = errors.New("configstore: the outcome of the edit is unknown; it may have been accepted")
	// ErrNotAccepted is returned when the edit is known not to have been accepted.
	ErrNotAccepted = errors.New("configstore: the edit was not accepted")
	// ErrBaseTooOld is returned when the history does not reach back to the base version of the edit.
	ErrBaseTooOld = errors.New("configstore: the version that the edit was made from is too old; get the newest and edit that")
	// ErrTooLarge is returned when the encoding of a section exceeds MaxSectionBytes.
	ErrTooLarge = errors.New("configstore: the section is too large")

	// errStaleHead is returned when the platform returns a head older than one read before or
	// known to be in force. The edit is retried after it.
	errStaleHead = errors.New("configstore: the platform returned a configuration older than one that was in force")
)

// Edit is a change of the configuration that an operator requests.
type Edit struct {
	// ID identifies the edit; edits with the same ID are accepted at most once. If it is empty,
	// a new ID is generated.
	ID string
	// Author is recorded in the history.
	Author string
	// BaseVersion is the version that the edit was made from; 0 means the current one.
	BaseVersion int64
	// Document is the whole document as the edit leaves it.
	Document *configuration.Document
	// Sections limits the edit to these sections; empty means all.
	Sections []configuration.Section
	// MinVersion is the highest version known to be in force. The edit is not applied to an older
	// head.
	MinVersion int64
}

// Result describes an accepted edit.
type Result struct {
	// ID is the ID of the edit, also when it was generated or the edit failed.
	ID string
	// Version is the version that the edit was accepted as.
	Version int64
	// Unchanged is set when the document already had the requested content. Version is then
	// the current version and no edit is recorded.
	Unchanged bool
	// Rebased is set when other edits were accepted since the base version of the edit.
	Rebased bool
}

// editor makes the attempts of one edit.
type editor struct {
	store *Store
	edit  Edit
	// contents and hashes hold the sections of the edited document.
	contents map[configuration.Section]content
	hashes   configuration.SectionHashes
	// hasUnknownWrite is set once a write of the head has failed with an unknown outcome.
	hasUnknownWrite bool
	// lastHeadVersion is the version of the head that the last attempt was based on.
	lastHeadVersion int64
}

// maxConflictPause is the longest random pause before a retry when another edit wrote the head first.
const maxConflictPause = 20 * time.Millisecond

// Edit tries to apply an edit until it is accepted, is rejected or ctx ends. Platform errors are
// retried. A rejected edit returns a *configuration.Conflict, a validation error, ErrBaseTooOld or
// ErrTooLarge. When ctx ends first, the error is ErrNotAccepted or ErrOutcomeUnknown, joined with
// the last error of an attempt; repeating the edit with the same ID is safe after both.
// ErrOutcomeUnknown is also returned when so many edits were accepted since that the history cannot
// show the outcome.
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
			// The platform responds and another edit was accepted first. A long backoff would only
			// let other editors win the next race too.
			pause.Reset()
			d = rand.N(maxConflictPause)
		}
		if !sleep(ctx, d) {
			return r, errors.Join(ed.outcomeError(), err)
		}
	}
}

// outcomeError returns the error that describes the outcome when no further attempt is made.
func (ed *editor) outcomeError() error {
	if ed.hasUnknownWrite {
		return ErrOutcomeUnknown
	}
	return ErrNotAccepted
}

// isFinal reports whether the edit must not be retried after err.
func (ed *editor) isFinal(err error) bool {
	var c *configuration.Conflict
	var invalid *validationError
	return errors.As(err, &c) || errors.As(err, &invalid) || errors.Is(err, ErrBaseTooOld) ||
		errors.Is(err, ErrTooLarge) || errors.Is(err, ErrOutcomeUnknown)
}

// validationError marks an error as a failed validation of the merged document.
type validationError struct{ error }

func (e *validationError) Unwrap() error { return e.error }

// encodeSections encodes and hashes the sections of the edited document.
func (ed *editor) encodeSections() error {
	ed.contents = map[configuration.Section]content{}
	ed.hashes = configuration.SectionHashes{}
	for _, name := range configuration.Sections() {
		text, err := configuration.Encode(ed.edit.Document, name)
		if err != nil {
			return err
		}
		if len(text) > MaxSectionBytes {
			return oops.Wrapf(ErrTooLarge, "section %s has %d bytes, the limit is %d", name, len(text), MaxSectionBytes)
		}
		ed.contents[name] = content{configuration.Hash(text), text}
		ed.hashes[name] = ed.contents[name].hash
	}
	return nil
}

// attempt makes one attempt to apply the edit to the current head.
func (ed *editor) attempt(ctx context.Context) (Result, error) {
	h, revision, err := ed.store.Head(ctx)
	if err != nil {
		return Result{}, err
	}
	if v, ok := h.FindEdit(ed.edit.ID); ok {
		return Result{Version: v, Rebased: v > ed.edit.BaseVersion+1}, nil
	}
	if h.Version < max(ed.edit.MinVersion, ed.edit.BaseVersion, ed.lastHeadVersion) {
		return Result{}, errStaleHead
	}
	if ed.hasUnknownWrite && !h.HistoryReaches(ed.lastHeadVersion) {
		return Result{}, oops.Wrapf(ErrOutcomeUnknown, "more than %d edits were accepted since the last attempt", configuration.HistoryLength)
	}
	if ed.edit.BaseVersion == 0 {
		ed.edit.BaseVersion = h.Version
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

// plan merges the edit with the head. It returns a *configuration.Conflict for the first
// section that another edit changed too.
func (ed *editor) plan(ctx context.Context, h configuration.Head) (configuration.MergePlan, error) {
	base, ok := h.HashesAt(ed.edit.BaseVersion)
	if !ok {
		return configuration.MergePlan{}, ErrBaseTooOld
	}
	plan := configuration.Merge(base, h.Hashes, ed.hashes, ed.edit.Sections)
	if len(plan.Conflicts) == 0 {
		return plan, nil
	}
	name := plan.Conflicts[0]
	current, err := ed.store.readSection(ctx, name, h.Hashes[name])
	if err != nil {
		return plan, err
	}
	return plan, &configuration.Conflict{
		Section: name, BaseVersion: ed.edit.BaseVersion, CurrentVersion: h.Version, CurrentValue: current, EditedValue: ed.contents[name].encoded,
	}
}

// write validates the merged document, writes its changed sections and then the head.
func (ed *editor) write(ctx context.Context, h configuration.Head, revision int64, plan configuration.MergePlan) (Result, error) {
	update, err := ed.buildUpdate(ctx, h, plan)
	if err != nil {
		return Result{}, err
	}
	record := configuration.Edit{
		ID: ed.edit.ID, Author: ed.edit.Author, AtMillis: ed.store.now().UnixMilli(), Update: update,
	}
	next := h.Append(record, plan.Set)
	// The revisions must be read before the head is written; see the package comment.
	unused := ed.store.readRevisions(ctx, h.Dropped(next))
	for name := range plan.Set {
		if err := ed.store.putSection(ctx, name, ed.contents[name]); err != nil {
			return Result{}, err
		}
	}
	if _, err := ed.store.objects.Put(ctx, HeadKind, HeadName, revision, next); err != nil {
		ed.hasUnknownWrite = ed.hasUnknownWrite || !errors.Is(err, platform.ErrConflict)
		return Result{}, err
	}
	ed.store.removeContents(ctx, unused)
	return Result{Version: next.Version, Rebased: h.Version != ed.edit.BaseVersion}, nil
}

// buildUpdate validates the merged document and returns the update that leads to it. The update is
// nil for the first document and when it is larger than configuration.MaxUpdateBytes.
func (ed *editor) buildUpdate(ctx context.Context, h configuration.Head, plan configuration.MergePlan) (*configuration.Update, error) {
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
		configuration.CopySection(&next, ed.edit.Document, name)
	}
	next.Version = h.Version + 1
	next.EditID = ed.edit.ID
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
	// A follower takes the recent edits from the head.
	u.RecentEdits = nil
	u.AppendsRecentEdits = false
	text, err := json.Marshal(u)
	if err != nil || len(text) > configuration.MaxUpdateBytes {
		return nil, err
	}
	return &u, nil
}

// sleep waits for d and returns true, or returns false as soon as ctx ends.
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

// putSection writes the content of a section. Content that exists is written again, so that its
// revision changes and a removal at the earlier revision fails.
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
