// Package fixedseed gives the property tests of a package that imports it a fixed
// seed, so that they give the same verdict in each run. The flag -rapid.seed of the
// test command still overrides it.
package fixedseed

import (
	"flag"

	// The import registers the flag before it is set here.
	_ "pgregory.net/rapid"
)

// Seed is the seed of all property tests.
const Seed = "20261203"

func init() {
	if err := flag.Set("rapid.seed", Seed); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
}
