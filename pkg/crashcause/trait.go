package crashcause

import (
	"slices"
	"strings"
)

// Trait is what requests that crash upstreams may have in common. Its text is a valid name of an object
// in the store.
type Trait string

const (
	partPrefix    = "part-"
	requestPrefix = "request-"
)

// isPart reports whether the trait is a part of prompts.
func (t Trait) isPart() bool { return strings.HasPrefix(string(t), partPrefix) }

// Conviction is a set of traits: requests that have all of them crash upstreams. Its text is a valid name
// of an object in the store.
type Conviction string

const traitSeparator = "+"

// newConviction returns the conviction of requests that have all of the traits.
func newConviction(traits []Trait) Conviction {
	texts := make([]string, 0, len(traits))
	for _, t := range traits {
		texts = append(texts, string(t))
	}
	slices.Sort(texts)
	return Conviction(strings.Join(texts, traitSeparator))
}

// covers reports whether a request with these traits has all of the conviction.
func (c Conviction) covers(traits map[Trait]bool) bool {
	for _, t := range strings.Split(string(c), traitSeparator) {
		if !traits[Trait(t)] {
			return false
		}
	}
	return true
}

// Request has the traits of a request.
type Request struct {
	// Fingerprint identifies the content of the request, empty if not known.
	Fingerprint string `json:"fingerprint,omitempty"`
	// Parts are the IDs of the shared parts of its prompt, in order.
	Parts []string `json:"parts,omitempty"`
}

// partTraits returns the traits of the parts of the prompt.
func (r Request) partTraits() []Trait {
	traits := make([]Trait, 0, len(r.Parts)+1)
	for _, part := range r.Parts {
		traits = append(traits, Trait(partPrefix+part))
	}
	return traits
}

// traits returns all traits of the request.
func (r Request) traits() map[Trait]bool {
	set := map[Trait]bool{}
	for _, t := range r.partTraits() {
		set[t] = true
	}
	if r.Fingerprint != "" {
		set[Trait(requestPrefix+r.Fingerprint)] = true
	}
	return set
}

// key identifies a request within a crash.
func (r Request) key() string { return r.Fingerprint + "/" + strings.Join(r.Parts, ",") }

// Progress is how far the answer to a request has come.
type Progress int

const (
	// NotBegun means that nothing of the answer shows that the upstream survives the request. The head of
	// an answer may be sent before the work.
	NotBegun Progress = iota
	// Begun means that the first event of a stream has arrived. Answers of another kind are NotBegun until
	// they are Whole.
	Begun
	// Whole means that one upstream has produced the answer from its beginning to its end.
	Whole
)
