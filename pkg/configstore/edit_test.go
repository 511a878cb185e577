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
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/internal/bubble"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configstore"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standin/objects"
)

func TestEditsOfTheSameSectionConflict(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, base := newStoreWithDocument(is, newFakePlatform(1))
	earlier, later := *base, *base
	editKinds[0](&earlier, 100)
	editKinds[0](&later, 201)
	_, err := s.Apply(ctx, &earlier)
	is.NoErr(err)
	_, err = s.Apply(ctx, &later)
	var c *configuration.Conflict
	is.True(errors.As(err, &c))
	is.Equal(c.Section, configuration.OrganisationsSection)
	is.True(strings.Contains(string(c.CurrentValue), `"weight":102`))
	is.True(strings.Contains(string(c.EditedValue), `"weight":203`))
}

func TestEditsOfDifferentSectionsAreRebased(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, base := newStoreWithDocument(is, newFakePlatform(1))
	earlier, later := *base, *base
	editKinds[0](&earlier, 100)
	editKinds[1](&later, 7)
	_, err := s.Apply(ctx, &earlier)
	is.NoErr(err)
	r, err := s.Edit(ctx, configstore.Edit{Document: &later, BaseVersion: base.Version})
	is.NoErr(err)
	is.True(r.Rebased)
	is.Equal(r.Version, int64(3))
	d, _, err := s.Load(ctx)
	is.NoErr(err)
	is.Equal(d.Organisations[1].Weight, 102)
	is.Equal(d.Zones[1].Region, "region-7")
}

// Two edits of different sections that are each valid may be invalid together: one lowers a limit,
// the other exceeds the lowered limit.
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

// The response to the write of an edit is lost, and later edits push it out of the history. Its
// outcome must be reported as unknown, not guessed.
func TestLostEditBeyondTheHistoryHasUnknownOutcome(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := newFakePlatform(1)
	s, base := newStoreWithDocument(is, c)
	edited := *base
	editKinds[1](&edited, 7)
	racer := &lostResponseObjects{ObjectClient: c.direct(), beforeLoss: func() { fillHistory(is, s, 0) }}
	_, err := configstore.NewWithOptions(configstore.Options{Objects: racer}).Edit(ctx, configstore.Edit{ID: "e", BaseVersion: base.Version, Document: &edited})
	is.True(errors.Is(err, configstore.ErrOutcomeUnknown))
}

// newStoreWithDocument returns a store that has an initial document, and that document.
func newStoreWithDocument(is *is.I, c *fakePlatform) (*configstore.Store, *configuration.Document) {
	ctx := context.Background()
	s := configstore.New(c.direct())
	_, err := s.Apply(ctx, initialDocument(3))
	is.NoErr(err)
	base, _, err := s.Load(ctx)
	is.NoErr(err)
	return s, base
}

// fillHistory makes edits of one kind until earlier edits are out of the history.
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

// A document with 3,600 organisations, and one with a section of almost 1 MiB, are stored and read
// without loss. A larger section is rejected.
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
	want, err := configuration.HashSections(d)
	is.NoErr(err)
	hashes, err := configuration.HashSections(got)
	is.NoErr(err)
	is.True(maps.Equal(hashes, want))
	d.Organisations[0].Name += strings.Repeat("x", configstore.MaxSectionBytes)
	_, err = s.Apply(ctx, d)
	is.True(errors.Is(err, configstore.ErrTooLarge))
}

// lostResponseObjects loses the response to the first write of the head, after it has called
// beforeLoss.
type lostResponseObjects struct {
	configstore.ObjectClient
	once       sync.Once
	beforeLoss func()
}

func (r *lostResponseObjects) Put(ctx context.Context, kind, name string, revision int64, value any) (platform.Object, error) {
	o, err := r.ObjectClient.Put(ctx, kind, name, revision, value)
	if kind != configstore.HeadKind {
		return o, err
	}
	r.once.Do(func() {
		r.beforeLoss()
		err = objects.ErrResponseLost
	})
	return o, err
}

