package pointport

import "time"

// This file defines the clock, which is passed in wherever time matters, so
// that tests decide what time it is.

// A Clock tells the time and wakes its callers.
type Clock interface {
	// Now returns the current time, with a monotonic reading where there is one.
	Now() time.Time

	// Steady returns a time that goes on while the machine is suspended, which Now's
	// monotonic reading does not. Whatever must not be believed for longer than it
	// holds elsewhere (a lease, an ownership, the age of a configuration) is reckoned by
	// it. Only the difference of two such times means anything.
	Steady() time.Time

	// After returns a channel that receives the time once, d from now.
	After(d time.Duration) <-chan time.Time
}
