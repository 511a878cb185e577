package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync"
	"sync/atomic"
)

// View is a document with indexes for the lookups that each request needs.
type View struct {
	Document *Document

	zones         map[string]Zone
	models        map[string]Model
	services      map[string]Service
	organisations map[string]Organisation
	// organisationByKeyHash maps the hexadecimal SHA-256 of a bearer token to the name of its
	// organisation.
	organisationByKeyHash map[string]string
}

// NewView returns a view of d.
func NewView(d *Document) *View {
	v := &View{
		Document:              d,
		zones:                 make(map[string]Zone, len(d.Zones)),
		models:                make(map[string]Model, len(d.Models)),
		services:              make(map[string]Service, len(d.Services)),
		organisations:         make(map[string]Organisation, len(d.Organisations)),
		organisationByKeyHash: make(map[string]string, len(d.Organisations)),
	}
	for _, z := range d.Zones {
		v.zones[z.Name] = z
	}
	for _, m := range d.Models {
		v.models[m.Name] = m
	}
	for _, s := range d.Services {
		v.services[s.Name] = s
	}
	for _, o := range d.Organisations {
		v.organisations[o.Name] = o
		v.organisationByKeyHash[o.KeySHA256] = o.Name
	}
	return v
}

// Version returns the version of the document, or 0 for a nil view.
func (v *View) Version() int64 {
	if v == nil {
		return 0
	}
	return v.Document.Version
}

// IsZoneOut reports whether the zone receives no new work. A zone that is not in the document is out.
func (v *View) IsZoneOut(zone string) bool {
	return v.zones[zone].State != ZoneIn
}

// HasModel reports whether the document has the model.
func (v *View) HasModel(name string) bool {
	_, ok := v.models[name]
	return ok
}

// Service returns the service with the given name.
func (v *View) Service(name string) (Service, bool) {
	s, ok := v.services[name]
	return s, ok
}

// Organisation returns the organisation with the given name.
func (v *View) Organisation(name string) (Organisation, bool) {
	o, ok := v.organisations[name]
	return o, ok
}

// Authenticate returns the organisation that a bearer token belongs to. It reports false if there
// is none.
func (v *View) Authenticate(token string) (Organisation, bool) {
	sum := sha256.Sum256([]byte(token))
	name, ok := v.organisationByKeyHash[hex.EncodeToString(sum[:])]
	return v.organisations[name], ok
}

// IsIdempotent reports whether a request to s with the HTTP method may be repeated.
func (s Service) IsIdempotent(method string) bool {
	if len(s.IdempotentMethods) == 0 {
		return method == "GET" || method == "HEAD"
	}
	return slices.Contains(s.IdempotentMethods, method)
}

// maxReplacedDocuments is the number of replaced documents that a holder keeps, to compute updates
// for processes that still have one of them in force.
const maxReplacedDocuments = 8

// Holder keeps the newest adopted document. It is safe for concurrent use.
type Holder struct {
	view atomic.Pointer[View]

	mu sync.Mutex
	// replaced holds earlier documents in force, oldest first.
	replaced []*Document
	// updates caches updates to the document in force, keyed by the version that they start from.
	updates map[int64]Update
}

// View returns the document in force, or nil when none was adopted yet.
func (h *Holder) View() *View { return h.view.Load() }

// Document returns the document in force, or nil when none was adopted yet.
func (h *Holder) Document() *Document {
	if v := h.View(); v != nil {
		return v.Document
	}
	return nil
}

// Adopt puts d in force if d may replace the document in force; see Document.CanReplace. It reports
// whether it did.
func (h *Holder) Adopt(d *Document) bool {
	if !d.CanReplace(h.Document()) {
		return false
	}
	next := NewView(d)
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.view.Load()
	if old != nil && !d.CanReplace(old.Document) {
		return false
	}
	if old != nil {
		h.replaced = append(h.replaced, old.Document)
		h.replaced = h.replaced[max(0, len(h.replaced)-maxReplacedDocuments):]
	}
	h.view.Store(next)
	h.updates = map[int64]Update{}
	return true
}

// UpdateFrom returns an update from a version to the document in force. If the holder no longer
// has the document of that version, the update carries all sections whole. UpdateFrom reports
// false when the version is not lower than the one in force.
func (h *Holder) UpdateFrom(version int64) (Update, bool, error) {
	d := h.Document()
	if d == nil || version >= d.Version {
		return Update{}, false, nil
	}
	old := h.replacedDocument(version)
	from := old.versionOrZero()
	if u, ok := h.cachedUpdate(from, d); ok {
		return u, true, nil
	}
	u, err := Diff(old, d)
	if err == nil {
		h.cacheUpdate(u)
	}
	return u, err == nil, err
}

// cachedUpdate returns a cached update from a version to d.
func (h *Holder) cachedUpdate(from int64, d *Document) (Update, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	u, ok := h.updates[from]
	return u, ok && u.Version == d.Version
}

// cacheUpdate caches an update to the document in force for other processes at the same version.
// Updates with all sections are not cached, because of their size.
func (h *Holder) cacheUpdate(u Update) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if u.FromVersion != 0 && u.Version == h.View().Version() {
		h.updates[u.FromVersion] = u
	}
}

// versionOrZero returns the version of d, or 0 for a nil document.
func (d *Document) versionOrZero() int64 {
	if d == nil {
		return 0
	}
	return d.Version
}

// replacedDocument returns the replaced document with a version, or nil if it is not kept.
func (h *Holder) replacedDocument(version int64) *Document {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, d := range h.replaced {
		if d.Version == version {
			return d
		}
	}
	return nil
}

// ApplyUpdate applies u to the document in force and adopts the result. It reports whether it did:
// an update to a version that is not newer changes nothing. It returns ErrBaseMismatch when u starts
// from another document than the one in force.
func (h *Holder) ApplyUpdate(u Update) (bool, error) {
	old := h.Document()
	if old != nil && u.Version <= old.Version {
		return false, nil
	}
	d, err := Apply(old, u)
	if err != nil {
		return false, err
	}
	if !h.Adopt(d) {
		return false, nil
	}
	h.cacheUpdate(u)
	return true, nil
}
