package directory

import "math/rand/v2"

// Entry is one entry as known to the answering entry.
type Entry struct {
	Address string
	// Usable is cleared while the entry leaves, does not answer or its zone is out.
	Usable bool
}

// Answer is what a caller receives.
type Answer struct {
	// Addresses are host:port pairs, the preferred one first.
	Addresses []string `json:"addresses"`
	// TTLSeconds is the life of the answer.
	TTLSeconds int `json:"ttl_seconds"`
}

// New returns the answer made of the usable entries. When none is usable it lists
// all, because a caller without addresses cannot be served at all.
func New(entries []Entry, ttlSeconds int, r *rand.Rand) Answer {
	a := Answer{TTLSeconds: ttlSeconds, Addresses: pick(entries, false)}
	if len(a.Addresses) == 0 {
		a.Addresses = pick(entries, true)
	}
	r.Shuffle(len(a.Addresses), func(i, j int) {
		a.Addresses[i], a.Addresses[j] = a.Addresses[j], a.Addresses[i]
	})
	return a
}

func pick(entries []Entry, all bool) []string {
	out := make([]string, 0, len(entries))
	for _, e := range entries {
		if all || e.Usable {
			out = append(out, e.Address)
		}
	}
	return out
}
