package configuration

import (
	"encoding/json"
	"errors"
	"reflect"
	"slices"

	"github.com/samber/oops"
)

// ErrBaseMismatch is returned when an update does not start from the document that it is applied to.
var ErrBaseMismatch = errors.New("configuration: the update starts from another document")

// Change is the new content of one section: either the whole section, or the items that
// differ from the previous version.
type Change struct {
	Section Section `json:"section"`
	// Hash is the hash of the section after the change.
	Hash string `json:"hash"`
	// FullContent is the canonical encoding of the whole section. If it is empty, Upserts and
	// Removed apply.
	FullContent json.RawMessage `json:"whole,omitempty"`
	// Upserts is the JSON list of the items that were added or changed.
	Upserts json.RawMessage `json:"upserts,omitempty"`
	// Removed lists the names of the items that were removed.
	Removed []string `json:"removed,omitempty"`
}

// Update is the difference between a document and a newer one.
type Update struct {
	// FromVersion and FromEditID are the version and the edit ID of the document that the update applies
	// to. FromVersion 0 means that the update carries all sections whole and applies to any document.
	FromVersion int64  `json:"from"`
	FromEditID  string `json:"from_edit,omitempty"`
	// Version and Edit are the version and the edit ID of the newer document.
	Version int64  `json:"version"`
	EditID  string `json:"edit"`
	// RecentEdits holds the recent edits of the newer document. If AppendsRecentEdits is set, it
	// holds only those after FromVersion, which are appended to the recent edits of the document that
	// the update applies to.
	RecentEdits        []EditRef `json:"trail,omitempty"`
	AppendsRecentEdits bool      `json:"continues,omitempty"`
	// Changes holds the sections that differ.
	Changes []Change `json:"changes"`
}

// Diff returns the update from old to next. If old is nil, the update carries all sections whole.
func Diff(old, next *Document) (Update, error) {
	u := Update{Version: next.Version, EditID: next.EditID, RecentEdits: next.RecentEdits}
	if old != nil {
		u.FromVersion = old.Version
		u.FromEditID = old.EditID
		u.trimRecentEdits()
	}
	for _, s := range Sections() {
		c, changed, err := diffSection(old, next, s)
		if err != nil {
			return u, err
		}
		if changed {
			u.Changes = append(u.Changes, c)
		}
	}
	return u, nil
}

// diffSection returns the change of section s from old to next. It reports false when the section
// did not change. The change carries the whole section if the section is not a list or if its items
// would take no less space.
func diffSection(old, next *Document, s Section) (Change, bool, error) {
	content, err := Encode(next, s)
	if err != nil {
		return Change{}, false, err
	}
	full := Change{Section: s, Hash: Hash(content), FullContent: content}
	if old == nil {
		return full, true, nil
	}
	before, err := Encode(old, s)
	if err != nil {
		return Change{}, false, err
	}
	if Hash(before) == full.Hash {
		return Change{}, false, nil
	}
	items, err := diffItems(old, next, s)
	if err != nil || items == nil || len(items.Upserts) >= len(content) {
		return full, true, err
	}
	items.Hash = full.Hash
	return *items, true, nil
}

// diffItems returns the change as upserted and removed items, or nil if the section is not a list.
func diffItems(old, next *Document, s Section) (*Change, error) {
	switch s {
	case ZonesSection:
		return diffList(s, old.Zones, next.Zones, zoneName)
	case ModelsSection:
		return diffList(s, old.Models, next.Models, modelName)
	case ServicesSection:
		return diffList(s, old.Services, next.Services, serviceName)
	case OrganisationsSection:
		return diffList(s, old.Organisations, next.Organisations, organisationName)
	}
	return nil, nil
}

// diffList returns the change from the items of old to those of next. Items are compared by name.
func diffList[T any](s Section, old, next []T, name func(T) string) (*Change, error) {
	before := make(map[string]T, len(old))
	for _, item := range old {
		before[name(item)] = item
	}
	upserts := make([]T, 0)
	for _, item := range next {
		previous, ok := before[name(item)]
		delete(before, name(item))
		if !ok || !reflect.DeepEqual(previous, item) {
			upserts = append(upserts, item)
		}
	}
	c := &Change{Section: s}
	for _, item := range old {
		if _, removed := before[name(item)]; removed {
			c.Removed = append(c.Removed, name(item))
		}
	}
	var err error
	c.Upserts, err = json.Marshal(upserts)
	return c, err
}

