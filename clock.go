package pointport

import "time"

// This file defines the clock, which is passed in wherever time matters, so
// that tests decide what time it is.

// A Clock tells the time and wakes its callers.
type Clock interface {
	// Now returns the current time, with a monotonic reading where there is one.
	Now() time.Time

	// After returns a channel that receives the time once, d from now.
	After(d time.Duration) <-chan time.Time
}
