package configstore_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/configstore"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standin/objects"
)

func TestEditsOfTheSameSectionConflict(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, base := newStoreWithDocument(is, newFakePlatform(1))
	theirs, mine := *base, *base
	editKinds[0](&theirs, 100)
	editKinds[0](&mine, 201)
	_, err := s.Apply(ctx, &theirs)
	is.NoErr(err)
	_, err = s.Apply(ctx, &mine)
	var c *configuration.Conflict
	is.True(errors.As(err, &c))
	is.Equal(c.Section, configuration.OrganisationsSection)
	is.True(strings.Contains(string(c.Theirs), `"weight":102`))
	is.True(strings.Contains(string(c.Mine), `"weight":203`))
}

func TestEditsOfDifferentSectionsAreRebased(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, base := newStoreWithDocument(is, newFakePlatform(1))
	theirs, mine := *base, *base
	editKinds[0](&theirs, 100)
	editKinds[1](&mine, 7)
	_, err := s.Apply(ctx, &theirs)
	is.NoErr(err)
	r, err := s.Edit(ctx, configstore.Edit{Mine: &mine, Base: base.Version})
	is.NoErr(err)
	is.True(r.Rebased)
	is.Equal(r.Version, int64(3))
	d, _, err := s.Load(ctx)
	is.NoErr(err)
	is.Equal(d.Organisations[1].Weight, 102)
	is.Equal(d.Zones[1].Region, "region-7")
}

// Two edits that are each valid may not be valid together.
func TestRebasedDocumentIsValidatedAcrossSections(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, base := newStoreWithDocument(is, newFakePlatform(1))
	lower, higher := *base, *base
	lower.Limits.OrganisationMaxInFlight = 10
	higher.Organisations = slices.Clone(base.Organisations)
	higher.Organisations[0].MaxInProgress = 20
	_, err := s.Apply(ctx, &lower)
	is.NoErr(err)
	_, err = s.Apply(ctx, &higher)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "organisation_max_in_flight"))
	h, _, err := s.Head(ctx)
	is.NoErr(err)
	is.Equal(h.Version, int64(2))
}

// An edit whose answer is lost and that falls out of the history is not guessed at.
func TestLostEditBeyondTheHistoryHasUnknownOutcome(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := newFakePlatform(1)
	s, base := newStoreWithDocument(is, c)
	mine := *base
	editKinds[1](&mine, 7)
	racer := &lostResponseObjects{Objects: c.direct(), beforeLoss: func() { fillHistory(is, s, 0) }}
	_, err := configstore.Over(configstore.Options{Objects: racer}).Edit(ctx, configstore.Edit{ID: "e", Base: base.Version, Mine: &mine})
	is.True(errors.Is(err, configstore.ErrUnsettled))
}

// newStoreWithDocument returns a store with a first document, and that document.
func newStoreWithDocument(is *is.I, c *fakePlatform) (*configstore.Store, *configuration.Document) {
	ctx := context.Background()
	s := configstore.New(c.direct())
	_, err := s.Apply(ctx, initialDocument(3))
	is.NoErr(err)
	base, _, err := s.Load(ctx)
	is.NoErr(err)
	return s, base
}

// fillHistory makes edits of one kind until earlier ones have left the history.
func fillHistory(is *is.I, s *configstore.Store, kind int) {
	ctx := context.Background()
	for n := range configuration.HistoryLength + 1 {
		d, _, err := s.Load(ctx)
		is.NoErr(err)
		editKinds[kind](d, n)
		_, err = s.Apply(ctx, d)
		is.NoErr(err)
	}
}

// A document with 3,600 organisations, and one with a section near a megabyte, are kept whole.
func TestLargeSections(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := newFakePlatform(1)
	s := configstore.New(c.direct())
	d := initialDocument(3600)
	_, err := s.Apply(ctx, d)
	is.NoErr(err)
	text, err := configuration.Encode(d, configuration.OrganisationsSection)
	is.NoErr(err)
	long := strings.Repeat("x", (configstore.MaxSectionBytes-len(text))/3600-1)
	for i := range d.Organisations {
		d.Organisations[i].Name += long
	}
	text, err = configuration.Encode(d, configuration.OrganisationsSection)
	is.NoErr(err)
	is.True(len(text) > configstore.MaxSectionBytes*99/100)
	_, err = s.Apply(ctx, d)
	is.NoErr(err)
	got, _, err := configstore.New(c.direct()).Load(ctx)
	is.NoErr(err)
	want, err := configuration.RefsOf(d)
	is.NoErr(err)
	refs, err := configuration.RefsOf(got)
	is.NoErr(err)
	is.True(maps.Equal(refs, want))
	d.Organisations[0].Name += strings.Repeat("x", configstore.MaxSectionBytes)
	_, err = s.Apply(ctx, d)
	is.True(errors.Is(err, configstore.ErrTooLarge))
}

// lostResponseObjects loses the answer of the first write of the head and lets others write then.
type lostResponseObjects struct {
	configstore.Objects
	once       sync.Once
	beforeLoss func()
}

