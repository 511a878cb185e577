package idempotency

import (
	"cmp"
	"crypto/sha256"
	"encoding/base64"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Partitions is the number of documents over which the keys are spread.
const Partitions = 16

// keyHashBytes is the length of the hash that stands for a key.
const keyHashBytes = 16

// Key stands for the idempotency key of one organisation.
type Key string

// NewKey returns the Key of an organisation's idempotency key.
func NewKey(organisation, key string) Key {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(organisation)) + ":" + organisation + key))
	return Key(base64.RawURLEncoding.EncodeToString(sum[:keyHashBytes]))
}

// Partition returns the partition of k.
func (k Key) Partition() int { return int(xxhash.Sum64String(string(k)) % Partitions) }

// Fingerprint returns a hash over the parts of a request.
func Fingerprint(parts ...[]byte) uint64 {
	h := xxhash.New()
	for _, p := range parts {
		// A hash never returns an error from Write.
		_, _ = h.WriteString(strconv.Itoa(len(p)) + ":")
		_, _ = h.Write(p)
	}
	return h.Sum64()
}

// Homes returns the names in the order in which they are the home of a partition, by
// rendezvous hash: entries that know the same names agree, and a name that comes or
// goes moves only its own partitions.
func Homes(partition int, names []string) []string {
	out := slices.Clone(names)
	score := func(name string) uint64 { return xxhash.Sum64String(name + "/" + strconv.Itoa(partition)) }
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(score(b), score(a)) })
	return out
}
