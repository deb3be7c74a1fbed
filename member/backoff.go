package member

import (
	"math/rand/v2"
	"time"

	"github.com/pointport/pointport"
)

// This file defines how long to wait before the store is asked again.

const (
	// minRetryDelay is how long to wait after the store gave no answer, retryMost
	// the bound of its doubling.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// minBusyDelay and busyMost are the same after the store refused a call because there
	// are too many. Whoever follows keys waits for longer than whoever owns: a renewal is
	// made four times a second, a change again after 0.3 s at most.
	minBusyDelay = 200 * time.Millisecond
	maxBusyDelay = 1200 * time.Millisecond
)

// A backoff grows with each failure in a row. The zero value is ready.
type backoff struct{ next time.Duration }

// after returns how long to wait after a failure.
func (b *backoff) after(err error) time.Duration {
	if pointport.IsBusy(err) {
		return jitter(b.grow(minBusyDelay, maxBusyDelay))
	}
	return b.grow(minRetryDelay, maxRetryDelay)
}

// grow returns the wait, from first to most, and doubles the next.
func (b *backoff) grow(first, most time.Duration) time.Duration {
	wait := min(max(b.next, first), most)
	b.next = 2 * wait
	return wait
}

// jitter returns a time between half of d and one and a half, so that members that were
// refused together do not come back together.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
