package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/internal/retrycount"
	"github.com/coltsfootpitch/coltsfootpitch/platform/standin"
)

// retryBudget is what the settings of the soak allow.
var retryBudget = retrycount.Budget{Window: 10 * time.Second, Ratio: 0.2, Allowance: 94}

// checkPauses checks that gateways left the workers alone that had asked them for a pause. A start, an end or a signal of
// the gateway in the pause excuses it.
func (o *oracle) checkPauses() {
	ledger, gateways := standin.NewPauseLedger(), map[string]*gateway{}
	for _, r := range o.outcomes {
		gateways[r.gateway.name] = r.gateway
		for _, run := range o.service.Runs(r.id) {
			ledger.RecordArrival(run.Worker, r.gateway.name, run.At)
			if run.Pause > 0 {
				ledger.RecordPause(run.Worker, r.gateway.name, run.Pause, run.At)
			}
		}
	}
	pauses, excused := ledger.Pauses(), 0
	for _, p := range pauses {
		if p.IsKept() {
			continue
		}
		if gateways[p.Gateway].wasDisturbed(p.At, p.At.Add(p.Length)) {
			excused++
			continue
		}
		o.add("BUDGET", fmt.Sprintf("%s asked %s for a pause of %v at %s and got %d requests in it, the first at %s",
			p.Worker, p.Gateway, p.Length, p.At.Format("15:04:05.000"), len(p.Arrivals), p.Arrivals[0].Format("15:04:05.000")))
	}
	o.notes = append(o.notes, fmt.Sprintf("%d pauses asked for, %d not kept by gateways that were disturbed", len(pauses), excused))
}

// checkRetries checks that all gateways together, disturbed ones included, kept the retry budget.
func (o *oracle) checkRetries() {
	var sent, repeated []time.Time
	for _, r := range o.outcomes {
		sent = append(sent, r.sentAt)
		runs := o.service.Runs(r.id)
		for _, run := range runs[min(1, len(runs)):] {
			repeated = append(repeated, run.At)
		}
	}
	slices.SortFunc(sent, time.Time.Compare)
	slices.SortFunc(repeated, time.Time.Compare)
	most := retryBudget.Most(sent, repeated)
	if most.Part() > 1 {
		o.add("BUDGET", fmt.Sprintf("%.0f retries in the 10 s from %s, allowed %.1f", most.Retries, most.From.Format("15:04:05.000"), most.Allowed))
	}
	o.notes = append(o.notes, fmt.Sprintf("%d retries, at most %.2f of the budget in a window", len(repeated), most.Part()))
}
