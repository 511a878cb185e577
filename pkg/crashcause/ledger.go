package crashcause

import (
	"maps"
	"time"
)

const (
	// EvidenceTTL is how long a crash counts, and a conviction that was restored.
	EvidenceTTL = 24 * time.Hour
	// maxCrashes is the number of crashes that are kept, the newest, and maxRequests the number of
	// requests of each.
	maxCrashes  = 128
	maxRequests = 64
)

// crash is the evidence on the end of one incarnation of an upstream.
type crash struct {
	at time.Time
	// suspects holds, for each progress, the requests that had come that far at most.
	suspects [Whole]*suspects
}

func newCrash(at time.Time) *crash {
	c := &crash{at: at}
	for p := range c.suspects {
		c.suspects[p] = &suspects{requests: map[string]Request{}, traits: map[Trait]bool{}, answeredBefore: map[Trait]bool{}, answeredSince: map[Trait]bool{}}
	}
	return c
}

// suspects are the requests that an upstream ran when it ended and whose answers had come to some progress
// at most.
type suspects struct {
	// requests are indexed by key.
	requests map[string]Request
	// traits are theirs. answeredBefore and answeredSince are the traits of requests whose answers came
	// farther before the crash and after it.
	traits         map[Trait]bool
	answeredBefore map[Trait]bool
	answeredSince  map[Trait]bool
}

// hasRequestWith reports whether one of the requests has both traits.
func (s *suspects) hasRequestWith(a, b Trait) bool {
	for _, r := range s.requests {
		if traits := r.traits(); traits[a] && traits[b] {
			return true
		}
	}
	return false
}

// Ledger has the evidence of one process and the convictions that follow from it. It is not safe for concurrent
// use.
type Ledger struct {
	crashes map[string]*crash
	// answered has, for each progress, the traits of requests whose answers came farther.
	answered  [Whole]memory
	convicted []Conviction
	// restored are the convictions of an earlier ledger, with the time at which they expire.
	restored map[Conviction]time.Time
	// expiresAt is when the oldest crash expires; zero without crashes.
	expiresAt time.Time
	digest    uint64
}

// New returns a ledger without evidence.
func New() *Ledger {
	return &Ledger{crashes: map[string]*crash{}, restored: map[Conviction]time.Time{}}
}

// IsEmpty reports whether the ledger has neither crashes nor convictions.
func (l *Ledger) IsEmpty() bool { return len(l.crashes) == 0 && len(l.restored) == 0 }

// RecordAnswer records that the answer of an upstream to a request has come to a progress, Begun or Whole. It
// reports whether that is new evidence on a crash.
func (l *Ledger) RecordAnswer(r Request, progress Progress, now time.Time) bool {
	for p := range progress {
		for _, t := range r.partTraits() {
			l.answered[p].record(t, now)
		}
	}
	if l.IsEmpty() {
		return false
	}
	traits := r.traits()
	changed := false
	for _, c := range l.crashes {
		if !now.After(c.at) {
			continue
		}
		for _, s := range c.suspects[:progress] {
			for t := range traits {
				changed = s.clear(t) || changed
			}
		}
	}
	if progress == Whole {
		maps.DeleteFunc(l.restored, func(c Conviction, _ time.Time) bool { return c.covers(traits) })
	}
	if changed {
		l.update(now)
	}
	return changed
}

// clear records that requests with a suspect trait came farther after the crash and reports whether that is new.
func (s *suspects) clear(t Trait) bool {
	if !s.traits[t] || s.answeredSince[t] {
		return false
	}
	s.answeredSince[t] = true
	return true
}

// RecordCrash records that an incarnation of an upstream ended while it ran a request whose answer had come to
// a progress, NotBegun or Begun. It reports whether that is new evidence.
func (l *Ledger) RecordCrash(upstream string, r Request, progress Progress, now time.Time) bool {
	if !l.add(upstream, now, progress, []Request{r}) {
		return false
	}
	l.update(now)
	return true
}

// add adds requests to a crash at a time and reports whether one is new.
func (l *Ledger) add(upstream string, at time.Time, progress Progress, requests []Request) bool {
	c := l.crashes[upstream]
	changed := false
	if c == nil {
		c = newCrash(at)
		l.crashes[upstream] = c
		changed = true
	}
	if at.Before(c.at) {
		c.at = at
		changed = true
	}
	for p := progress; p < Whole; p++ {
		s := c.suspects[p]
		for _, r := range requests {
			if _, ok := s.requests[r.key()]; ok || len(s.requests) >= maxRequests {
				continue
			}
			s.requests[r.key()] = r
			changed = true
			for t := range r.traits() {
				s.traits[t] = true
				s.compareWithAnswers(&l.answered[p], t, c.at)
			}
		}
	}
	return changed
}

// compareWithAnswers records whether requests with a trait were answered before or after a crash.
func (s *suspects) compareWithAnswers(answered *memory, t Trait, crashedAt time.Time) {
	last, ok := answered.last(t)
	switch {
	case ok && last.After(crashedAt):
		s.answeredSince[t] = true
	case ok:
		s.answeredBefore[t] = true
	}
}

// update drops what expired or is too much, and convicts anew.
func (l *Ledger) update(now time.Time) {
	for id, c := range l.crashes {
		if now.Sub(c.at) > EvidenceTTL {
			delete(l.crashes, id)
		}
	}
	for len(l.crashes) > maxCrashes {
		delete(l.crashes, l.oldest())
	}
	l.expiresAt = time.Time{}
	if len(l.crashes) > 0 {
		l.expiresAt = l.crashes[l.oldest()].at.Add(EvidenceTTL)
	}
	l.convicted = l.explain()
	l.digest = l.computeDigest()
}

// oldest returns the upstream whose crash is the oldest.
func (l *Ledger) oldest() string {
	oldest := ""
	for id, c := range l.crashes {
		if oldest == "" || c.at.Before(l.crashes[oldest].at) {
			oldest = id
		}
	}
	return oldest
}

// Restore adds convictions of an earlier ledger, which hold until EvidenceTTL has passed.
func (l *Ledger) Restore(convictions []Conviction, now time.Time) {
	for _, c := range convictions {
		l.restored[c] = now.Add(EvidenceTTL)
	}
}

// FindConviction returns a conviction that covers a request, or false if there is none.
func (l *Ledger) FindConviction(r Request, now time.Time) (Conviction, bool) {
	if !l.expiresAt.IsZero() && now.After(l.expiresAt) {
		l.update(now)
	}
	if len(l.convicted) == 0 && len(l.restored) == 0 {
		return "", false
	}
	traits := r.traits()
	for _, c := range l.convicted {
		if c.covers(traits) {
			return c, true
		}
	}
	for c, expiresAt := range l.restored {
		if now.Before(expiresAt) && c.covers(traits) {
			return c, true
		}
	}
	return "", false
}

// Convictions returns the convictions that follow from the evidence, sorted. Restored ones are left
// out.
func (l *Ledger) Convictions() []Conviction { return l.convicted }
