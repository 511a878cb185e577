package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
)

// Options configures a store.
type Options struct {
	// Objects accesses the object store of the platform.
	Objects ObjectClient
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Store reads and edits the configuration. It is safe for concurrent use.
type Store struct {
	objects ObjectClient
	now     func() time.Time

	mu sync.Mutex
	// cache holds the content of each section that was read from the platform last.
	cache map[configuration.Section]content
}

// content is the canonical encoding of a section and its hash.
type content struct {
	hash    string
	encoded []byte
}

// New returns a store that uses a platform client.
func New(c *platform.Client) *Store { return NewWithOptions(Options{Objects: c}) }

// NewWithOptions returns a store with the given options.
func NewWithOptions(o Options) *Store {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Store{objects: o.Objects, now: o.Now, cache: map[configuration.Section]content{}}
}

// Head returns the current head and its revision, or the zero head and revision 0 if there is none.
func (s *Store) Head(ctx context.Context) (configuration.Head, int64, error) {
	o, err := s.objects.Get(ctx, HeadKind, HeadName)
	if errors.Is(err, platform.ErrNotFound) {
		return configuration.Head{}, 0, nil
	}
	if err != nil {
		return configuration.Head{}, 0, err
	}
	h, err := decodeHead(o)
	return h, o.Revision, err
}

func decodeHead(o platform.Object) (configuration.Head, error) {
	var h configuration.Head
	err := json.Unmarshal(o.Value, &h)
	return h, oops.Wrapf(err, "decode configuration head")
}

// Load returns the current document and the revision of its head, or nil and 0 if there is none.
func (s *Store) Load(ctx context.Context) (*configuration.Document, int64, error) {
	h, revision, err := s.Head(ctx)
	if err != nil || h.Version == 0 {
		return nil, 0, err
	}
	d, err := s.assemble(ctx, h)
	return d, revision, err
}

// Apply makes an edit that leads to document d. The Version of d is the version that the edit was
// made from; 0 means the current one. Apply returns the accepted version and the errors of Edit,
// such as a *configuration.Conflict when another edit changed the same section meanwhile.
func (s *Store) Apply(ctx context.Context, d *configuration.Document) (int64, error) {
	r, err := s.Edit(ctx, Edit{Document: d, BaseVersion: d.Version})
	return r.Version, err
}

// assemble reads the sections that a head refers to and returns the document.
func (s *Store) assemble(ctx context.Context, h configuration.Head) (*configuration.Document, error) {
	d := &configuration.Document{Version: h.Version, EditID: h.EditIDAt(h.Version), RecentEdits: h.RecentEdits()}
	for _, name := range configuration.Sections() {
		text, err := s.readSection(ctx, name, h.Hashes[name])
		if err != nil {
			return nil, err
		}
		if err := configuration.DecodeSection(d, name, text); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// readSection returns the encoding of a section, from the cache or from the platform. It returns an
// error if the content does not have the given hash.
func (s *Store) readSection(ctx context.Context, name configuration.Section, hash string) ([]byte, error) {
	s.mu.Lock()
	c := s.cache[name]
	s.mu.Unlock()
	if c.hash == hash {
		return c.encoded, nil
	}
	o, err := s.objects.Get(ctx, SectionKind, contentName(name, hash))
	if err != nil {
		return nil, oops.Wrapf(err, "read section %s", name)
	}
	if configuration.Hash(o.Value) != hash {
		return nil, oops.Errorf("read section %s: the content does not have the hash in its object name", name)
	}
	s.cacheContent(name, content{hash, o.Value})
	return o.Value, nil
}

func (s *Store) cacheContent(name configuration.Section, c content) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache[name] = c
}

// contentName returns the object name of a section's content: SECTION-HASH.
func contentName(
	name configuration.Section, hash string) string {
	return string(name) + "-" + hash
}
