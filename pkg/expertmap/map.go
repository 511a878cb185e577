package expertmap

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Ref identifies a map. The zero value identifies no map.
type Ref struct {
	// Epoch is unique within a group; a later map has a higher one.
	Epoch int64 `json:"epoch"`
	// Digest is the 64-bit hash of the map's content.
	Digest uint64 `json:"digest"`
}

// Replica is one copy of an expert's weights on a rank.
type Replica struct {
	// Expert is the index of the expert in its layer.
	Expert int `json:"e"`
	// Share is the fraction of the expert's tokens that are routed to this copy, from 0 to 1.
	// The shares of all copies of an expert add up to 1.
	Share float32 `json:"s"`
}

// Layer is the placement of one layer: the replicas on each rank, in the order of
// Map.Ranks.
type Layer struct {
	Ranks [][]Replica `json:"ranks"`
}

// Map is an expert map: the ranks of a group and the experts that each of them serves. It
// must not be changed after WithEpoch.
type Map struct {
	Ref
	// Ranks are the indices of the ranks that run the map, in ascending order. The first
	// one is the leader.
	Ranks []int `json:"ranks"`
	// Layers are the placements of the layers. It may be empty where only the ranks matter.
	Layers []Layer `json:"layers,omitempty"`
}

// WithEpoch returns a copy of the map with the epoch and with the digest of its content.
func (m Map) WithEpoch(epoch int64) *Map {
	m.Ref = Ref{Epoch: epoch, Digest: m.digest()}
	return &m
}

// IsIntact reports whether Digest matches the content of the map.
func (m *Map) IsIntact() bool { return m.Digest == m.digest() }

// Leader returns the index of the rank that leads the steps of the map.
func (m *Map) Leader() int { return m.Ranks[0] }

// HasRank reports whether the rank is one of those that run the map.
func (m *Map) HasRank(rank int) bool {
	_, found := slices.BinarySearch(m.Ranks, rank)
	return found
}

func (m *Map) digest() uint64 {
	h := xxhash.New()
	var word [8]byte
	add := func(v uint64) {
		binary.LittleEndian.PutUint64(word[:], v)
		// The Write method of a hash returns no error.
		_, _ = h.Write(word[:])
	}
	for _, r := range m.Ranks {
		add(uint64(r))
	}
	for _, l := range m.Layers {
		add(uint64(len(l.Ranks)))
		for _, replicas := range l.Ranks {
			add(uint64(len(replicas)))
			for _, p := range replicas {
				add(uint64(p.Expert))
				add(uint64(math.Float32bits(p.Share)))
			}
		}
	}
	return h.Sum64()
}
