package configstore_test

import (
	"context"
	"maps"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/configstore"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
)

// requestedEdit is what an operator requestedEdit for with an edit.
type requestedEdit struct {
	number int
	kind   int
}

// checkHistory compares what operators were told and what processes adopted with the history
// of the platform, which holds every edit of a run.
func (m *simulation) checkHistory(organisations int) {
	h, _, err := configstore.New(m.platform.direct()).Head(context.Background())
	if err != nil {
		m.recordFailure("last head: %v", err)
		return
	}
	m.checkResults(h)
	m.checkFinalDocument(h, organisations)
	for _, n := range m.processes {
		m.checkProcess(n, h)
	}
}

// checkResults checks that accepted edits are in the history once, at the version that
// the operator was told, and that refused ones are not.
func (m *simulation) checkResults(h configuration.Head) {
	seen := map[string]int64{}
	for i, e := range h.History {
		if _, twice := seen[e.ID]; twice {
			m.recordFailure("edit %s was accepted twice", e.ID)
		}
		seen[e.ID] = e.Version
		if e.Version != int64(i+1) || e.Repair {
			m.recordFailure("entry %d of the history is version %d, repair %v", i, e.Version, e.Repair)
		}
	}
	for _, a := range m.accepted {
		if seen[a.id] != a.version {
			m.recordFailure("edit %s was accepted as version %d, the history says %d", a.id, a.version, seen[a.id])
		}
	}
	for _, id := range m.rejected {
		if v, ok := seen[id]; ok {
			m.recordFailure("edit %s was refused and is version %d", id, v)
		}
	}
}

// checkFinalDocument makes all accepted edits in their order on the first document and compares
// the result with the last one: no accepted edit is lost.
func (m *simulation) checkFinalDocument(h configuration.Head, organisations int) {
	d := initialDocument(organisations)
	for _, e := range h.History[1:] {
		a, ok := m.requested[e.ID]
		if !ok {
			m.recordFailure("nobody asked for edit %s", e.ID)
			return
		}
		editKinds[a.kind](d, a.number)
	}
	want, err := configuration.RefsOf(d)
	if err != nil || !maps.Equal(want, h.Refs) {
		m.recordFailure("the last document is not that of the accepted edits: %v, want %v", h.Refs, want)
	}
}

// checkProcess checks that each document that a process adopted is whole.
func (m *simulation) checkProcess(n *process, h configuration.Head) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.adopted {
		want, _ := h.RefsAt(d.Version)
		got, err := configuration.RefsOf(d)
		if err != nil || !maps.Equal(got, want) {
			m.recordFailure("%s adopted version %d with sections %v, want %v", n.name, d.Version, got, want)
		}
	}
}
