package configstore_test

import (
	"context"
	"maps"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/configstore"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
)

// requestedEdit is an edit that an operator tried: its kind in editKinds and its number.
type requestedEdit struct {
	number int
	kind   int
}

// checkHistory compares the results reported to operators and the documents adopted by processes
// with the history in the head, which contains every edit of a run.
func (sim *simulation) checkHistory(organisations int) {
	h, _, err := configstore.New(sim.platform.direct()).Head(context.Background())
	if err != nil {
		sim.recordFailure("read final head: %v", err)
		return
	}
	sim.checkResults(h)
	sim.checkFinalDocument(h, organisations)
	for _, proc := range sim.processes {
		sim.checkProcess(proc, h)
	}
}

// checkResults checks that edits reported as accepted are in the history once, at the reported
// version, and that edits reported as rejected are not.
func (sim *simulation) checkResults(h configuration.Head) {
	seen := map[string]int64{}
	for i, e := range h.History {
		if _, ok := seen[e.ID]; ok {
			sim.recordFailure("edit %s was accepted twice", e.ID)
		}
		seen[e.ID] = e.Version
		if e.Version != int64(i+1) || e.Repair {
			sim.recordFailure("history entry %d has version %d, repair %v", i, e.Version, e.Repair)
		}
	}
	for _, a := range sim.accepted {
		if seen[a.id] != a.version {
			sim.recordFailure("edit %s was reported as version %d, the history has version %d", a.id, a.version, seen[a.id])
		}
	}
	for _, id := range sim.rejected {
		if v, ok := seen[id]; ok {
			sim.recordFailure("edit %s was reported as rejected, the history has it as version %d", id, v)
		}
	}
}

// checkFinalDocument repeats all accepted edits in order on the initial document and compares the
// result with the final one, to check that no accepted edit is lost.
func (sim *simulation) checkFinalDocument(h configuration.Head, organisations int) {
	d := initialDocument(organisations)
	for _, e := range h.History[1:] {
		a, ok := sim.requested[e.ID]
		if !ok {
			sim.recordFailure("the history has edit %s, which no operator made", e.ID)
			return
		}
		editKinds[a.kind](d, a.number)
	}
	want, err := configuration.HashSections(d)
	if err != nil || !maps.Equal(want, h.Hashes) {
		sim.recordFailure("the final document does not match the accepted edits: section hashes %v, want %v", h.Hashes, want)
	}
}

// checkProcess checks that each document that a process adopted has the sections of its version.
func (sim *simulation) checkProcess(proc *process, h configuration.Head) {
	proc.mu.Lock()
	defer proc.mu.Unlock()
	for _, d := range proc.adopted {
		want, _ := h.HashesAt(d.Version)
		got, err := configuration.HashSections(d)
		if err != nil || !maps.Equal(got, want) {
			sim.recordFailure("%s adopted version %d with section hashes %v, want %v", proc.name, d.Version, got, want)
		}
	}
}
