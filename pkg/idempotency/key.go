package idempotency

import (
	"cmp"
	"crypto/sha256"
	"encoding/base64"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// PartitionCount is the number of documents over which keys are spread.
const PartitionCount = 16

// keyHashBytes is the length of the hash that identifies a key, before encoding.
const keyHashBytes = 16

// Key identifies the idempotency key of one organisation.
type Key string

// NewKey returns the Key for an idempotency key of an organisation.
func NewKey(organisation, key string) Key {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(organisation)) + ":" + organisation + key))
	return Key(base64.RawURLEncoding.EncodeToString(sum[:keyHashBytes]))
}

// Partition returns the index of the partition of k.
func (k Key) Partition() int { return int(xxhash.Sum64String(string(k)) % PartitionCount) }

// Fingerprint returns a hash of the parts of a request.
func Fingerprint(parts ...[]byte) uint64 {
	h := xxhash.New()
	for _, p := range parts {
		// Write of a hash never returns an error.
		_, _ = h.WriteString(strconv.Itoa(len(p)) + ":")
		_, _ = h.Write(p)
	}
	return h.Sum64()
}

// CoordinatorOrder returns names ordered by preference as coordinator of a partition, by rendezvous
// hashing. Entries that know the same names agree on the order, and a name that is added or
// removed moves only its own partitions.
func CoordinatorOrder(partition int, names []string) []string {
	out := slices.Clone(names)
	score := func(name string) uint64 { return xxhash.Sum64String(name + "/" + strconv.Itoa(partition)) }
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(score(b), score(a)) })
	return out
}
