package configstore

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/samber/oops"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
)

const (
	// Kind is the object kind of the configuration.
	Kind = "configuration"
	// Name is the name of the object.
	Name = "current"
)

// Store reads and writes the configuration. It is safe for concurrent use.
type Store struct {
	client *platform.Client
}

// New returns a store over a client of the platform.
func New(c *platform.Client) *Store { return &Store{client: c} }

// Load returns the current document and its revision, or nil and 0 when there is none.
func (s *Store) Load(ctx context.Context) (*configuration.Document, int64, error) {
	o, err := s.client.Get(ctx, Kind, Name)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	d := &configuration.Document{}
	if err := json.Unmarshal(o.Value, d); err != nil {
		return nil, 0, oops.Wrapf(err, "decode configuration")
	}
	return d, o.Revision, nil
}

// Apply accepts a document in place of the current one and returns its version. It
// returns platform.ErrConflict when another edit was accepted meanwhile.
func (s *Store) Apply(ctx context.Context, d *configuration.Document) (int64, error) {
	old, revision, err := s.Load(ctx)
	if err != nil {
		return 0, err
	}
	next := *d
	next.Version = 1
	if old != nil {
		next.Version = old.Version + 1
	}
	_, err = s.client.Put(ctx, Kind, Name, revision, &next)
	return next.Version, err
}

// Follow hands each document that the platform announces to adopt until ctx ends.
func (s *Store) Follow(ctx context.Context, adopt func(*configuration.Document)) {
	s.client.Follow(ctx, Kind, &follower{adopt: adopt})
}

// follower implements platform.Follower.
type follower struct {
	adopt func(*configuration.Document)
}

func (f *follower) Replace(items []platform.Object) {
	for _, o := range items {
		f.Change(o)
	}
}

func (f *follower) Change(o platform.Object) {
	d := &configuration.Document{}
	if o.Name != Name || o.Deleted || json.Unmarshal(o.Value, d) != nil {
		return
	}
	f.adopt(d)
}

func (f *follower) Lost(error) {}

func (f *follower) Recovered() {}
