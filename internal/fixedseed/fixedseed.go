// Package fixedseed gives the property tests of a package that imports it a fixed
// seed, so that they give the same verdict in each run. The flag -rapid.seed of the
// test command still overrides it.
package fixedseed

import (
	"flag"
	"strconv"

	// The import registers the flag before it is set here.
	_ "pgregory.net/rapid"
)

// Seed is the seed of all property tests.
const Seed = "20261203"

func init() {
	setFlag("rapid.seed", Seed)
	setFlag("rapid.nofailfile", "true")
}

// Checks sets the number of cases of each property test of the package. Call it in an
// init function; the flag -rapid.checks of the test command still overrides it.
func Checks(n int) { setFlag("rapid.checks", strconv.Itoa(n)) }

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
