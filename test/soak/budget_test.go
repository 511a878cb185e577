package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/platform/standin"
)

const (
	// retryWindow, retryRatio and retryAllowance are the bounds of the settings on retries.
	retryWindow    = 10 * time.Second
	retryRatio     = 0.2
	retryAllowance = 94
	// retryStep is the time between two windows that are checked.
	retryStep = 100 * time.Millisecond
)

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
	if len(sent) == 0 {
		return
	}
	nearest := 0.0
	for from := sent[0]; from.Before(sent[len(sent)-1]); from = from.Add(retryStep) {
		to := from.Add(retryWindow)
		// Requests count in the window, in the one before it or in the one half a window before it.
		requests := max(countBetween(sent, from, to), countBetween(sent, from.Add(-retryWindow), from), countBetween(sent, from.Add(-retryWindow/2), to.Add(-retryWindow/2)))
		retries, allowed := countBetween(repeated, from, to), retryRatio*requests+retryAllowance
		nearest = max(nearest, retries/allowed)
		if retries > allowed {
			o.add("BUDGET", fmt.Sprintf("%.0f retries in the 10 s from %s, allowed %.1f", retries, from.Format("15:04:05.000"), allowed))
			break
		}
	}
	o.notes = append(o.notes, fmt.Sprintf("%d retries, at most %.2f of the budget in a window", len(repeated), nearest))
}

// countBetween returns the number of times, which are in order, within a span.
func countBetween(times []time.Time, from, to time.Time) float64 {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)
	return float64(end - first)
}
