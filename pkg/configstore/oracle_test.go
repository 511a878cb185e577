package configstore_test

import (
	"context"
	"maps"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/configstore"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
)

// asked is what an operator asked for with an edit.
type asked struct {
	number int
	kind   int
}

// check compares what operators were told and what processes adopted with the history
// of the platform, which holds every edit of a run.
func (m *model) check(organisations int) {
	h, _, err := configstore.New(m.cloud.direct()).Head(context.Background())
	if err != nil {
		m.fault("last head: %v", err)
		return
	}
	m.checkAnswers(h)
	m.checkLast(h, organisations)
	for _, n := range m.nodes {
		m.checkNode(n, h)
	}
}

// checkAnswers checks that accepted edits are in the history once, at the version that
// the operator was told, and that refused ones are not.
func (m *model) checkAnswers(h configuration.Head) {
	seen := map[string]int64{}
	for i, e := range h.History {
		if _, twice := seen[e.ID]; twice {
			m.fault("edit %s was accepted twice", e.ID)
		}
		seen[e.ID] = e.Version
		if e.Version != int64(i+1) || e.Repair {
			m.fault("entry %d of the history is version %d, repair %v", i, e.Version, e.Repair)
		}
	}
	for _, a := range m.accepted {
		if seen[a.id] != a.version {
			m.fault("edit %s was accepted as version %d, the history says %d", a.id, a.version, seen[a.id])
		}
	}
	for _, id := range m.refused {
		if v, ok := seen[id]; ok {
			m.fault("edit %s was refused and is version %d", id, v)
		}
	}
}

// checkLast makes all accepted edits in their order on the first document and compares
// the result with the last one: no accepted edit is lost.
func (m *model) checkLast(h configuration.Head, organisations int) {
	d := first(organisations)
	for _, e := range h.History[1:] {
		a, ok := m.asked[e.ID]
		if !ok {
			m.fault("nobody asked for edit %s", e.ID)
			return
		}
		changes[a.kind](d, a.number)
	}
	want, err := configuration.RefsOf(d)
	if err != nil || !maps.Equal(want, h.Refs) {
		m.fault("the last document is not that of the accepted edits: %v, want %v", h.Refs, want)
	}
}

// checkNode checks that each document that a process adopted is whole.
func (m *model) checkNode(n *node, h configuration.Head) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.adopted {
		want, _ := h.RefsAt(d.Version)
		got, err := configuration.RefsOf(d)
		if err != nil || !maps.Equal(got, want) {
			m.fault("%s adopted version %d with sections %v, want %v", n.name, d.Version, got, want)
		}
	}
}
