package directory

import "math/rand/v2"

// Entry is the state of one entry as known to the entry that responds.
type Entry struct {
	Address string
	// InRegion is set when the entry is in the same region as the entry that responds.
	InRegion bool
	// Leaving is set once the entry is stopping or its instance is listed as leaving.
	Leaving bool
	// Usable is cleared while the entry does not respond or its availability zone is taken out.
	Usable bool
}

// Response is the response to a caller that resolves the entry addresses.
type Response struct {
	// Addresses are host:port pairs, the preferred one first.
	Addresses []string `json:"addresses"`
	// TTLSeconds is how long the caller may cache the response.
	TTLSeconds int `json:"ttl_seconds"`
}

// grade ranks entries by suitability; lower is better.
type grade int

const (
	usableNear grade = iota
	usableFar
	// unconfirmed entries did not respond when last probed, but may have recovered since.
	unconfirmed
	leaving
	grades
)

func (e *Entry) grade() grade {
	switch {
	case e.Leaving:
		return leaving
	case e.Usable && e.InRegion:
		return usableNear
	case e.Usable:
		return usableFar
	}
	return unconfirmed
}

// NewResponse returns a response with the addresses of all entries of the best available grade,
// in random order. Unsuitable entries are listed when there are no better ones, because a caller
// without an address cannot be served at all.
func NewResponse(entries []Entry, ttlSeconds int, r *rand.Rand) Response {
	a := Response{TTLSeconds: ttlSeconds}
	for g := usableNear; g < grades && len(a.Addresses) == 0; g++ {
		a.Addresses = addressesOfGrade(entries, g)
	}
	r.Shuffle(len(a.Addresses), func(i, j int) {
		a.Addresses[i], a.Addresses[j] = a.Addresses[j], a.Addresses[i]
	})
	return a
}

// addressesOfGrade returns the addresses of the entries of one grade.
func addressesOfGrade(entries []Entry, g grade) []string {
	out := []string{}
	for i := range entries {
		if entries[i].grade() == g {
			out = append(out, entries[i].Address)
		}
	}
	return out
}
