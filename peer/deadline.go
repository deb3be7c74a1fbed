package peer

import (
	"sync"
	"time"

	"github.com/pointport/pointport"
)

// This file defines a set of keys whose entries expire.

// deadlines holds a set of keys, each until a deadline. It is safe for concurrent use.
type deadlines[K comparable] struct {
	clock pointport.Clock
	mu    sync.Mutex
	until map[K]time.Time
}

func newDeadlines[K comparable](clock pointport.Clock) *deadlines[K] {
	return &deadlines[K]{clock: clock, until: make(map[K]time.Time)}
}

// set adds a key for the duration d from now on, or removes it if d is zero.
func (s *deadlines[K]) set(key K, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d <= 0 {
		delete(s.until, key)
		return
	}
	s.until[key] = s.clock.Steady().Add(d)
}

// remaining returns how long a key remains in the set, zero if it is not in it.
func (s *deadlines[K]) remaining(key K) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, s.until[key].Sub(s.clock.Steady()))
}
