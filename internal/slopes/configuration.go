package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/membership"
)

const editRounds = 40

// buildDocument returns a configuration with n organisations.
func buildDocument(n int) *configuration.Document {
	d := &configuration.Document{Version: 1, EditID: "first", Limits: configuration.DefaultLimits()}
	for z := range targetZones {
		d.Zones = append(d.Zones, configuration.Zone{Name: fmt.Sprintf("zone-%d", z), Region: "r", State: configuration.ZoneIn})
	}
	for i := range n {
		d.Organisations = append(d.Organisations, configuration.Organisation{
			Name: fmt.Sprintf("organisation-%04d", i), KeySHA256: fmt.Sprintf("%064x", i), Weight: 10, Priority: 1,
		})
	}
	return d
}

// measureConfiguration measures an edit of one organisation: the size of the update, the
// processor time to make and to apply it, and the memory of a document.
func measureConfiguration(_ context.Context, r *measurements) error {
	var x, memory []float64
	var updateCPU [2][]float64
	for _, n := range []int{400, 1200, 3600} {
		before := memoryInUse()
		sender, receiver := &configuration.Holder{}, &configuration.Holder{}
		sender.Adopt(buildDocument(n))
		receiver.Adopt(buildDocument(n))
		makeTime, applyTime, err := measureEdits(sender, receiver, r)
		if err != nil {
			return err
		}
		x = append(x, float64(n))
		updateCPU[0] = append(updateCPU[0], float64(makeTime)/editRounds)
		updateCPU[1] = append(updateCPU[1], float64(applyTime)/editRounds)
		memory = append(memory, float64(memoryInUse()-before)/2)
		encoded, err := json.Marshal(sender.Document())
		if err != nil {
			return err
		}
		r.documentBytes = float64(len(encoded))
		if receiver.View().Version() != sender.View().Version() {
			return fmt.Errorf("the receiver has an older configuration version than the sender")
		}
	}
	r.makeUpdateCPU = fitLine(x, updateCPU[0])
	r.applyUpdateCPU = fitLine(x, updateCPU[1])
	r.documentMemory = fitLine(x, memory)
	return nil
}

// measureEdits edits one organisation after the other at the sender, applies each update at the
// receiver, and returns the total processor time to make and to apply the updates.
func measureEdits(sender, receiver *configuration.Holder, r *measurements) (makeTime, applyTime time.Duration, err error) {
	for i := range editRounds {
		sender.Adopt(editOrganisation(sender.Document(), i))
		start, err := ownCPU()
		if err != nil {
			return 0, 0, err
		}
		u, _, err := sender.UpdateFrom(receiver.View().Version())
		if err != nil {
			return 0, 0, err
		}
		text, err := json.Marshal(u)
		if err != nil {
			return 0, 0, err
		}
		encoded, err := ownCPU()
		if err != nil {
			return 0, 0, err
		}
		var got configuration.Update
		if err := json.Unmarshal(text, &got); err != nil {
			return 0, 0, err
		}
		if _, err = receiver.ApplyUpdate(got); err != nil {
			return 0, 0, err
		}
		end, err := ownCPU()
		if err != nil {
			return 0, 0, err
		}
		makeTime += encoded - start
		applyTime += end - encoded
		r.updateBytes = float64(len(text))
	}
	return makeTime, applyTime, nil
}

// editOrganisation returns the next version of the document, with organisation i changed.
func editOrganisation(d *configuration.Document, i int) *configuration.Document {
	next := *d
	next.Organisations = append([]configuration.Organisation(nil), next.Organisations...)
	next.Organisations[i].Weight++
	next.Version++
	next.EditID = fmt.Sprintf("0b0e5c8c-6d0c-4f6f-9d3e-%012d", i)
	next.RecentEdits = append(append([]configuration.EditRef(nil), next.RecentEdits...), configuration.EditRef{Version: next.Version, ID: next.EditID})
	next.RecentEdits = next.RecentEdits[max(0, len(next.RecentEdits)-16):]
	return &next
}

// measureSubsets measures the work of an entry when the instance list changes: choosing the
// agents that it watches and building the distribution tree.
func measureSubsets(_ context.Context, r *measurements) error {
	entries, agents := buildMembers("entry", targetNodes), buildMembers("agent", targetWorkers)
	const rounds = 5
	start, err := ownCPU()
	if err != nil {
		return err
	}
	watched := 0
	for i := range rounds {
		watched += len(membership.WatchedAgents(entries[i*101], entries, agents))
		membership.NewDistributionTrees(entries[i*101].Zone, entries)
	}
	end, err := ownCPU()
	r.watchedAgents = float64(watched) / rounds
	r.subsetCPU = (end - start) / time.Duration(rounds)
	return err
}

func buildMembers(prefix string, n int) []membership.Member {
	out := make([]membership.Member, n)
	for i := range out {
		out[i] = membership.Member{ID: fmt.Sprintf("%s-%d", prefix, i), Zone: fmt.Sprintf("zone-%d", i%targetZones)}
	}
	return out
}
