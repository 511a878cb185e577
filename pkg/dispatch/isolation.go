package dispatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/poison"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/retry"
)

// checkQuarantine prepares the next attempt of a request. It returns the result of a request
// that must not run, and whether there is one.
func (x *execution) checkQuarantine(ctx context.Context) (Result, bool) {
	if x.admission.isolatedRun != nil {
		x.endIsolatedRun()
	}
	x.admission = x.dispatcher.quarantine.admit(ctx, x.fingerprint)
	switch {
	case x.admission.state == poison.Convicted:
		x.dispatcher.quarantine.refusedRequests.Inc(1)
		return Result{Code: code.CrashingRequest}, true
	case x.admission.state == poison.Suspect && x.admission.isolatedRun == nil:
		return Result{Code: code.SuspectNotAlone, RetryAfter: defaultRetryAfter}, true
	}
	return Result{}, false
}

// endIsolatedRun ends the trial of the last attempt, if it was one.
func (x *execution) endIsolatedRun() {
	if x.admission.isolatedRun == nil {
		return
	}
	x.dispatcher.quarantine.endIsolatedRun(x.admission.isolatedRun, x.fingerprint)
	x.admission = admission{}
}

// applyOutcome takes in what an attempt said about the request. Before the caller hears that
// an upstream was lost, the other entries know the request as a suspect.
func (x *execution) applyOutcome(c code.Code) {
	q := x.dispatcher.quarantine
	if c == code.SuspectNotAlone && q.state(x.fingerprint) != poison.Suspect {
		q.Take([]poison.Verdict{q.newVerdict(x.fingerprint, poison.Suspect)})
	}
	if c == code.UpstreamLost && q.state(x.fingerprint) != poison.Unknown {
		q.broadcast(x.fingerprint)
	}
}

// pickUpstream chooses the upstream of the next attempt. A trial goes to one that has
// little to do, also when it was tried before: it must first be without other work.
func (x *execution) pickUpstream() (selection, bool) {
	w := workTarget{x.req.Kind, x.req.Target}
	if x.admission.isolatedRun == nil {
		return x.dispatcher.table.pick(w, x.req.Prefix, x.tried)
	}
	if p, ok := x.dispatcher.table.pick(w, x.req.Prefix, x.dispatcher.table.allExceptOne(w, string(x.fingerprint))); ok {
		return p, true
	}
	return x.dispatcher.table.pick(w, x.req.Prefix, nil)
}

// allExceptOne returns the IDs of all upstreams but one. That one is chosen by the key among
// the half with the least work, so that the trials of several suspects spread.
func (t *Table) allExceptOne(wanted workTarget, key string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*member
	for _, m := range t.members {
		if m.serves(wanted) && m.status.Reachable && !m.status.Leaving {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.requestCount(), b.requestCount()), cmp.Compare(a.instance.ID, b.instance.ID))
	})
	list = list[:(len(list)+1)/2]
	if len(list) == 0 {
		return nil
	}
	best := slices.MaxFunc(list, func(a, b *member) int { return cmp.Compare(a.rendezvousHash(key), b.rendezvousHash(key)) })
	var out []string
	for id := range t.members {
		if id != best.instance.ID {
			out = append(out, id)
		}
	}
	return out
}

func (m *member) serves(wanted workTarget) bool {
	if wanted.kind == peer.ServiceWork {
		return slices.Contains(m.status.Services, wanted.name)
	}
	return slices.Contains(m.status.Models, wanted.name)
}

func (m *member) requestCount() int { return m.status.Running + m.status.Queued }

// rendezvousHash is the rendezvous hash of the upstream for a key.
func (m *member) rendezvousHash(key string) uint64 {
	return xxhash.Sum64String(key + "/" + m.instance.ID)
}

// startBudget bounds the time to the start of an attempt. A trial may wait for as long
// as the request has time, because other trials may come before it.
func (x *execution) startBudget(left, service time.Duration) time.Duration {
	if x.admission.isolatedRun != nil {
		return left
	}
	return retry.StartTimeout(left, service)
}
