package configstore

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
)

// FollowOptions configure a follower. Nil functions are not called.
type FollowOptions struct {
	// Adopt receives each new document.
	Adopt func(*configuration.Document)
	// InForce returns the document in force in this process, which may come from a peer.
	// When it is set, a head that was set back is repaired from it.
	InForce func() *configuration.Document
	// Repaired receives the new version and the edits that a repair displaced.
	Repaired func(version int64, displaced []configuration.Edit)
	// Lost and Recovered are told when the platform stops and resumes answering.
	Lost      func(error)
	Recovered func()
	// Author names this process in the history of a repair.
	Author string
}

// Follow hands each document that the platform announces to adopt until ctx ends.
func (s *Store) Follow(ctx context.Context, adopt func(*configuration.Document)) {
	s.FollowWith(ctx, FollowOptions{Adopt: adopt})
}

// FollowWith follows the configuration with options until ctx ends.
func (s *Store) FollowWith(ctx context.Context, o FollowOptions) {
	s.objects.Follow(ctx, Kind, &follower{ctx: ctx, store: s, opts: o})
}

// follower implements platform.Follower.
type follower struct {
	ctx         context.Context
	store       *Store
	opts        FollowOptions
	lastAdopted *configuration.Document
}

// Replace implements platform.Follower.
func (f *follower) Replace(items []platform.Object) {
	for _, o := range items {
		if o.Name == Name {
			f.Change(o)
			return
		}
	}
	f.adoptOrRepair(configuration.Head{}, 0)
}

// Change implements platform.Follower.
func (f *follower) Change(o platform.Object) {
	if o.Name != Name {
		return
	}
	if o.Deleted {
		f.adoptOrRepair(configuration.Head{}, 0)
		return
	}
	h, err := decodeHead(o)
	if err != nil {
		// A head that cannot be read is repaired as one that is gone.
		h = configuration.Head{}
	}
	f.adoptOrRepair(h, o.Revision)
}

// Lost implements platform.Follower.
func (f *follower) Lost(err error) {
	if f.opts.Lost != nil {
		f.opts.Lost(err)
	}
}

// Recovered implements platform.Follower.
func (f *follower) Recovered() {
	if f.opts.Recovered != nil {
		f.opts.Recovered()
	}
}

// adoptOrRepair adopts the document of a head or repairs the head. A fault of the platform
// makes it read the head anew until that succeeds.
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

func (f *follower) tryAdoptOrRepair(h configuration.Head, revision int64) error {
	inForce := f.inForce()
	if h.Displaces(inForce) {
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

// inForce returns the newer of the document in force and the one followed last.
func (f *follower) inForce() *configuration.Document {
	if f.opts.InForce == nil {
		return f.lastAdopted
	}
	if d := f.opts.InForce(); d != nil && (f.lastAdopted == nil || d.Version > f.lastAdopted.Version) {
		return d
	}
	return f.lastAdopted
}

// buildDocument returns the buildDocument of a head: through the updates in its history when it
// can, and otherwise from its sections.
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
	d.Trail = h.Trail()
	return d, nil
}

// repair puts the document in force back.
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

func (s *Store) repair(ctx context.Context, h configuration.Head, revision int64, inForce *configuration.Document, author string) (int64, []configuration.Edit, error) {
	refs, err := configuration.RefsOf(inForce)
	if err != nil {
		return 0, nil, err
	}
	for _, name := range configuration.Sections() {
		text, err := configuration.Encode(inForce, name)
		if err != nil {
			return 0, nil, err
		}
		if err := s.putSection(ctx, name, content{refs[name], text}); err != nil {
			return 0, nil, err
		}
	}
	e := configuration.Edit{ID: uuid.NewString(), Author: author, AtMillis: s.now().UnixMilli()}
	next, displaced := h.Repaired(inForce, refs, e)
	_, err = s.objects.Put(ctx, Kind, Name, revision, next)
	return next.Version, displaced, err
}
