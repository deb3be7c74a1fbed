package peer

import (
	"sync"
	"time"

	"github.com/pointport/pointport"
)

// This file defines what holds for a while.

// deadlines says until when something holds of each key. It is safe for concurrent use.
type deadlines[K comparable] struct {
	clock pointport.Clock
	mu    sync.Mutex
	until map[K]time.Time
}

func newDeadlines[K comparable](clock pointport.Clock) *deadlines[K] {
	return &deadlines[K]{clock: clock, until: make(map[K]time.Time)}
}

// set has it hold of a key for so long from now on; for zero, no longer.
func (d *deadlines[K]) set(key K, lasts time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if lasts <= 0 {
		delete(d.until, key)
		return
	}
	d.until[key] = d.clock.Steady().Add(lasts)
}

// remaining returns for how long it holds of a key, zero if it does not.
func (d *deadlines[K]) remaining(key K) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(0, d.until[key].Sub(d.clock.Steady()))
}
