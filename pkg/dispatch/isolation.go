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

// checkQuarantine sets the admission for the next attempt, after ending the isolated run of the
// last one. For a request that must not run, it returns the result and true.
func (x *execution) checkQuarantine(ctx context.Context) (Result, bool) {
	if x.admission.isolatedRun != nil {
		x.endIsolatedRun()
	}
	x.admission = x.dispatcher.quarantine.admit(ctx, x.fingerprint)
	switch {
	case x.admission.state == poison.Convicted:
		x.dispatcher.quarantine.rejectedRequests.Inc(1)
		return Result{Code: code.CrashingRequest}, true
	case x.admission.state == poison.Suspect && x.admission.isolatedRun == nil:
		return Result{Code: code.SuspectNotAlone, RetryAfter: defaultRetryAfter}, true
	}
	return Result{}, false
}

// endIsolatedRun ends the isolated run of the last attempt, if it was one.
func (x *execution) endIsolatedRun() {
	if x.admission.isolatedRun == nil {
		return
	}
	x.dispatcher.quarantine.endIsolatedRun(x.admission.isolatedRun, x.fingerprint)
	x.admission = admission{}
}

// applyOutcome updates the quarantine with the code of an attempt. When an upstream was lost, it
// broadcasts the state of the fingerprint before the caller receives the result, so that the
// other entries already treat a retry by the caller as suspect.
func (x *execution) applyOutcome(c code.Code) {
	q := x.dispatcher.quarantine
	if c == code.SuspectNotAlone && q.state(x.fingerprint) != poison.Suspect {
		q.Merge([]poison.Verdict{q.newVerdict(x.fingerprint, poison.Suspect)})
	}
	if c == code.UpstreamLost && q.state(x.fingerprint) != poison.Unknown {
		q.broadcast(x.fingerprint)
	}
}

// pickUpstream chooses the upstream of the next attempt. An isolated run goes to an upstream with
// little work, even if it was tried before, because the upstream must first finish its other
// work.
func (x *execution) pickUpstream() (selection, bool) {
	wanted := workTarget{x.req.Kind, x.req.Target}
	if x.admission.isolatedRun == nil {
		return x.dispatcher.table.pick(wanted, x.req.Prefix, x.tried)
	}
	if p, ok := x.dispatcher.table.pick(wanted, x.req.Prefix, x.dispatcher.table.allExceptOne(wanted, string(x.fingerprint))); ok {
		return p, true
	}
	return x.dispatcher.table.pick(wanted, x.req.Prefix, nil)
}

// allExceptOne returns the IDs of all members except one upstream of the target, or nil when
// there is no such upstream. The upstream is chosen by the rendezvous hash of the key among the
// half with the least work, which distributes the isolated runs of several suspects.
func (t *InstanceTable) allExceptOne(wanted workTarget, key string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var candidates []*member
	for _, m := range t.members {
		if m.serves(wanted) && m.status.Reachable && !m.status.Leaving {
			candidates = append(candidates, m)
		}
	}
	slices.SortFunc(candidates, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.requestCount(), b.requestCount()), cmp.Compare(a.instance.ID, b.instance.ID))
	})
	candidates = candidates[:(len(candidates)+1)/2]
	if len(candidates) == 0 {
		return nil
	}
	selected := slices.MaxFunc(candidates, func(a, b *member) int { return cmp.Compare(a.rendezvousHash(key), b.rendezvousHash(key)) })
	var excluded []string
	for id := range t.members {
		if id != selected.instance.ID {
			excluded = append(excluded, id)
		}
	}
	return excluded
}

// serves reports whether the upstream has loaded the target.
func (m *member) serves(wanted workTarget) bool {
	if wanted.kind == peer.ServiceWork {
		return slices.Contains(m.status.Services, wanted.name)
	}
	return slices.Contains(m.status.Models, wanted.name)
}

// requestCount returns the number of running and queued requests of the newest status.
func (m *member) requestCount() int { return m.status.Running + m.status.Queued }

// rendezvousHash returns the rendezvous hash of the upstream for a key.
func (m *member) rendezvousHash(key string) uint64 {
	return xxhash.Sum64String(key + "/" + m.instance.ID)
}

// startBudget returns the time within which an attempt must start. left is the time until the
// deadline and service the mean service time. An isolated run may wait until the deadline,
// because other isolated runs may precede it.
func (x *execution) startBudget(left, service time.Duration) time.Duration {
	if x.admission.isolatedRun != nil {
		return left
	}
	return retry.StartTimeout(left, service)
}
