package crashcause

import "time"

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
	// requests are those that were running without having begun to answer, by key.
	requests map[string]Request
	// traits are theirs. answeredBefore and answeredSince are the traits of requests that began to
	// be answered before the crash and after it.
	traits         map[Trait]bool
	answeredBefore map[Trait]bool
	answeredSince  map[Trait]bool
}

// hasRequestWith reports whether one request of the crash has both traits.
func (c *crash) hasRequestWith(a, b Trait) bool {
	for _, r := range c.requests {
		if traits := r.traits(); traits[a] && traits[b] {
			return true
		}
	}
	return false
}

// Ledger has the evidence of one process and the convictions that follow from it. It is not safe for concurrent
// use.
type Ledger struct {
	crashes   map[string]*crash
	answered  memory
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

// RecordAnswer records that an upstream began to answer a request. It reports whether that is new
// evidence on a crash.
func (l *Ledger) RecordAnswer(r Request, now time.Time) bool {
	changed := false
	for _, t := range r.partTraits() {
		l.answered.record(t, now)
	}
	if l.IsEmpty() {
		return false
	}
	traits := r.traits()
	for _, c := range l.crashes {
		for t := range traits {
			if c.traits[t] && !c.answeredSince[t] && now.After(c.at) {
				c.answeredSince[t] = true
				changed = true
			}
		}
	}
	for restored := range l.restored {
		if restored.covers(traits) {
			delete(l.restored, restored)
		}
	}
	if changed {
		l.update(now)
	}
	return changed
}

// RecordCrash records that an incarnation of an upstream ended while it ran a request that it had not
// begun to answer. It reports whether that is new evidence.
func (l *Ledger) RecordCrash(upstream string, r Request, now time.Time) bool {
	if !l.add(upstream, now, []Request{r}) {
		return false
	}
	l.update(now)
	return true
}

// add adds requests to a crash at a time and reports whether one is new.
func (l *Ledger) add(upstream string, at time.Time, requests []Request) bool {
	c := l.crashes[upstream]
	changed := false
	if c == nil {
		c = &crash{at: at, requests: map[string]Request{}, traits: map[Trait]bool{}, answeredBefore: map[Trait]bool{}, answeredSince: map[Trait]bool{}}
		l.crashes[upstream] = c
		changed = true
	}
	if at.Before(c.at) {
		c.at = at
		changed = true
	}
	for _, r := range requests {
		if _, ok := c.requests[r.key()]; ok || len(c.requests) >= maxRequests {
			continue
		}
		c.requests[r.key()] = r
		changed = true
		for t := range r.traits() {
			c.traits[t] = true
			l.compareWithAnswers(c, t)
		}
	}
	return changed
}

// compareWithAnswers records whether requests with a trait of a crash began to be answered here.
func (l *Ledger) compareWithAnswers(c *crash, t Trait) {
	last, ok := l.answered.last(t)
	switch {
	case ok && last.After(c.at):
		c.answeredSince[t] = true
	case ok:
		c.answeredBefore[t] = true
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
