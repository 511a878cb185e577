package requestlimit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

var (
	begin    = time.Unix(1000, 0)
	upstream = Upstream{ID: "i-1", StartedAtMillis: 7}
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[Statement](t, `{"upstream":{"id":"text3","started_at_ms":4},"per_second":5.5,"lifted":true,"age_ms":7.5}`)
}

// An answer that was on its way when the upstream named its limit ended that limit.
func TestLimitEndsOnlyWithTheAnswerToALaterRequest(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	is.True(b.RecordLimit(upstream, 2, begin))
	is.True(!b.RecordNoLimit(upstream, begin.Add(-time.Second), begin.Add(time.Second)))
	_, limited := b.Limit(upstream)
	is.True(limited)
	is.True(b.RecordNoLimit(upstream, begin.Add(time.Millisecond), begin.Add(time.Second)))
	_, limited = b.Limit(upstream)
	is.True(!limited)
	is.True(b.RecordLimit(upstream, 3, begin.Add(2*time.Second))) // it names one again
}

// The limit of a former incarnation held for the one after it.
func TestLimitsBelongToAnIncarnation(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	b.RecordLimit(upstream, 2, begin)
	_, limited := b.Limit(Upstream{ID: upstream.ID, StartedAtMillis: 8})
	is.True(!limited)
}

// Statements cross on their way: an old limit came back after it was lifted.
func TestOlderStatementsDoNotReplaceNewerOnes(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	now := begin.Add(time.Minute)
	b.Merge([]Statement{{Upstream: upstream, Lifted: true, AgeMillis: 100}}, now)
	b.Merge([]Statement{{Upstream: upstream, PerSecond: 2, AgeMillis: 200}}, now)
	_, limited := b.Limit(upstream)
	is.True(!limited)
	is.Equal(len(b.Merge([]Statement{{Upstream: upstream, PerSecond: 2, AgeMillis: 50}}, now)), 1) // it begins again
	is.Equal(len(b.Merge([]Statement{{Upstream: upstream, PerSecond: 2, AgeMillis: 40}}, now)), 0)
	perSecond, limited := b.Limit(upstream)
	is.True(limited)
	is.Equal(perSecond, 2.0)
	s, ok := b.Statement(upstream, now.Add(time.Second))
	is.True(ok)
	is.Equal(s.AgeMillis, 1040.0)
}

// Statements of upstreams that left stayed for good; one that arrives before the list does is kept.
func TestPruneForgetsWhatIsNoLongerListed(t *testing.T) {
	is := is.New(t)
	b := NewBook()
	none := func(Upstream) bool { return false }
	all := func(Upstream) bool { return true }
	b.RecordLimit(upstream, 2, begin)
	b.Prune(none, begin.Add(time.Second))
	b.Prune(all, begin.Add(time.Hour))
	_, limited := b.Limit(upstream)
	is.True(limited)
	b.Prune(none, begin.Add(time.Hour))
	is.Equal(len(b.Statements(begin)), 0)
}

// Gateways that are cut off from each other granted the whole limit each.
func TestPartsOfTheGatewaysShareTheLimit(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
	for all := 1; all <= len(names); all++ {
		for part := 1; part < all; part++ {
			recent := View{Live: names[:part], Recent: all, Known: all}.Share() + View{Live: names[part:all], Recent: all, Known: all}.Share()
			is.True(recent < 1.0001)
			late := View{Live: names[:part], Recent: part, Known: all}.Share() + View{Live: names[part:all], Recent: all - part, Known: all}.Share()
			is.True(late < 1.5)
		}
	}
	is.Equal(View{Live: names[:5], Recent: 5, Known: 9}.Share(), 1.0) // what the limit allows is used
}

// A gateway that had become coordinator granted requests while others still asked the one before it.
func TestNewCoordinatorWaitsAndStartsEmpty(t *testing.T) {
	is := is.New(t)
	g := NewGranter("a", begin)
	d := g.Grant(upstream, 2, begin)
	is.True(!d.Granted)
	is.Equal(d.Wait, SettleTime)
	settled := begin.Add(SettleTime)
	is.True(!g.Grant(upstream, 2, settled).Granted)
	is.True(g.Grant(upstream, 2, settled.Add(500*time.Millisecond)).Granted)

	other := "b"
	for (View{Live: []string{"a", other}}).Coordinator(upstream) == "a" {
		other += "b"
	}
	g.SetView(View{Live: []string{"a", other}, Recent: 2, Known: 2}, settled)
	is.True(!g.Grant(upstream, 2, settled.Add(time.Hour)).Granted)
	g.SetView(View{Live: []string{"a"}, Recent: 2, Known: 2}, settled.Add(time.Hour))
	is.True(!g.Grant(upstream, 2, settled.Add(time.Hour+time.Second)).Granted)
}

// A limit of 0 could never end: no request was left to show it.
func TestLimitOfZeroLetsARequestThroughNowAndThen(t *testing.T) {
	is := is.New(t)
	g := NewGranter("a", begin)
	granted := 0
	for at := time.Duration(0); at < time.Minute; at += 10 * time.Millisecond {
		if g.Grant(upstream, 0, begin.Add(at)).Granted {
			granted++
		}
	}
	is.True(granted >= 13 && granted <= 16)
}