func (r *lostResponseObjects) Put(ctx context.Context, kind, name string, revision int64, value any) (platform.Object, error) {
	o, err := r.Objects.Put(ctx, kind, name, revision, value)
	if kind != configstore.Kind {
		return o, err
	}
	r.once.Do(func() {
		r.beforeLoss()
		err = objects.ErrLost
	})
	return o, err
}

// The platform is set back to an old state, or the head removed, while processes have a
// newer document in force: they put it back and nothing reverts.
func TestRolledBackPlatformIsRepaired(t *testing.T) {
	for _, how := range []string{"restored", "deleted", "recreated"} {
		t.Run(how, func(t *testing.T) { testRollback(t, how) })
	}
}

func testRollback(t *testing.T, how string) {
	m := &simulation{resultCounts: map[string]int{}, requested: map[string]requestedEdit{}}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		m.platform = newFakePlatform(1)
		direct := m.platform.direct()
		s := configstore.New(direct)
		old := makeEdits(is, s, 3)
		for i := range 4 {
			m.processes = append(m.processes, &process{simulation: m, name: fmt.Sprintf("node-%d", i), followsPlatform: i < 2})
		}
		for _, n := range m.processes {
			n.start()
		}
		makeEdits(is, s, 3)
		time.Sleep(propagationLimit)
		newest, _, err := s.Load(ctx)
		is.NoErr(err)
		o, err := direct.Get(ctx, configstore.Kind, configstore.Name)
		is.NoErr(err)
		revision := o.Revision
		if how != "restored" {
			is.NoErr(direct.Delete(ctx, configstore.Kind, configstore.Name, revision))
			revision = 0
		}
		if how != "deleted" {
			_, err = direct.Put(ctx, configstore.Kind, configstore.Name, revision, old)
			is.NoErr(err)
		}
		time.Sleep(propagationLimit)
		got, _, err := s.Load(ctx)
		is.NoErr(err)
		want, err := configuration.RefsOf(newest)
		is.NoErr(err)
		refs, err := configuration.RefsOf(got)
		is.NoErr(err)
		is.True(maps.Equal(refs, want))
		is.True(got.Version > newest.Version)
		for _, n := range m.processes {
			is.Equal(n.current().View().Version(), got.Version)
			n.stop()
		}
		time.Sleep(time.Minute)
	})
	if len(m.failures) > 0 {
		t.Fatal(m.failures[0])
	}
}

// makeEdits makes n edits and returns the head after them.
func makeEdits(is *is.I, s *configstore.Store, n int) configuration.Head {
	ctx := context.Background()
	d, _, err := s.Load(ctx)
	is.NoErr(err)
	if d == nil {
		d = initialDocument(5)
	}
	for range n {
		editKinds[2](d, int(d.Version))
		d.Version, err = s.Apply(ctx, d)
		is.NoErr(err)
	}
	h, _, err := s.Head(ctx)
	is.NoErr(err)
	return h
}

// headWriteHook calls after once a write of the head took effect.
type headWriteHook struct {
	configstore.Objects
	once       sync.Once
	afterWrite func()
}

func (h *headWriteHook) Put(ctx context.Context, kind, name string, revision int64, value any) (platform.Object, error) {
	o, err := h.Objects.Put(ctx, kind, name, revision, value)
	if kind == configstore.Kind && err == nil {
		h.once.Do(h.afterWrite)
	}
	return o, err
}

// An edit that goes back to an unused content, between the decision of a collector to
// remove it and the removal, keeps it.
func TestCollectorKeepsReusedContent(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := newFakePlatform(1)
	s := configstore.New(c.direct())
	makeEdits(is, s, 1)
	start, _, err := s.Load(ctx)
	is.NoErr(err)
	fillHistory(is, s, 4)
	// A crashed editor left this content behind.
	text, err := configuration.Encode(start, configuration.LimitsSection)
	is.NoErr(err)
	name := "limits-" + configuration.Hash(text)
	_, err = c.direct().Put(ctx, configstore.SectionKind, name, 0, start.Limits)
	is.NoErr(err)
	hooked := &headWriteHook{Objects: c.direct(), afterWrite: func() {
		d, _, err := s.Load(ctx)
		is.NoErr(err)
		d.Limits = start.Limits
		_, err = s.Apply(ctx, d)
		is.NoErr(err)
	}}
	removed, err := configstore.Over(configstore.Options{Objects: hooked}).Collect(ctx)
	is.NoErr(err)
	is.Equal(removed, 0)
	got, _, err := configstore.New(c.direct()).Load(ctx)
	is.NoErr(err)
	is.Equal(got.Limits, start.Limits)
	fillHistory(is, s, 4)
	// Edits remove by themselves what leaves the history.
	_, err = c.direct().Get(ctx, configstore.SectionKind, name)
	is.True(errors.Is(err, platform.ErrNotFound))
}

// Editors that go back and forth between the same values race a collector: no content
// that the head names is ever missing, and what is left is bounded.
func TestCollectorRacingEditors(t *testing.T) {
	for seed := range uint64(2) {
		runCollectorRace(t, seed)
	}
}

