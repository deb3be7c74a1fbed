package pointport

import "time"

// This file defines the clock. Code that depends on time gets it as a
// parameter, so that tests can control the time.

// A Clock provides the current time and timers.
type Clock interface {
	// Now returns the current time, with a monotonic reading if one is available.
	Now() time.Time

	// Steady returns a time that keeps advancing while the machine is suspended;
	// the monotonic reading of Now does not. It must be used for everything that
	// may expire elsewhere during a suspension: leases, ownerships, the age of a
	// configuration. Only the difference of two such times is meaningful.
	Steady() time.Time

	// After returns a channel that receives the current time once, after d.
	After(d time.Duration) <-chan time.Time
}
