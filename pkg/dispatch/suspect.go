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

// permitted prepares the next attempt of a request. It returns the result of a request
// that must not run, and whether there is one.
func (s *session) permitted(ctx context.Context) (Result, bool) {
	if s.permit.trial != nil {
		s.endTrial()
	}
	s.permit = s.d.quarantine.enter(ctx, s.fingerprint)
	switch {
	case s.permit.state == poison.Convicted:
		s.d.quarantine.refused.Inc(1)
		return Result{Code: code.CrashingRequest}, true
	case s.permit.state == poison.Suspect && s.permit.trial == nil:
		return Result{Code: code.SuspectNotAlone, RetryAfter: defaultRetryAfter}, true
	}
	return Result{}, false
}

// endTrial ends the trial of the last attempt, if it was one.
func (s *session) endTrial() {
	if s.permit.trial == nil {
		return
	}
	s.d.quarantine.end(s.permit.trial, s.fingerprint)
	s.permit = permit{}
}

// learn takes in what an attempt said about the request. Before the caller hears that
// an upstream was lost, the other entries know the request as a suspect.
func (s *session) learn(c code.Code) {
	q := s.d.quarantine
	if c == code.SuspectNotAlone && q.check(s.fingerprint) != poison.Suspect {
		q.Take([]poison.Verdict{q.verdict(s.fingerprint, poison.Suspect)})
	}
	if c == code.UpstreamLost && q.check(s.fingerprint) != poison.Unknown {
		q.spread(s.fingerprint)
	}
}

// pickNext chooses the upstream of the next attempt. A trial goes to one that has
// little to do, also when it was tried before: it must first be without other work.
func (s *session) pickNext() (picked, bool) {
	w := target{s.req.Kind, s.req.Target}
	if s.permit.trial == nil {
		return s.d.table.pick(w, s.req.Prefix, s.tried)
	}
	if p, ok := s.d.table.pick(w, s.req.Prefix, s.d.table.allBut(w, string(s.fingerprint))); ok {
		return p, true
	}
	return s.d.table.pick(w, s.req.Prefix, nil)
}

// allBut returns the IDs of all upstreams but one. That one is chosen by the key among
// the half with the least work, so that the trials of several suspects spread.
func (t *Table) allBut(w target, key string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*member
	for _, m := range t.members {
		if m.holds(w) && m.status.Reachable && !m.status.Leaving {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.work(), b.work()), cmp.Compare(a.instance.ID, b.instance.ID))
	})
	list = list[:(len(list)+1)/2]
	if len(list) == 0 {
		return nil
	}
	best := slices.MaxFunc(list, func(a, b *member) int { return cmp.Compare(a.rank(key), b.rank(key)) })
	var out []string
	for id := range t.members {
		if id != best.instance.ID {
			out = append(out, id)
		}
	}
	return out
}

func (m *member) holds(w target) bool {
	if w.kind == peer.ServiceWork {
		return slices.Contains(m.status.Services, w.name)
	}
	return slices.Contains(m.status.Models, w.name)
}

func (m *member) work() int { return m.status.Running + m.status.Queued }

// rank is the rendezvous hash of the upstream for a key.
func (m *member) rank(key string) uint64 { return xxhash.Sum64String(key + "/" + m.instance.ID) }

// startBudget bounds the time to the start of an attempt. A trial may wait for as long
// as the request has time, because other trials may come before it.
func (s *session) startBudget(left, service time.Duration) time.Duration {
	if s.permit.trial != nil {
		return left
	}
	return retry.StartTimeout(left, service)
}
