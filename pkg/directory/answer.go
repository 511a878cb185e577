package directory

import "math/rand/v2"

// Entry is one entry as known to the answering entry.
type Entry struct {
	Address string
	// Near is set when the entry is in the region of the answering entry.
	Near bool
	// Leaving is set once the entry stops or its instance is listed as leaving.
	Leaving bool
	// Usable is cleared while the entry does not answer or its zone is out.
	Usable bool
}

// Answer is what a caller receives.
type Answer struct {
	// Addresses are host:port pairs, the preferred one first.
	Addresses []string `json:"addresses"`
	// TTLSeconds is the life of the answer.
	TTLSeconds int `json:"ttl_seconds"`
}

// grade orders entries by how well they suit; lower is better.
type grade int

const (
	usableNear grade = iota
	usableFar
	// doubtful entries may have come back since they last answered.
	doubtful
	leaving
	grades
)

func (e *Entry) grade() grade {
	switch {
	case e.Leaving:
		return leaving
	case e.Usable && e.Near:
		return usableNear
	case e.Usable:
		return usableFar
	}
	return doubtful
}

// New returns the answer made of the entries of the best grade that any entry has: a
// caller without addresses cannot be served at all.
func New(entries []Entry, ttlSeconds int, r *rand.Rand) Answer {
	a := Answer{TTLSeconds: ttlSeconds}
	for g := usableNear; g < grades && len(a.Addresses) == 0; g++ {
		a.Addresses = ofGrade(entries, g)
	}
	r.Shuffle(len(a.Addresses), func(i, j int) {
		a.Addresses[i], a.Addresses[j] = a.Addresses[j], a.Addresses[i]
	})
	return a
}

func ofGrade(entries []Entry, g grade) []string {
	out := []string{}
	for i := range entries {
		if entries[i].grade() == g {
			out = append(out, entries[i].Address)
		}
	}
	return out
}
