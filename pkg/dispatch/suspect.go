package dispatch

import (
	"context"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/poison"
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

// pickNext chooses the upstream of the next attempt. A trial may go to an upstream
// that was tried before when there is no other.
func (s *session) pickNext() (picked, bool) {
	w := target{s.req.Kind, s.req.Target}
	p, ok := s.d.table.pick(w, s.req.Prefix, s.tried)
	if !ok && s.permit.trial != nil {
		return s.d.table.pick(w, s.req.Prefix, nil)
	}
	return p, ok
}