func runCollectorRace(t *testing.T, seed uint64) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		c := newFakePlatform(seed)
		direct := c.direct()
		s := configstore.New(direct)
		_, err := s.Apply(ctx, initialDocument(3))
		is.NoErr(err)
		var editors sync.WaitGroup
		for i := range 3 {
			editors.Go(func() {
				mine := configstore.New(c.client())
				for n := range 40 {
					d, _, err := mine.Load(ctx)
					is.NoErr(err)
					applyRepeatedValue(d, i, n)
					_, err = mine.Apply(ctx, d)
					is.NoErr(err)
				}
			})
		}
		collector := configstore.New(c.client())
		for range 40 {
			time.Sleep(c.random.duration(0, 400*time.Millisecond))
			// A conflict with an editor is tried again at the next turn.
			_, _ = collector.Collect(ctx)
			h, _, err := s.Head(ctx)
			is.NoErr(err)
			for content := range h.Reachable() {
				_, err := direct.Get(ctx, configstore.SectionKind, string(content.Section)+"-"+content.Hash)
				if err != nil {
					t.Errorf("content %v of version %d: %v", content, h.Version, err)
				}
			}
		}
		editors.Wait()
		_, err = s.Collect(ctx)
		is.NoErr(err)
		h, _, err := s.Head(ctx)
		is.NoErr(err)
		all, err := direct.List(ctx, configstore.SectionKind)
		is.NoErr(err)
		is.Equal(len(all.Items), len(h.Reachable()))
	})
}

// applyRepeatedValue sets one of few values, so that contents are used again. Long runs of changes
// of one section push the contents of the others out of the history.
func applyRepeatedValue(d *configuration.Document, editor, n int) {
	switch editor {
	case 0:
		d.Models = []configuration.Model{{Name: fmt.Sprintf("model-%d", n/20%2)}}
	case 1:
		d.Services = []configuration.Service{{Name: fmt.Sprintf("service-%d", n)}}
	default:
		d.Limits.MaxAttempts = 1 + n%10
	}
}

// The calls of an edit do not depend on the number of processes; those of a follower are
// one answered watch.
func TestPlatformCallsPerEdit(t *testing.T) {
	for _, followers := range []int{2, 18} {
		m := &simulation{resultCounts: map[string]int{}, requested: map[string]requestedEdit{}}
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			m.platform = newFakePlatform(1)
			_, err := configstore.New(m.platform.direct()).Apply(context.Background(), initialDocument(3600))
			is.NoErr(err)
			for i := range followers {
				m.processes = append(m.processes, &process{simulation: m, name: fmt.Sprintf("node-%d", i), followsPlatform: true})
			}
			for _, n := range m.processes {
				n.start()
			}
			time.Sleep(5 * time.Second)
			before := m.platform.server.Counts()
			editor := configstore.New(m.platform.direct())
			m.recordRequest("e", requestedEdit{1, 0})
			d, _, err := editor.Load(context.Background())
			is.NoErr(err)
			editKinds[0](d, 1)
			_, err = editor.Apply(context.Background(), d)
			is.NoErr(err)
			time.Sleep(time.Second)
			after := m.platform.server.Counts()
			reads, writes := after.Reads-before.Reads, after.Writes-before.Writes
			t.Logf("%d followers: %d reads and %d writes for an edit, of which %d are watches", followers, reads, writes, followers)
			is.Equal(writes, int64(2))
			is.True(reads <= int64(followers)+10)
			for _, n := range m.processes {
				n.stop()
			}
			time.Sleep(time.Minute)
		})
	}
}

// All processes restart at once, with the platform up or while it is down: nobody holds the
// document any more, and all have it within the limit once the platform answers.
func TestAllProcessesRestart(t *testing.T) {
	for _, down := range []time.Duration{0, time.Minute} {
		m := &simulation{resultCounts: map[string]int{}, requested: map[string]requestedEdit{}}
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			m.platform = newFakePlatform(1)
			head := makeEdits(is, configstore.New(m.platform.direct()), 5)
			for i := range 18 {
				m.processes = append(m.processes, &process{simulation: m, name: fmt.Sprintf("node-%d", i), followsPlatform: i < 9})
			}
			for _, n := range m.processes {
				n.start()
			}
			time.Sleep(propagationLimit)
			m.platform.faults.update(func(w *platformFaults) { w.down = down > 0 })
			before := m.platform.server.Counts()
			for _, n := range m.processes {
				n.stop()
				n.start()
			}
			time.Sleep(down)
			m.platform.faults.update(func(w *platformFaults) { w.down = false })
			time.Sleep(propagationLimit)
			after := m.platform.server.Counts()
			for _, n := range m.processes {
				is.Equal(n.current().View().Version(), head.Version)
				n.stop()
			}
			t.Logf("platform down for %s: %d reads by nine followers that restart at once", down, after.Reads-before.Reads)
			is.True(after.Reads-before.Reads < 200)
			time.Sleep(time.Minute)
		})
	}
}
