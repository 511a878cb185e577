package crashcause

import (
	"slices"
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
	// requests are those that were running without having begun to answer, by key.
	requests map[string]Request
	// depths has their traits. answeredBefore and answeredSince are the traits of requests that began to
	// be answered before the crash and after it.
	depths         map[Trait]int
	answeredBefore map[Trait]bool
	answeredSince  map[Trait]bool
}

// Ledger has the evidence of one process and the traits that it convicts. It is not safe for concurrent
// use.
type Ledger struct {
	crashes   map[string]*crash
	answered  memory
	convicted map[Trait]bool
	// restored are the convictions of an earlier ledger, with the time at which they expire.
	restored map[Trait]time.Time
	// expiresAt is when the oldest crash expires; zero without crashes.
	expiresAt time.Time
	digest    uint64
}

// New returns a ledger without evidence.
func New() *Ledger {
	return &Ledger{crashes: map[string]*crash{}, convicted: map[Trait]bool{}, restored: map[Trait]time.Time{}}
}

// IsEmpty reports whether the ledger has neither crashes nor convictions.
func (l *Ledger) IsEmpty() bool { return len(l.crashes) == 0 && len(l.restored) == 0 }

// RecordAnswer records that an upstream began to answer a request. It reports whether that is new
// evidence on a crash.
func (l *Ledger) RecordAnswer(r Request, now time.Time) bool {
	changed := false
	r.eachTrait(func(t Trait, depth int) {
		if depth < requestDepth {
			l.answered.record(t, now)
		}
		for _, c := range l.crashes {
			if _, ok := c.depths[t]; ok && !c.answeredSince[t] && now.After(c.at) {
				c.answeredSince[t] = true
				changed = true
			}
		}
	})
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
		c = &crash{at: at, requests: map[string]Request{}, depths: map[Trait]int{}, answeredBefore: map[Trait]bool{}, answeredSince: map[Trait]bool{}}
		l.crashes[upstream] = c
		changed = true
	}
	if at.Before(c.at) {
		c.at = at
	}
	for _, r := range requests {
		if _, ok := c.requests[r.key()]; ok || len(c.requests) >= maxRequests {
			continue
		}
		c.requests[r.key()] = r
		changed = true
		r.eachTrait(func(t Trait, depth int) {
			c.depths[t] = max(depth, c.depths[t])
			l.compareWithAnswers(c, t)
		})
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
func (l *Ledger) Restore(traits []Trait, now time.Time) {
	for _, t := range traits {
		l.restored[t] = now.Add(EvidenceTTL)
	}
}

// FindConvicted returns a convicted trait of a request, or false if it has none.
func (l *Ledger) FindConvicted(r Request, now time.Time) (found Trait, ok bool) {
	if !l.expiresAt.IsZero() && now.After(l.expiresAt) {
		l.update(now)
	}
	r.eachTrait(func(t Trait, _ int) {
		if l.convicted[t] || now.Before(l.restored[t]) {
			found, ok = t, true
		}
	})
	return found, ok
}

// Convictions returns the traits that the evidence convicts, sorted. Restored ones are left out.
func (l *Ledger) Convictions() []Trait {
	out := make([]Trait, 0, len(l.convicted))
	for t := range l.convicted {
		out = append(out, t)
	}
	slices.Sort(out)
	return out
}