// Apply returns the result of applying u to old, which it does not modify. It returns ErrBaseMismatch
// when u starts from another document than old, and an error when a section of the result does not
// have the hash stated in u.
func Apply(old *Document, u Update) (*Document, error) {
	next := &Document{}
	if u.FromVersion != 0 {
		if old == nil || old.Version != u.FromVersion || old.EditID != u.FromEditID {
			return nil, ErrBaseMismatch
		}
		*next = *old
	}
	for _, c := range u.Changes {
		if err := applyChange(next, c); err != nil {
			return nil, err
		}
	}
	if u.FromVersion == 0 && len(u.Changes) != len(Sections()) {
		return nil, oops.Errorf("apply update to version %d: it does not carry all sections", u.Version)
	}
	next.Version = u.Version
	next.EditID = u.EditID
	next.RecentEdits = u.RecentEdits
	if u.AppendsRecentEdits {
		next.RecentEdits = append(slices.Clone(old.RecentEdits), u.RecentEdits...)
		next.RecentEdits = next.RecentEdits[max(0, len(next.RecentEdits)-maxRecentEdits):]
	}
	return next, nil
}

// trimRecentEdits removes the recent edits that the receiver has already.
func (u *Update) trimRecentEdits() {
	i := slices.Index(u.RecentEdits, EditRef{u.FromVersion, u.FromEditID})
	if i >= 0 {
		u.RecentEdits = u.RecentEdits[i+1:]
		u.AppendsRecentEdits = true
	}
}

// applyChange applies c to a section of d and checks the hash of the result.
func applyChange(d *Document, c Change) error {
	if len(c.FullContent) > 0 {
		// Decode into an empty document, since the slices of d are shared with older documents.
		fresh := &Document{}
		if err := DecodeSection(fresh, c.Section, c.FullContent); err != nil {
			return err
		}
		CopySection(d, fresh, c.Section)
		return verifyHash(d, c)
	}
	if err := applyItems(d, c); err != nil {
		return err
	}
	return verifyHash(d, c)
}

// applyItems applies the changed items of c to a section of d.
func applyItems(d *Document, c Change) error {
	var err error
	switch c.Section {
	case ZonesSection:
		d.Zones, err = applyItemChange(d.Zones, c, zoneName)
	case ModelsSection:
		d.Models, err = applyItemChange(d.Models, c, modelName)
	case ServicesSection:
		d.Services, err = applyItemChange(d.Services, c, serviceName)
	case OrganisationsSection:
		d.Organisations, err = applyItemChange(d.Organisations, c, organisationName)
	default:
		err = oops.Errorf("apply items to section %s: the section is not a list", c.Section)
	}
	return err
}

// applyItemChange returns list with the removals and upserts of c applied, sorted by name.
func applyItemChange[T any](list []T, c Change, name func(T) string) ([]T, error) {
	var upserts []T
	if err := json.Unmarshal(c.Upserts, &upserts); err != nil {
		return nil, oops.Wrapf(err, "decode items of section %s", c.Section)
	}
	drop := make(map[string]bool, len(upserts)+len(c.Removed))
	for _, n := range c.Removed {
		drop[n] = true
	}
	for _, item := range upserts {
		drop[name(item)] = true
	}
	out := make([]T, 0, len(list)+len(upserts))
	for _, item := range list {
		if !drop[name(item)] {
			out = append(out, item)
		}
	}
	return sortedByName(append(out, upserts...), name), nil
}

// verifyHash returns an error if the section of d that c changes does not have the hash stated in c.
func verifyHash(d *Document, c Change) error {
	content, err := Encode(d, c.Section)
	if err != nil {
		return err
	}
	if Hash(content) != c.Hash {
		return oops.Errorf("apply update: section %s does not have the hash stated in the update", c.Section)

	}
	return nil
}
