// Package fixedseed sets a fixed seed for the property tests of a package that imports it, so
// that each run tests the same cases. The flag -rapid.seed of the test command overrides it.
package fixedseed

import (
	"flag"
	"strconv"

	// The import registers the flags before init sets them.
	_ "pgregory.net/rapid"
)

// Seed is the seed of all property tests.
const Seed = "20261203"

func init() {
	setFlag("rapid.seed", Seed)
	setFlag("rapid.nofailfile", "true")
}

// SetChecks sets the number of cases of each property test of the package. It must be called
// from an init function, so that the flag -rapid.checks of the test command overrides it.
func SetChecks(n int) { setFlag("rapid.checks", strconv.Itoa(n)) }

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
