package configuration

import (
	"encoding/json"
	"errors"
	"reflect"
	"slices"

	"github.com/samber/oops"
)

// ErrOtherBase says that an update does not build on the document in force.
var ErrOtherBase = errors.New("configuration: the update builds on another document")

// Change is the new content of one section: either whole, or as the items that
// differ from the section before.
type Change struct {
	Section Section `json:"section"`
	// Hash is the hash of the section after the change.
	Hash string `json:"hash"`
	// Whole is the whole section; when it is empty the two other fields apply.
	Whole json.RawMessage `json:"whole,omitempty"`
	// Upserts is the list of items that were added or changed.
	Upserts json.RawMessage `json:"upserts,omitempty"`
	// Removed names the items that were removed.
	Removed []string `json:"removed,omitempty"`
}

// Update leads from one document to a newer one.
type Update struct {
	// From and FromEdit identify the document that the update builds on; From 0
	// means that the update carries all sections whole.
	From     int64  `json:"from"`
	FromEdit string `json:"from_edit,omitempty"`
	Version  int64  `json:"version"`
	Edit     string `json:"edit"`
	// Trail is that of the document that the update leads to. When Continues is set it
	// holds only the edits after the document that the update builds on.
	Trail     []EditRef `json:"trail,omitempty"`
	Continues bool      `json:"continues,omitempty"`
	// Changes hold the sections that differ.
	Changes []Change `json:"changes"`
}

// Diff returns the update from old to next. A nil old gives an update with all sections.
func Diff(old, next *Document) (Update, error) {
	u := Update{Version: next.Version, Edit: next.Edit, Trail: next.Trail}
	if old != nil {
		u.From = old.Version
		u.FromEdit = old.Edit
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

func diffSection(old, next *Document, s Section) (Change, bool, error) {
	content, err := Encode(next, s)
	if err != nil {
		return Change{}, false, err
	}
	whole := Change{Section: s, Hash: Hash(content), Whole: content}
	if old == nil {
		return whole, true, nil
	}
	before, err := Encode(old, s)
	if err != nil {
		return Change{}, false, err
	}
	if Hash(before) == whole.Hash {
		return Change{}, false, nil
	}
	items, err := diffItems(old, next, s)
	if err != nil || items == nil || len(items.Upserts) >= len(content) {
		return whole, true, err
	}
	items.Hash = whole.Hash
	return *items, true, nil
}

// diffItems returns the change by items, or nil for a section without items.
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

func diffList[T any](s Section, old, next []T, name func(T) string) (*Change, error) {
	before := make(map[string]T, len(old))
	for _, item := range old {
		before[name(item)] = item
	}
	upserts := make([]T, 0)
	for _, item := range next {
		was, ok := before[name(item)]
		delete(before, name(item))
		if !ok || !reflect.DeepEqual(was, item) {
			upserts = append(upserts, item)
		}
	}
	c := &Change{Section: s}
	for _, item := range old {
		if _, gone := before[name(item)]; gone {
			c.Removed = append(c.Removed, name(item))
		}
	}
	var err error
	c.Upserts, err = json.Marshal(upserts)
	return c, err
}

// Apply returns the document that u leads to from old. Old stays as it is. It returns
// ErrOtherBase when u builds on another document than old, and an error when the
// result does not have the hashes that u names.
func Apply(old *Document, u Update) (*Document, error) {
	next := &Document{}
	if u.From != 0 {
		if old == nil || old.Version != u.From || old.Edit != u.FromEdit {
			return nil, ErrOtherBase
		}
		*next = *old
	}
	for _, c := range u.Changes {
		if err := applyChange(next, c); err != nil {
			return nil, err
		}
	}
	if u.From == 0 && len(u.Changes) != len(Sections()) {
		return nil, oops.Errorf("update to version %d lacks sections", u.Version)
	}
	next.Version = u.Version
	next.Edit = u.Edit
	next.Trail = u.Trail
	if u.Continues {
		next.Trail = append(slices.Clone(old.Trail), u.Trail...)
		next.Trail = next.Trail[max(0, len(next.Trail)-maxRecentEdits):]
	}
	return next, nil
}

// trimRecentEdits leaves out the part of the trail that the receiver has.
func (u *Update) trimRecentEdits() {
	i := slices.Index(u.Trail, EditRef{u.From, u.FromEdit})
	if i >= 0 {
		u.Trail = u.Trail[i+1:]
		u.Continues = true
	}
}

func applyChange(d *Document, c Change) error {
	if len(c.Whole) > 0 {
		// A fresh target: decoding must not write into a shared slice.
		fresh := &Document{}
		if err := DecodeSection(fresh, c.Section, c.Whole); err != nil {
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
		err = oops.Errorf("section %s has no items", c.Section)
	}
	return err
}

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

func verifyHash(d *Document, c Change) error {
	content, err := Encode(d, c.Section)
	if err != nil {
		return err
	}
	if Hash(content) != c.Hash {
		return oops.Errorf("section %s does not have the announced hash", c.Section)
	}
	return nil
}
