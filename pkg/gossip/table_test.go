package gossip

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/roster"
)

var start = time.Unix(1_700_000_000, 0)

func entry(i int) roster.Entry {
	name := fmt.Sprintf("edge-%02d", i)
	return roster.Entry{Name: name, Incarnation: "1", PeerAddress: name + ":7340", CallerAddress: name + ":8080"}
}

// newTables returns the tables of n gateways that know each other.
func newTables(n int, now time.Time) []*Table {
	var tables []*Table
	var records []Record
	for i := range n {
		t := NewTable(entry(i), now)
		t.SetReady(true)
		tables, records = append(tables, t), append(records, t.Self())
	}
	for _, t := range tables {
		t.Merge("", records, now)
		t.Tick(now)
	}
	return tables
}

// exchange is a heartbeat from a to b and its response.
func exchange(a, b *Table, now time.Time) {
	send := func(from, to *Table) {
		records := from.RecordsFor(to.Self().Name)
		to.Merge(from.Self().Name, records, now)
		to.Heard(from.Self().Name, now)
		to.CompareDigest(from.Self().Name, from.Digest())
		from.Delivered(to.Self().Name, records)
	}
	send(a, b)
	send(b, a)
}

// find returns the table of the gateway with a name.
func find(tables []*Table, name string) *Table {
	i := slices.IndexFunc(tables, func(t *Table) bool { return t.Self().Name == name })
	return tables[i]
}

// A gateway with too few neighbours on either side would be cut off by the end of one, and one with many would
// send too much.
func TestEachGatewayHasThreeOnEachSide(t *testing.T) {
	is := is.New(t)
	tables := newTables(60, start)
	watchers := map[string]int{}
	for _, table := range tables {
		targets := table.Tick(start)
		is.True(len(targets) >= 2 && len(targets) <= Rings)
		for _, target := range targets {
			watchers[target.Name]++
		}
	}
	for _, table := range tables {
		is.True(watchers[table.Self().Name] >= 2 && watchers[table.Self().Name] <= Rings)
	}
}

// A gateway that was only slow was marked as down for good: it must take the mark back, everywhere.
func TestWrongMarkIsContradicted(t *testing.T) {
	is := is.New(t)
	tables := newTables(3, start)
	later := start.Add(SilentAfter)
	a := tables[0]
	suspect := a.Suspects(later)[0].Record
	b := find(tables, suspect.Name)
	c := tables[slices.IndexFunc(tables, func(t *Table) bool { return t != a && t != b })]
	others := []string{a.Self().Name, c.Self().Name}
	slices.Sort(others)
	is.True(a.MarkDown(suspect, later))
	is.Equal(a.Live(), others)
	exchange(a, c, later) // which has not looked itself
	is.Equal(c.Live(), others)
	is.True(!c.Heard(b.Self().Name, later)) // b is to be told
	exchange(c, b, later)
	exchange(c, b, later)
	exchange(c, a, later)
	is.Equal(a.Live(), []string{"edge-00", "edge-01", "edge-02"})
	is.Equal(c.Live(), []string{"edge-00", "edge-01", "edge-02"})
}

// A suspect that tells of itself, or that is heard while the witnesses are asked, must not be marked any more.
func TestSuspectThatIsHeardIsNotMarked(t *testing.T) {
	is := is.New(t)
	tables := newTables(2, start)
	a, b := tables[0], tables[1]
	later := start.Add(SilentAfter)
	s := a.Suspects(later)[0]
	a.Heard(b.Self().Name, later)
	is.True(!a.MarkDown(s.Record, later))
	b.SetReady(false)
	exchange(b, a, later)
	is.True(!a.MarkDown(s.Record, later.Add(SilentAfter)))
}

// A process that was frozen took all others for dead when it woke.
func TestFrozenGatewaySuspectsNobodyWhenItWakes(t *testing.T) {
	is := is.New(t)
	a := newTables(20, start)[0]
	woken := start.Add(10 * time.Second)
	a.Tick(woken)
	is.Equal(len(a.Suspects(woken)), 0)
	is.True(len(a.Suspects(woken.Add(SilentAfter))) > 0)
}

// Gateways that are cut off may still use a part of shared limits; one that told that it stops does not.
func TestGatewaysThatAreDownCountForSomeTime(t *testing.T) {
	is := is.New(t)
	tables := newTables(3, start)
	a := tables[0]
	leaving := tables[2].Self()
	leaving.Sequence++
	leaving.Status = Unready
	a.Merge("edge-02", []Record{leaving}, start)
	for _, r := range []Record{tables[1].Self(), leaving} {
		r.Status = Down
		a.Merge("edge-09", []Record{r}, start)
	}
	is.Equal(a.Recent(start), 3)
	is.Equal(a.Recent(start.Add(RecentTime)), 1)
	is.Equal(a.Known(start.Add(RecentTime)), 2)
	is.Equal(a.Known(start.Add(ForgetAfter)), 1)
}

// Whatever is lost or comes in another order, tables must be equal once all neighbours have exchanged heartbeats often
// enough.
func TestTablesBecomeEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "gateways")
		tables := newTables(n, start)
		now := start
		index := rapid.IntRange(0, n-1)
		for range rapid.IntRange(0, 40).Draw(t, "events") {
			now = now.Add(10 * time.Millisecond)
			a, b := tables[index.Draw(t, "a")], tables[index.Draw(t, "b")]
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				a.SetReady(!(a.Self().Status == Ready))
			case 1: // a message that is lost on its way
				a.Delivered(b.Self().Name, a.RecordsFor(b.Self().Name))
			case 2:
				if a != b {
					a.put(Record{Entry: b.Self().Entry, Sequence: b.Self().Sequence, Status: Down}, now)
				}
			default:
				if a != b {
					exchange(a, b, now)
				}
			}
		}
		for range 4 * resyncAfter * n {
			now = now.Add(500 * time.Millisecond)
			for _, a := range tables {
				for _, target := range a.Tick(now) {
					exchange(a, find(tables, target.Name), now)
				}
			}
		}
		for _, a := range tables {
			if a.Digest() != tables[0].Digest() || len(a.Live()) != n {
				t.Fatalf("tables differ: %v and %v", a.Live(), tables[0].Live())
			}
		}
	})
}
