package crashcause

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Crash is the evidence on one crash, as processes exchange it.
type Crash struct {
	// Upstream identifies the incarnation that ended.
	Upstream string `json:"upstream"`
	// AgeMillis is the time since the crash, in milliseconds.
	AgeMillis int64 `json:"age_ms"`
	// Requests are those that it ran and had not begun to answer.
	Requests []Request `json:"requests"`
	// AnsweredBefore and AnsweredSince are the traits of requests that began to be answered before the
	// crash and after it.
	AnsweredBefore []Trait `json:"answered_before,omitempty"`
	AnsweredSince  []Trait `json:"answered_since,omitempty"`
}

// Evidence returns all evidence, in no particular order.
func (l *Ledger) Evidence(now time.Time) []Crash {
	out := make([]Crash, 0, len(l.crashes))
	for id, c := range l.crashes {
		e := Crash{
			Upstream: id, AgeMillis: now.Sub(c.at).Milliseconds(),
			AnsweredBefore: sortedTraits(c.answeredBefore), AnsweredSince: sortedTraits(c.answeredSince),
		}
		for _, r := range c.requests {
			e.Requests = append(e.Requests, r)
		}
		out = append(out, e)
	}
	return out
}

// Merge adds the evidence of another process and reports whether some of it is new.
func (l *Ledger) Merge(evidence []Crash, now time.Time) bool {
	changed := false
	for _, e := range evidence {
		age := time.Duration(e.AgeMillis) * time.Millisecond
		if age > EvidenceTTL {
			continue
		}
		if l.add(e.Upstream, now.Add(-age), e.Requests) {
			changed = true
		}
		c := l.crashes[e.Upstream]
		changed = addTraits(c.answeredBefore, e.AnsweredBefore) || changed
		changed = addTraits(c.answeredSince, e.AnsweredSince) || changed
	}
	if changed {
		l.update(now)
	}
	return changed
}

// addTraits adds traits to a set and reports whether one is new.
func addTraits(set map[Trait]bool, traits []Trait) bool {
	before := len(set)
	for _, t := range traits {
		set[t] = true
	}
	return len(set) > before
}

// Digest returns a hash of the evidence, 0 for none. Processes with the same evidence have the same
// digest.
func (l *Ledger) Digest() uint64 { return l.digest }

func (l *Ledger) computeDigest() uint64 {
	if len(l.crashes) == 0 {
		return 0
	}
	var lines []string
	for id, c := range l.crashes {
		for key := range c.requests {
			lines = append(lines, id+" "+key)
		}
		for _, t := range sortedTraits(c.answeredBefore) {
			lines = append(lines, id+" before "+string(t))
		}
		for _, t := range sortedTraits(c.answeredSince) {
			lines = append(lines, id+" since "+string(t))
		}
	}
	slices.Sort(lines)
	return max(1, xxhash.Sum64String(strings.Join(lines, "\n")))
}

func sortedTraits(set map[Trait]bool) []Trait {
	var out []Trait
	for t := range set {
		out = append(out, t)
	}
	slices.Sort(out)
	return out
}
