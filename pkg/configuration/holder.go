package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync/atomic"
)

// View is a document with indexes for look-ups on the path of a request.
type View struct {
	Document *Document

	zones    map[string]Zone
	models   map[string]Model
	services map[string]Service
	orgs     map[string]Organisation
	byKey    map[string]string
}

// NewView indexes d.
func NewView(d *Document) *View {
	v := &View{
		Document: d,
		zones:    make(map[string]Zone, len(d.Zones)),
		models:   make(map[string]Model, len(d.Models)),
		services: make(map[string]Service, len(d.Services)),
		orgs:     make(map[string]Organisation, len(d.Organisations)),
		byKey:    make(map[string]string, len(d.Organisations)),
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
		v.orgs[o.Name] = o
		v.byKey[o.KeySHA256] = o.Name
	}
	return v
}

// Version returns the version of the document; a nil view has version 0.
func (v *View) Version() int64 {
	if v == nil {
		return 0
	}
	return v.Document.Version
}

// ZoneOut reports whether the zone is taken out. A zone that the document does not name is out.
func (v *View) ZoneOut(zone string) bool {
	return v.zones[zone].State != ZoneIn
}

// HasModel reports whether the document names the model.
func (v *View) HasModel(name string) bool {
	_, ok := v.models[name]
	return ok
}

// Service returns the named service.
func (v *View) Service(name string) (Service, bool) {
	s, ok := v.services[name]
	return s, ok
}

// Organisation returns the named organisation.
func (v *View) Organisation(name string) (Organisation, bool) {
	o, ok := v.orgs[name]
	return o, ok
}

// Authenticate returns the organisation that a bearer token belongs to.
func (v *View) Authenticate(token string) (Organisation, bool) {
	sum := sha256.Sum256([]byte(token))
	name, ok := v.byKey[hex.EncodeToString(sum[:])]
	return v.orgs[name], ok
}

// Idempotent reports whether a call of s with the HTTP method may be repeated.
func (s Service) Idempotent(method string) bool {
	if len(s.IdempotentMethods) == 0 {
		return method == "GET" || method == "HEAD"
	}
	return slices.Contains(s.IdempotentMethods, method)
}

// Holder keeps the newest adopted document. It is safe for concurrent use.
type Holder struct {
	view atomic.Pointer[View]
}

// View returns the document in force, or nil when none was adopted yet.
func (h *Holder) View() *View { return h.view.Load() }

// Adopt puts d in force when its version is higher than the one in force.
// It reports whether it did.
func (h *Holder) Adopt(d *Document) bool {
	next := NewView(d)
	for {
		old := h.view.Load()
		if old != nil && d.Version <= old.Version() {
			return false
		}
		if h.view.CompareAndSwap(old, next) {
			return true
		}
	}
}
