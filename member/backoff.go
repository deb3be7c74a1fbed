package member

import (
	"math/rand/v2"
	"time"

	"github.com/pointport/pointport"
)

// This file defines how long to wait before calling the store again.

const (
	// minRetryDelay is the delay after the first call without an answer. It doubles with each
	// further failure, up to maxRetryDelay.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// minBusyDelay and maxBusyDelay are the same bounds after the store refused a call because
	// it receives too many. Members that only watch keys wait longer than pool owners: an
	// owner renews its lease four times a second and retries a write after 0.3 s at most.
	minBusyDelay = 200 * time.Millisecond
	maxBusyDelay = 1200 * time.Millisecond
)

// backoff computes a delay that grows with each consecutive failure. The zero value is ready
// to use.
type backoff struct{ next time.Duration }

// after returns how long to wait after err.
func (b *backoff) after(err error) time.Duration {
	if pointport.IsBusy(err) {
		return jitter(b.grow(minBusyDelay, maxBusyDelay))
	}
	return b.grow(minRetryDelay, maxRetryDelay)
}

// grow returns the next delay, bounded by first and most, and doubles it for the following
// call.
func (b *backoff) grow(first, most time.Duration) time.Duration {
	wait := min(max(b.next, first), most)
	b.next = 2 * wait
	return wait
}

// jitter returns a random duration between 0.5 d and 1.5 d, so that members that were refused
// at the same time do not retry at the same time.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
