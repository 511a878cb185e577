package requestlimit

import "time"

// Upstream identifies one incarnation of an upstream.
type Upstream struct {
	ID string `json:"id"`
	// StartedAtMillis is its start, in Unix milliseconds on its own clock; 0 is unknown.
	StartedAtMillis int64 `json:"started_at_ms,omitempty"`
}

// Statement is what an upstream last said about its limit, as gateways exchange it.
type Statement struct {
	Upstream Upstream `json:"upstream"`
	// PerSecond is the limit in requests per second. It is of no meaning if Lifted is set.
	PerSecond float64 `json:"per_second"`
	// Lifted is set if the upstream no longer names a limit.
	Lifted bool `json:"lifted,omitempty"`
	// AgeMillis is the time since a gateway heard it, in milliseconds.
	AgeMillis float64 `json:"age_ms"`
}

// unlistedTTL is how long a statement is kept that is not confirmed by the list of upstreams, or that says that
// the limit was lifted: older statements of others may still be on their way.
const unlistedTTL = 10 * time.Second

const (
	// maxStatements is the number of upstreams of which statements of other gateways are kept, and maxIDBytes the length of
	// their IDs.
	maxStatements = 16_384
	maxIDBytes    = 256
)

// statement is a Statement with the time at which it was heard.
type statement struct {
	perSecond float64
	lifted    bool
	at        time.Time
}

// Book has the newest statement of each upstream. It is not safe for concurrent use.
type Book struct {
	statements map[Upstream]statement
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{statements: map[Upstream]statement{}} }

// RecordLimit records an answer that names a limit in requests per second. It reports whether the
// upstream named none before.
func (b *Book) RecordLimit(u Upstream, perSecond float64, now time.Time) (isNew bool) {
	before, known := b.statements[u]
	b.statements[u] = statement{perSecond: perSecond, at: now}
	return !known || before.lifted
}

// RecordNoLimit records an answer without a limit to a request sent at a time. It reports whether that lifts
// a limit.
func (b *Book) RecordNoLimit(u Upstream, sentAt, now time.Time) (lifted bool) {
	s, known := b.statements[u]
	if !known || s.lifted || !sentAt.After(s.at) {
		return false
	}
	b.statements[u] = statement{lifted: true, at: now}
	return true
}

// Merge adds the statements of another gateway that are newer than those here. It returns those that begin
// or end a limit here.
func (b *Book) Merge(statements []Statement, now time.Time) (changed []Statement) {
	for _, s := range statements {
		at := now.Add(-time.Duration(s.AgeMillis * float64(time.Millisecond)))
		known, ok := b.statements[s.Upstream]
		if ok && !at.After(known.at) {
			continue
		}
		if !ok && (len(b.statements) >= maxStatements || len(s.Upstream.ID) > maxIDBytes) {
			continue
		}
		b.statements[s.Upstream] = statement{perSecond: s.PerSecond, lifted: s.Lifted, at: at}
		if wasLimited := ok && !known.lifted; wasLimited == s.Lifted {
			changed = append(changed, s)
		}
	}
	return changed
}

// Statement returns the newest statement of an upstream, and false if there is none.
func (b *Book) Statement(u Upstream, now time.Time) (Statement, bool) {
	s, ok := b.statements[u]
	if !ok {
		return Statement{}, false
	}
	return Statement{
		Upstream: u, PerSecond: s.perSecond, Lifted: s.lifted,
		AgeMillis: float64(now.Sub(s.at)) / float64(time.Millisecond),
	}, true
}

// Statements returns all statements, in no particular order.
func (b *Book) Statements(now time.Time) []Statement {
	var out []Statement
	for u := range b.statements {
		s, _ := b.Statement(u, now)
		out = append(out, s)
	}
	return out
}

// Limit returns the limit of an upstream in requests per second, and false if it has none.
func (b *Book) Limit(u Upstream) (perSecond float64, limited bool) {
	s, ok := b.statements[u]
	return s.perSecond, ok && !s.lifted
}

// Prune forgets lifted limits, and upstreams that are no longer listed, after some time.
func (b *Book) Prune(isListed func(Upstream) bool, now time.Time) {
	for u, s := range b.statements {
		if (s.lifted || !isListed(u)) && now.Sub(s.at) > unlistedTTL {
			delete(b.statements, u)
		}
	}
}