// The platform is rolled back to an old state, or the head is removed, while processes have a newer
// document in force. They must write it back under a higher version and not revert to the old one.
func TestRolledBackPlatformIsRepaired(t *testing.T) {
	for _, scenario := range []string{"restored", "deleted", "recreated"} {
		t.Run(scenario, func(t *testing.T) { testRollback(t, scenario) })
	}
}

func testRollback(t *testing.T, scenario string) {
	sim := &simulation{resultCounts: map[string]int{}, requested: map[string]requestedEdit{}}
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		sim.platform = newFakePlatform(1)
		direct := sim.platform.direct()
		s := configstore.New(direct)
		old := makeEdits(is, s, 3)
		for i := range 4 {
			sim.processes = append(sim.processes, &process{simulation: sim, name: fmt.Sprintf("node-%d", i), followsPlatform: i < 2})
		}
		for _, proc := range sim.processes {
			proc.start()
		}
		makeEdits(is, s, 3)
		time.Sleep(propagationLimit)
		newest, _, err := s.Load(ctx)
		is.NoErr(err)
		o, err := direct.Get(ctx, configstore.HeadKind, configstore.HeadName)
		is.NoErr(err)
		revision := o.Revision
		if scenario != "restored" {
			is.NoErr(direct.Delete(ctx, configstore.HeadKind, configstore.HeadName, revision))
			revision = 0
		}
		if scenario != "deleted" {
			_, err = direct.Put(ctx, configstore.HeadKind, configstore.HeadName, revision, old)
			is.NoErr(err)
		}
		time.Sleep(propagationLimit)
		got, _, err := s.Load(ctx)
		is.NoErr(err)
		want, err := configuration.HashSections(newest)
		is.NoErr(err)
		hashes, err := configuration.HashSections(got)
		is.NoErr(err)
		is.True(maps.Equal(hashes, want))
		is.True(got.Version > newest.Version)
		for _, proc := range sim.processes {
			is.Equal(proc.current().View().Version(), got.Version)
			proc.stop()
		}
		time.Sleep(time.Minute)
	})
	if len(sim.failures) > 0 {
		t.Fatal(sim.failures[0])
	}
}

// makeEdits makes n edits, on an initial document if there is none, and returns the head after them.
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

// headWriteHook calls afterWrite once, after the first successful write of the head.
type headWriteHook struct {
	configstore.ObjectClient
	once       sync.Once
	afterWrite func()
}

func (h *headWriteHook) Put(ctx context.Context, kind, name string, revision int64, value any) (platform.Object, error) {
	o, err := h.ObjectClient.Put(ctx, kind, name, revision, value)
	if kind == configstore.HeadKind && err == nil {
		h.once.Do(h.afterWrite)
	}
	return o, err
}

// An edit starts to use an unused content again after a collector has decided to remove it and
// before it removes it. The content must be kept.
func TestCollectorKeepsReusedContent(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := newFakePlatform(1)
	s := configstore.New(c.direct())
	makeEdits(is, s, 1)
	start, _, err := s.Load(ctx)
	is.NoErr(err)
	fillHistory(is, s, 4)
	// This content stands for one that a crashed editor left behind.
	text, err := configuration.Encode(start, configuration.LimitsSection)
	is.NoErr(err)
	name := "limits-" + configuration.Hash(text)
	_, err = c.direct().Put(ctx, configstore.SectionKind, name, 0, start.Limits)
	is.NoErr(err)
	hooked := &headWriteHook{ObjectClient: c.direct(), afterWrite: func() {
		d, _, err := s.Load(ctx)
		is.NoErr(err)
		d.Limits = start.Limits
		_, err = s.Apply(ctx, d)
		is.NoErr(err)
	}}
	removed, err := configstore.NewWithOptions(configstore.Options{Objects: hooked}).Collect(ctx)
	is.NoErr(err)
	is.Equal(removed, 0)
	got, _, err := configstore.New(c.direct()).Load(ctx)
	is.NoErr(err)
	is.Equal(got.Limits, start.Limits)
	fillHistory(is, s, 4)
	// Edits remove contents that are no longer in the history, without the collector.
	_, err = c.direct().Get(ctx, configstore.SectionKind, name)
	is.True(errors.Is(err, platform.ErrNotFound))
}

