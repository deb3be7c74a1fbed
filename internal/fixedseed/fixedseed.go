// Package fixedseed gives property tests a fixed seed, so that they come to the
// same verdict every time. A test package imports it for its effect alone. The
// flags -rapid.seed and -rapid.checks still decide when they are given.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flags
)

// seed is no special number.
const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic("fixedseed: " + err.Error())
	}
}
