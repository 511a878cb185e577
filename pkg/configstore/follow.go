package configstore

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
)

// FollowOptions configures a follower. Nil functions are not called.
type FollowOptions struct {
	// Adopt is called with each new document.
	Adopt func(*configuration.Document)
	// InForce returns the document in force in this process, which may come from a peer.
	// If it is set, a head that was rolled back or removed is repaired from this document;
	// if it is nil, such a head is ignored.
	InForce func() *configuration.Document
	// Repaired is called after a repair with the new version and the edits that the repair
	// removed from the history.
	Repaired func(version int64, displaced []configuration.Edit)
	// PlatformLost is called when the platform stops responding, and PlatformRecovered when it
	// responds again.
	PlatformLost      func(error)
	PlatformRecovered func()
	// Author identifies this process in the history entry of a repair.
	Author string
}

// Follow calls adopt with each document that the platform publishes until ctx ends.
func (s *Store) Follow(ctx context.Context, adopt func(*configuration.Document)) {
	s.FollowWithOptions(ctx, FollowOptions{Adopt: adopt})
}

// FollowWithOptions follows the configuration with the given options until ctx ends.
func (s *Store) FollowWithOptions(ctx context.Context, o FollowOptions) {
	s.objects.Follow(ctx, HeadKind, &follower{ctx: ctx, store: s, opts: o})
}

// follower implements platform.Follower for the head object.
type follower struct {
	ctx   context.Context
	store *Store
	opts  FollowOptions
	// lastAdopted is the document that was read from the platform last, or nil.
	lastAdopted *configuration.Document
}

// Replace implements platform.Follower.
func (f *follower) Replace(items []platform.Object) {
	for _, o := range items {
		if o.Name == HeadName {
			f.ApplyChange(o)
			return
		}
	}
	f.adoptOrRepair(configuration.Head{}, 0)
}

// ApplyChange implements platform.Follower.
func (f *follower) ApplyChange(o platform.Object) {
	if o.Name != HeadName {
		return
	}
	if o.Deleted {
		f.adoptOrRepair(configuration.Head{}, 0)
		return
	}
	h, err := decodeHead(o)
	if err != nil {
		// A head that cannot be decoded is treated like a removed one, and repaired.
		h = configuration.Head{}
	}
	f.adoptOrRepair(h, o.Revision)
}

// PlatformLost implements platform.Follower.
func (f *follower) PlatformLost(err error) {
	if f.opts.PlatformLost != nil {
		f.opts.PlatformLost(err)
	}
}

// PlatformRecovered implements platform.Follower.
func (f *follower) PlatformRecovered() {
	if f.opts.PlatformRecovered != nil {
		f.opts.PlatformRecovered()
	}
}

// adoptOrRepair adopts the document of a head or repairs the head. After an error it reads the
// head again and retries with exponential backoff until it succeeds or the follower's ctx ends.
func (f *follower) adoptOrRepair(h configuration.Head, revision int64) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = 50 * time.Millisecond
	pause.MaxInterval = 2 * time.Second
	for {
		err := f.tryAdoptOrRepair(h, revision)
		if err == nil || !sleep(f.ctx, pause.NextBackOff()) {
			return
		}
		next, r, err := f.store.Head(f.ctx)
		if err == nil {
			h, revision = next, r
		}
	}
}

// tryAdoptOrRepair makes one attempt of adoptOrRepair.
func (f *follower) tryAdoptOrRepair(h configuration.Head, revision int64) error {
	inForce := f.inForce()
	if h.NeedsRepair(inForce) {
		return f.repair(h, revision, inForce)
	}
	if h.Version == 0 || inForce != nil && h.Version == inForce.Version {
		return nil
	}
	d, err := f.buildDocument(h, inForce)
	if err != nil {
		return err
	}
	f.lastAdopted = d
	if f.opts.Adopt != nil {
		f.opts.Adopt(d)
	}
	return nil
}

// inForce returns the newer of the document in force in the process and the one adopted last, or nil.
func (f *follower) inForce() *configuration.Document {
	if f.opts.InForce == nil {
		return f.lastAdopted
	}
	if d := f.opts.InForce(); d != nil && (f.lastAdopted == nil || d.Version > f.lastAdopted.Version) {
		return d
	}
	return f.lastAdopted
}

// buildDocument returns the document of a head. It applies the updates in the history to from
// if they lead from it to the head, and otherwise reads the sections.
func (f *follower) buildDocument(h configuration.Head, from *configuration.Document) (*configuration.Document, error) {
	updates, ok := h.Updates(from)
	d := from
	for _, u := range updates {
		next, err := configuration.Apply(d, u)
		if err != nil {
			ok = false
			break
		}
		d = next
	}
	if !ok {
		return f.store.assemble(f.ctx, h)
	}
	d.RecentEdits = h.RecentEdits()
	return d, nil
}

// repair writes the document in force back to the platform, if InForce is set.
func (f *follower) repair(h configuration.Head, revision int64, inForce *configuration.Document) error {
	if f.opts.InForce == nil {
		return nil
	}
	version, displaced, err := f.store.repair(f.ctx, h, revision, inForce, f.opts.Author)
	if err == nil && f.opts.Repaired != nil {
		f.opts.Repaired(version, displaced)
	}
	return err
}

// repair writes the sections of inForce and a head that refers to them, which replaces h at the
// given revision. It returns the version of the new head and the edits removed from the history.
func (s *Store) repair(ctx context.Context, h configuration.Head, revision int64, inForce *configuration.Document, author string) (int64, []configuration.Edit, error) {
	hashes, err := configuration.HashSections(inForce)
	if err != nil {
		return 0, nil, err
	}
	for _, name := range configuration.Sections() {
		text, err := configuration.Encode(inForce, name)
		if err != nil {
			return 0, nil, err
		}
		if err := s.putSection(ctx, name, content{hashes[name], text}); err != nil {
			return 0, nil, err
		}
	}
	e := configuration.Edit{ID: uuid.NewString(), Author: author, AtMillis: s.now().UnixMilli()}
	next, displaced := h.Repaired(inForce, hashes, e)
	_, err = s.objects.Put(ctx, HeadKind, HeadName, revision, next)
	return next.Version, displaced, err
}
