// Package fixedseed sets a fixed seed for property tests, so that every run tests the same
// cases. A test package imports it only for its side effect. The flags -rapid.seed and
// -rapid.checks override it.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flags
)

const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic("fixedseed: " + err.Error())
	}
}
