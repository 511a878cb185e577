package prefix

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func lookup(x *Index, blocks []uint64, now time.Duration) map[uint64]int32 {
	var m Matches
	x.Lookup(blocks, now, &m)
	out := map[uint64]int32{}
	for _, match := range m.All() {
		out[match.Upstream] = match.Blocks
	}
	return out
}

// Guards against matches between prompts that differ in an earlier block.
func TestHashesIdentifyPrefixes(t *testing.T) {
	is := is.New(t)
	a := make([]byte, 3*BlockBytes+10)
	b := append([]byte(nil), a...)
	b[BlockBytes] = 1
	ha, hb := BlockHashes(nil, a), BlockHashes(nil, b)
	is.Equal(len(ha), 3) // the incomplete block at the end is not hashed
	is.Equal(ha[0], hb[0])
	is.True(ha[1] != hb[1])
	is.True(ha[2] != hb[2]) // the same bytes after another prefix are another block
	is.Equal(len(BlockHashes(nil, make([]byte, 1<<20))), MaxBlocks)
}

// Guards against matches on blocks that an upstream never cached, removed, lost in a restart or
// may have removed during a gap.
func TestIndex(t *testing.T) {
	prompt := []uint64{11, 12, 13}
	second := time.Second
	cases := []struct {
		name  string
		setup func(x *Index)
		at    time.Duration
		want  map[uint64]int32
	}{
		{"unknown", func(*Index) {}, 0, map[uint64]int32{}},
		{"recorded from own attempts", func(x *Index) { x.RecordCached(1, prompt, 0) }, second, map[uint64]int32{1: 3}},
		{"prefix only", func(x *Index) { x.RecordCached(1, prompt[:2], 0); x.RecordCached(2, prompt, 0) }, second, map[uint64]int32{1: 2, 2: 3}},
		{"a missing block ends the match", func(x *Index) { x.RecordCached(1, []uint64{11, 13}, 0) }, second, map[uint64]int32{1: 1}},
		{"events", func(x *Index) { x.Apply(1, Events{First: 0, Next: 3, Stored: prompt}, 0) }, second, map[uint64]int32{1: 3}},
		{"removed", func(x *Index) {
			x.Apply(1, Events{First: 0, Next: 3, Stored: prompt}, 0)
			x.Apply(1, Events{First: 3, Next: 4, Removed: prompt[1:2]}, 0)
		}, second, map[uint64]int32{1: 1}},
		{"duplicated events change nothing", func(x *Index) {
			x.Apply(1, Events{First: 0, Next: 3, Stored: prompt}, 0)
			x.Apply(1, Events{First: 3, Next: 4, Removed: prompt}, 0)
			x.Apply(1, Events{First: 0, Next: 3, Stored: prompt}, 0)
		}, second, map[uint64]int32{}},
		{"valid shortly after a gap", func(x *Index) {
			x.Apply(1, Events{First: 0, Next: 3, Stored: prompt}, 0)
			x.Apply(1, Events{First: 9, Next: 10, Stored: []uint64{99}}, second)
		}, second + GapGracePeriod, map[uint64]int32{1: 3}},
		{"ignored long after a gap", func(x *Index) {
			x.Apply(1, Events{First: 0, Next: 3, Stored: prompt}, 0)
			x.Apply(1, Events{First: 9, Next: 10, Stored: []uint64{99}}, second)
		}, second + GapGracePeriod + 1, map[uint64]int32{}},
		{"a new incarnation", func(x *Index) {
			x.Apply(1, Events{First: 0, Next: 3, Stored: prompt}, 0)
			x.Apply(1, Events{First: 0, Next: 1, Stored: prompt[:1], Cleared: true}, second)
		}, 2 * second, map[uint64]int32{1: 1}},
		{"invalidated", func(x *Index) { x.RecordCached(1, prompt, 0); x.Invalidate(1, second) }, 2 * second, map[uint64]int32{}},
		{"too old", func(x *Index) { x.RecordCached(1, prompt, 0) }, RecordTTL + 1, map[uint64]int32{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := New(100)
			c.setup(x)
			is.New(t).Equal(lookup(x, prompt, c.at), c.want)
		})
	}
}

// Guards against an index that grows beyond its size.
func TestIndexIsBounded(t *testing.T) {
	is := is.New(t)
	x := New(100)
	r := rand.New(rand.NewPCG(1, 2))
	for range 10_000 {
		x.RecordCached(r.Uint64N(50)+1, []uint64{r.Uint64N(1000)}, 0)
		is.True(x.Len() <= 100)
	}
}

func BenchmarkLookup(b *testing.B) {
	x := New(1 << 16)
	blocks := make([]uint64, MaxBlocks)
	for i := range blocks {
		blocks[i] = uint64(i) * 7919
	}
	for u := range uint64(MaxUpstreamsPerBlock) {
		x.RecordCached(u+1, blocks, 0)
	}
	var m Matches
	b.ReportAllocs()
	for b.Loop() {
		x.Lookup(blocks, 0, &m)
	}
}
