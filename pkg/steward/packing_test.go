package steward

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// Numbers that do not fit one byte came out otherwise; bytes that end too soon must not panic.
func TestPackedInts(t *testing.T) {
	is := is.New(t)
	numbers := []int64{0, 1, 127, 128, 1 << 40}
	is.Equal(packInts(numbers...).unpack(), numbers)
	is.Equal(len(packedInts{0xff}.unpack()), 0)
}

// A map that differs on two ranks by its packing would break the rule of one map.
func TestPackedMapIsTheMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		ranks := rapid.IntRange(1, 6).Draw(t, "ranks")
		experts := rapid.SliceOfN(rapid.IntRange(0, 500), 0, 4)
		m := mapswitch.Map(rapid.SliceOfN(rapid.SliceOfN(experts, ranks, ranks), 1, 4).Draw(t, "map"))
		m[0][0] = append(m[0][0], 7) // a map without any expert is none
		got, err := unpackMap(packMap(m))
		is.NoErr(err)
		is.Equal(got, m)
	})
}

// Bytes that are no map must be rejected, and must not take memory or panic.
func TestBytesThatAreNoMapAreRejected(t *testing.T) {
	is := is.New(t)
	for _, numbers := range [][]int64{{1 << 60}, {-1}, {0, 0}, {2, 1, 5}, {1, 1 << 50}, {1, -3}, {2, 2}, {1 << 32, 1 << 32, 5}} {
		_, err := unpackMap(packInts(numbers...))
		is.True(errors.Is(err, errMalformedMap))
	}
	rapid.Check(t, func(t *rapid.T) {
		_, _ = unpackMap(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))
	})
}

// A report that a relay passes on must be the one that the rank gave.
func TestPackedReportIsTheReport(t *testing.T) {
	is := is.New(t)
	r := platform.RankReport{
		Group: "g", Index: 3, Size: 72, Running: 5, Queued: 1, Slowdown: 1.25, StartedAtMillis: 1 << 41,
		State: mapswitch.RankState{
			Known: true, GroupFormed: true, Epoch: 4, Pass: 100, RunningVersion: 1 << 40, PreparedVersion: mapswitch.None,
			LoadingVersion: mapswitch.None, ArmedVersion: 1<<40 + 1, ArmedPass: 103, HeldPass: 104,
		},
	}
	got, ok := unpackReport(packReport(r), "g")
	is.True(ok)
	is.Equal(got, r)
	_, ok = unpackReport(packInts(1, 2, 3), "g")
	is.True(!ok)
}
