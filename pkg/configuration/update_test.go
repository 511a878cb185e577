package configuration_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
)

func newDocument(version int64, edit string, models ...string) *configuration.Document {
	d := &configuration.Document{Version: version, EditID: edit, Limits: configuration.DefaultLimits()}
	d.RecentEdits = []configuration.EditRef{{Version: version, ID: edit}}
	for _, m := range models {
		d.Models = append(d.Models, configuration.Model{Name: m})
	}
	return d
}

func TestUpdateCarriesOnlyWhatChanged(t *testing.T) {
	is := is.New(t)
	old := newDocument(1, "a", "m1", "m2", "m3")
	next := newDocument(2, "b", "m1", "m3", "m4")
	u, err := configuration.Diff(old, next)
	is.NoErr(err)
	is.Equal(len(u.Changes), 1)
	is.Equal(u.Changes[0].Removed, []string{"m2"})
	is.Equal(string(u.Changes[0].Upserts), `[{"name":"m4"}]`)
	got, err := configuration.Apply(old, u)
	is.NoErr(err)
	is.Equal(got.Models, next.Models)
	is.Equal(got.EditID, "b")
}

// After a rollback of the platform, another edit may have made a document with the same version. An
// update must not be applied to that document.
func TestUpdateRejectsAnotherBase(t *testing.T) {
	is := is.New(t)
	u, err := configuration.Diff(newDocument(1, "a", "m1"), newDocument(2, "b", "m1", "m2"))
	is.NoErr(err)
	_, err = configuration.Apply(newDocument(1, "other", "m1"), u)
	is.True(errors.Is(err, configuration.ErrBaseMismatch))
	u.FromEditID = "other"
	_, err = configuration.Apply(newDocument(1, "other", "m9"), u)
	is.True(err != nil) // The hash of the section does not match.
}

func TestHolderRejectsOlderVersions(t *testing.T) {
	is := is.New(t)
	var h configuration.Holder
	is.True(h.Adopt(newDocument(5, "e", "m1")))
	is.True(!h.Adopt(newDocument(4, "d", "m1")))
	is.True(!h.Adopt(newDocument(5, "x", "m1")))
	other := newDocument(6, "f", "m1")
	other.RecentEdits = []configuration.EditRef{{Version: 5, ID: "x"}, {Version: 6, ID: "f"}}
	is.True(!h.Adopt(other)) // It names another edit for version 5.
	other.RecentEdits[0].ID = "e"
	is.True(h.Adopt(other))
	u, newer, err := h.UpdateFrom(5)
	is.NoErr(err)
	is.True(newer)
	is.Equal(u.FromVersion, int64(5))
	u, _, err = h.UpdateFrom(1)
	is.NoErr(err)
	is.Equal(u.FromVersion, int64(0)) // The holder never had version 1, so all sections are whole.
}

// A process that applies updates has the same recent edits as one that adopts the whole documents.
func TestRecentEditsThroughUpdates(t *testing.T) {
	is := is.New(t)
	var sender, receiver configuration.Holder
	d := newDocument(1, "edit-1", "m1")
	sender.Adopt(d)
	receiver.Adopt(d)
	for v := int64(2); v < 40; v++ {
		next := *d
		next.Version = v
		next.EditID = fmt.Sprintf("edit-%d", v)
		next.Models = []configuration.Model{{Name: fmt.Sprintf("m%d", v)}}
		next.RecentEdits = append(append([]configuration.EditRef(nil), d.RecentEdits...), configuration.EditRef{Version: v, ID: next.EditID})
		next.RecentEdits = next.RecentEdits[max(0, len(next.RecentEdits)-16):]
		sender.Adopt(&next)
		d = &next
		if v%3 == 0 {
			continue // The receiver misses this version.
		}
		u, _, err := sender.UpdateFrom(receiver.View().Version())
		is.NoErr(err)
		is.True(len(u.RecentEdits) <= 2)
		adopted, err := receiver.ApplyUpdate(u)
		is.NoErr(err)
		is.True(adopted)

		is.Equal(receiver.Document().RecentEdits, d.RecentEdits)
	}
}
