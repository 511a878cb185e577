package steward

import (
	"encoding/binary"
	"errors"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// packedInts is a sequence of numbers that are not negative, encoded as unsigned varints.
type packedInts []byte

func packInts(numbers ...int64) packedInts {
	var out packedInts
	for _, n := range numbers {
		out = binary.AppendUvarint(out, uint64(n))
	}
	return out
}

// unpack decodes the numbers up to the first that is malformed.
func (p packedInts) unpack() []int64 {
	out := make([]int64, 0, len(p))
	for len(p) > 0 {
		v, n := binary.Uvarint(p)
		if n <= 0 {
			return out
		}
		out = append(out, int64(v))
		p = p[n:]
	}
	return out
}

// packMap packs an expert map: the number of ranks and the number of slots of each of them in a layer, and then
// each slot of each rank in each layer: 0 if it is empty, and otherwise the expert plus one. An empty map packs to
// nothing.
func packMap(m mapswitch.Map) packedInts {
	ranks, slots := 0, 0
	for _, layer := range m {
		ranks = max(ranks, len(layer))
		for _, experts := range layer {
			slots = max(slots, len(experts))
		}
	}
	if ranks == 0 {
		return nil
	}
	numbers := []int64{int64(ranks), int64(slots)}
	for _, layer := range m {
		for r := range ranks {
			for k := range slots {
				slot := int64(0)
				if r < len(layer) && k < len(layer[r]) {
					slot = int64(layer[r][k]) + 1
				}
				numbers = append(numbers, slot)
			}
		}
	}
	return packInts(numbers...)
}

var errMalformedMap = errors.New("the packed map is malformed")

// unpackMap returns the map that packMap packed, nil for nothing.
func unpackMap(p packedInts) (mapswitch.Map, error) {
	numbers := p.unpack()
	if len(numbers) == 0 {
		return nil, nil
	}
	const header = 2
	if len(numbers) < header || numbers[0] <= 0 || numbers[0] > int64(len(numbers)) || numbers[1] <= 0 || numbers[1] > int64(len(numbers)) {
		return nil, errMalformedMap
	}
	ranks, slots := int(numbers[0]), int(numbers[1])
	numbers = numbers[header:]
	if len(numbers) == 0 || len(numbers)%(ranks*slots) != 0 {
		return nil, errMalformedMap
	}
	m := make(mapswitch.Map, len(numbers)/(ranks*slots))
	for i := range m {
		m[i] = make([][]int, ranks)
		for r := range m[i] {
			m[i][r] = []int{}
			for _, slot := range numbers[(i*ranks+r)*slots : (i*ranks+r+1)*slots] {
				if slot > 0 {
					m[i][r] = append(m[i][r], int(slot-1))
				}
			}
		}
	}
	return m, nil
}

// slowdownUnit is the unit in which the slowdown of a rank is packed.
const slowdownUnit = 1000

// packReport packs the report of a rank without the name of its group. Each number is one higher than in the report, as
// mapswitch.None is negative.
func packReport(r platform.RankReport) packedInts {
	numbers := reportNumbers(r)
	for i := range numbers {
		numbers[i]++
	}
	return packInts(numbers...)
}

func reportNumbers(r platform.RankReport) []int64 {
	return []int64{
		int64(r.Index), int64(r.Size), int64(r.Running), int64(r.Queued), int64(r.Slowdown * slowdownUnit), r.StartedAtMillis,
		boolInt(r.State.Known), boolInt(r.State.GroupFormed), r.State.Epoch, r.State.Pass, r.State.RunningVersion, r.State.PreparedVersion,
		r.State.LoadingVersion, r.State.ArmedVersion, r.State.ArmedPass, r.State.HeldPass,
	}
}

func boolInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// unpackReport returns the report that packReport packed, for the name of its group. It returns false if it is
// malformed.
func unpackReport(p packedInts, group string) (platform.RankReport, bool) {
	const fields = 16
	n := p.unpack()
	for i := range n {
		n[i]--
	}
	if len(n) != fields || n[0] < 0 || n[1] < 0 {
		return platform.RankReport{}, false
	}
	return platform.RankReport{
		Group: group, Index: int(n[0]), Size: int(n[1]), Running: int(n[2]), Queued: int(n[3]), Slowdown: float64(n[4]) / slowdownUnit, StartedAtMillis: n[5],
		State: mapswitch.RankState{
			Known: n[6] == 1, GroupFormed: n[7] == 1, Epoch: n[8], Pass: n[9], RunningVersion: n[10], PreparedVersion: n[11],
			LoadingVersion: n[12], ArmedVersion: n[13], ArmedPass: n[14], HeldPass: n[15],
		},
	}, true
}

// addInts adds the numbers of b to those of a, which it may change. If their lengths differ, it returns the longer
// one unchanged.
func addInts(a, b []int64) []int64 {
	if len(a) != len(b) {
		if len(a) > len(b) {
			return a
		}
		return b
	}
	for i, n := range b {
		a[i] += n
	}
	return a
}
