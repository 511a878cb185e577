package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func upstreams(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{IDHash: Score(uint64(i), 7), Limit: 32, ServiceMillis: 200, Distance: Distance(i % 2)}
	}
	return out
}

func TestChoose(t *testing.T) {
	idle := Candidate{Limit: 8, Distance: SameRegion}
	busy := Candidate{Limit: 8, Running: 7, Distance: SameRegion}
	far := Candidate{Limit: 8, Distance: OtherRegion}
	near := Candidate{Limit: 8, Distance: SameZone}
	excluded := func(c Candidate) Candidate { c.Excluded = true; return c }
	tried := func(c Candidate) Candidate { c.Tried = true; return c }
	own := func(c Candidate, own, reported int32) Candidate {
		c.OwnInProgress, c.OwnReported = own, reported
		return c
	}
	old := func(c Candidate) Candidate { c.ReportedAt = -ReportTTL; return c }
	cached := func(c Candidate, n int32) Candidate { c.CachedBlocks = n; return c }
	cases := []struct {
		name string
		req  Request
		list []Candidate
		want int
	}{
		{"none", Request{}, nil, -1},
		{"all excluded", Request{}, []Candidate{excluded(idle), excluded(near)}, -1},
		{"least load", Request{}, []Candidate{busy, idle}, 1},
		{"own zone at equal load", Request{}, []Candidate{idle, near}, 1},
		{"own region even when busy", Request{}, []Candidate{far, busy}, 1},
		{"no other region after an attempt in the own one", Request{}, []Candidate{far, tried(busy)}, -1},
		{"other region when the own one has none left", Request{}, []Candidate{far, excluded(idle)}, 0},
		{"own attempts count before a report", Request{}, []Candidate{own(idle, 5, 0), own(idle, 3, 3)}, 1},
		{"an unreported attempt counts for each entry", Request{Entries: 9}, []Candidate{own(idle, 1, 0), own(idle, 5, 5)}, 1},
		{"an expired report excludes", Request{Now: ReportTTL + 1}, []Candidate{near, {Limit: 8, Running: 7, ReportedAt: 1}}, 1},
		{"an expired report when none is fresh", Request{Now: 2 * ReportTTL}, []Candidate{excluded(near), idle}, 1},
		{"a fresh report of another region first", Request{Now: 2 * ReportTTL}, []Candidate{idle, {Limit: 8, Distance: OtherRegion, ReportedAt: 2 * ReportTTL}}, 1},
		{"an old report of an idle upstream attracts less", Request{}, []Candidate{old(idle), {Limit: 8, Running: 1}, busy}, 1},
		{"the cached prefix attracts", Request{PromptBlocks: 20}, []Candidate{near, cached(idle, 20)}, 1},
		{"a hot prefix spreads", Request{PromptBlocks: 20}, []Candidate{cached(busy, 20), idle, idle}, 1},
		{"a full upstream ranks last", Request{PromptBlocks: 90}, []Candidate{cached(Candidate{Limit: 2, Running: 2}, 90), busy}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(Choose(c.req, c.list), c.want)
		})
	}
}

// A cold upstream must get requests at light load so that it warms up, but not from all entries
// at the same time.
func TestColdUpstreamWarmsUpWithoutHerd(t *testing.T) {
	is := is.New(t)
	cold := Candidate{IDHash: 77, Limit: 2, Cold: true}
	warm := Candidate{IDHash: 78, Limit: 32, Running: 3}
	const entries, slots = 9, 400
	sent, maxPerSlot := 0, 0
	for slot := range slots {
		now := time.Duration(slot) * turnLength
		cold.ReportedAt, warm.ReportedAt = now, now
		chosen := 0
		for e := range uint64(entries) {
			candidate := cold
			for start := range 20 {
				r := Request{Now: now, EntryHash: Score(e, 1), Entries: entries, TieOffset: start}
				if Choose(r, []Candidate{candidate, warm}) == 0 {
					candidate.OwnInProgress++
					chosen++
				}
			}
		}
		sent += chosen
		maxPerSlot = max(maxPerSlot, chosen)
	}
	is.True(sent > slots)         // at least one request per time slot
	is.True(sent < 3*slots)       // about its limit of two, not one from each entry
	is.True(maxPerSlot < entries) // never one from each entry in the same slot
}

// Requests with the same uncached prefix go to one upstream; different prefixes are spread over
// the upstreams.
func TestRendezvousSpreadsPrefixes(t *testing.T) {
	is := is.New(t)
	list := upstreams(16)
	chosen := map[int]int{}
	for p := range uint64(400) {
		r := Request{PrefixHash: Score(p, 99), PromptBlocks: 10}
		first := Choose(r, list)
		r.TieOffset = 5
		is.Equal(Choose(r, list), first)
		chosen[first]++
	}
	is.True(len(chosen) >= 8) // every upstream of the own zone owns some prefix
}

func TestChooseAllocatesNothing(t *testing.T) {
	list := upstreams(200)
	r := Request{Entries: 9, PrefixHash: 5, PromptBlocks: 10}
	is.New(t).Equal(testing.AllocsPerRun(100, func() { Choose(r, list) }), 0.0)
}

func BenchmarkChoose200(b *testing.B) {
	list := upstreams(200)
	for i := range list {
		list[i].Running = int32(i % 20)
		list[i].ReportedAt = -time.Duration(i) * time.Millisecond
	}
	r := Request{Entries: 9, PrefixHash: 5, PromptBlocks: 10}
	b.ReportAllocs()
	for b.Loop() {
		r.TieOffset++
		Choose(r, list)
	}
}