// Editors that switch between the same few values run concurrently with a collector. No content
// that the head refers to may be missing at any time, and no unused content may be left at the end.
func TestCollectorRacingEditors(t *testing.T) {
	for seed := range uint64(2) {
		runCollectorRace(t, seed)
	}
}

func runCollectorRace(t *testing.T, seed uint64) {
	bubble.Test(t, func(t *testing.T) {
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
				store := configstore.New(c.client())
				for n := range 40 {
					d, _, err := store.Load(ctx)
					is.NoErr(err)
					applyRepeatedValue(d, i, n)
					_, err = store.Apply(ctx, d)
					is.NoErr(err)
				}
			})
		}
		collector := configstore.New(c.client())
		for range 40 {
			time.Sleep(c.random.duration(0, 400*time.Millisecond))
			// After a conflict with an editor, the next iteration collects again.
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

// applyRepeatedValue sets a value in the section of an editor. The models and limits take few values,
// so that their contents are used again. Long series of changes of one section push the contents of
// the others out of the history.
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

// The platform calls of an edit do not depend on the number of processes. Each follower makes one
// more: the watch that returned the edit.
func TestPlatformCallsPerEdit(t *testing.T) {
	for _, followers := range []int{2, 18} {
		sim := &simulation{resultCounts: map[string]int{}, requested: map[string]requestedEdit{}}
		bubble.Test(t, func(t *testing.T) {
			is := is.New(t)
			sim.platform = newFakePlatform(1)
			_, err := configstore.New(sim.platform.direct()).Apply(context.Background(), initialDocument(3600))
			is.NoErr(err)
			for i := range followers {
				sim.processes = append(sim.processes, &process{simulation: sim, name: fmt.Sprintf("node-%d", i), followsPlatform: true})
			}
			for _, proc := range sim.processes {
				proc.start()
			}
			time.Sleep(5 * time.Second)
			before := sim.platform.server.Counts()
			editor := configstore.New(sim.platform.direct())
			sim.recordRequest("e", requestedEdit{1, 0})
			d, _, err := editor.Load(context.Background())
			is.NoErr(err)
			editKinds[0](d, 1)
			_, err = editor.Apply(context.Background(), d)
			is.NoErr(err)
			time.Sleep(time.Second)
			after := sim.platform.server.Counts()
			reads, writes := after.Reads-before.Reads, after.Writes-before.Writes
			t.Logf("%d followers: %d reads and %d writes for an edit, of which %d are watches", followers, reads, writes, followers)
			is.Equal(writes, int64(2))
			is.True(reads <= int64(followers)+10)
			for _, proc := range sim.processes {
				proc.stop()
			}
			time.Sleep(time.Minute)
		})
	}
}

// All processes restart at once, with the platform up or down, so that none has the document. All
// must have it in force within propagationLimit once the platform responds.
func TestAllProcessesRestart(t *testing.T) {
	for _, down := range []time.Duration{0, time.Minute} {
		sim := &simulation{resultCounts: map[string]int{}, requested: map[string]requestedEdit{}}
		bubble.Test(t, func(t *testing.T) {
			is := is.New(t)
			sim.platform = newFakePlatform(1)
			head := makeEdits(is, configstore.New(sim.platform.direct()), 5)
			for i := range 18 {
				sim.processes = append(sim.processes, &process{simulation: sim, name: fmt.Sprintf("node-%d", i), followsPlatform: i < 9})
			}
			for _, proc := range sim.processes {
				proc.start()
			}
			time.Sleep(propagationLimit)
			sim.platform.faults.update(func(f *platformFaults) { f.down = down > 0 })
			before := sim.platform.server.Counts()
			for _, proc := range sim.processes {
				proc.stop()
				proc.start()
			}
			time.Sleep(down)
			sim.platform.faults.update(func(f *platformFaults) { f.down = false })
			time.Sleep(propagationLimit)
			after := sim.platform.server.Counts()
			for _, proc := range sim.processes {
				is.Equal(proc.current().View().Version(), head.Version)
				proc.stop()
			}
			t.Logf("platform down for %s: %d reads by 9 followers that restart at once", down, after.Reads-before.Reads)
			is.True(after.Reads-before.Reads < 200)
			time.Sleep(time.Minute)
		})
	}
}
