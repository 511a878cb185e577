package crashcause

import (
	"slices"
	"strconv"
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
	// Suspects are the requests whose answers had not begun.
	Suspects
	// Begun are those whose answers had begun and were not whole.
	Begun Suspects `json:"begun"`
}

// Suspects is the evidence on the requests of a crash whose answers had come to one progress.
type Suspects struct {
	Requests []Request `json:"requests"`
	// AnsweredBefore and AnsweredSince are the traits of requests whose answers came farther before the
	// crash and after it.
	AnsweredBefore []Trait `json:"answered_before,omitempty"`
	AnsweredSince  []Trait `json:"answered_since,omitempty"`
}

// Evidence returns all evidence, in no particular order.
func (l *Ledger) Evidence(now time.Time) []Crash {
	out := make([]Crash, 0, len(l.crashes))
	for id, c := range l.crashes {
		notBegun, unfinished := c.suspects[NotBegun], c.suspects[Begun]
		out = append(out, Crash{
			Upstream: id, AgeMillis: now.Sub(c.at).Milliseconds(),
			Suspects: notBegun.evidence(nil), Begun: unfinished.evidence(notBegun.requests),
		})
	}
	return out
}

// evidence returns the evidence on the suspects without some of the requests.
func (s *suspects) evidence(without map[string]Request) Suspects {
	e := Suspects{AnsweredBefore: sortedTraits(s.answeredBefore), AnsweredSince: sortedTraits(s.answeredSince)}
	for key, r := range s.requests {
		if _, ok := without[key]; !ok {
			e.Requests = append(e.Requests, r)
		}
	}
	return e
}

// Merge adds the evidence of another process and reports whether some of it is new.
func (l *Ledger) Merge(evidence []Crash, now time.Time) bool {
	changed := false
	for _, e := range evidence {
		age := time.Duration(e.AgeMillis) * time.Millisecond
		if age > EvidenceTTL {
			continue
		}
		for p, of := range []Suspects{NotBegun: e.Suspects, Begun: e.Begun} {
			changed = l.add(e.Upstream, now.Add(-age), Progress(p), of.Requests) || changed
			s := l.crashes[e.Upstream].suspects[p]
			changed = addTraits(s.answeredBefore, of.AnsweredBefore) || changed
			changed = addTraits(s.answeredSince, of.AnsweredSince) || changed
		}
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
		for p, s := range c.suspects {
			prefix := id + " " + strconv.Itoa(p) + " "
			for key := range s.requests {
				lines = append(lines, prefix+key)
			}
			for _, t := range sortedTraits(s.answeredBefore) {
				lines = append(lines, prefix+"before "+string(t))
			}
			for _, t := range sortedTraits(s.answeredSince) {
				lines = append(lines, prefix+"since "+string(t))
			}
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
