package crashcause

import "strings"

// Trait is what requests that crash upstreams may have in common. Its text is a valid name of an object
// in the store.
type Trait string

const (
	partPrefix    = "part-"
	requestPrefix = "request-"
)

// Request has the traits of a request.
type Request struct {
	// Fingerprint identifies the content of the request, empty if not known.
	Fingerprint string `json:"fingerprint,omitempty"`
	// Parts are the IDs of the shared parts of its prompt, in order.
	Parts []string `json:"parts,omitempty"`
}

// requestDepth is the depth of the trait of a whole request, which is narrower than any part.
const requestDepth = 1 << 20

// eachTrait calls f with the traits of a request. Depth says how narrow a trait is: the deeper a part
// lies in the prompt, the fewer requests share it.
func (r Request) eachTrait(f func(t Trait, depth int)) {
	for i, part := range r.Parts {
		f(Trait(partPrefix+part), i)
	}
	if r.Fingerprint != "" {
		f(Trait(requestPrefix+r.Fingerprint), requestDepth)
	}
}

// key identifies a request within a crash.
func (r Request) key() string { return r.Fingerprint + "/" + strings.Join(r.Parts, ",") }
