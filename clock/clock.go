// Package clock implements pointport.Clock: System by the machine's clock, Boot by that of
// a machine that may be suspended, and Fake by a clock that moves only when it is told to.
package clock

import (
	"sync"
	"time"

	"github.com/pointport/pointport"
)

// System is the machine's clock.
type System struct{}

var _ pointport.Clock = System{}

// Now returns the machine's time.
func (System) Now() time.Time { return time.Now() }

// Steady returns the machine's time. It counts no suspended time: Boot does.
func (System) Steady() time.Time { return time.Now() }

// After returns a channel that receives the time once, d from now.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// A Fake is a clock that moves only by Advance. It is safe for concurrent use.
type Fake struct {
	mu     sync.Mutex
	now    time.Time
	timers []timer
	// suspended is how much more Steady has counted.
	suspended time.Duration
}

type timer struct {
	at time.Time
	c  chan time.Time
}

var _ pointport.Clock = (*Fake)(nil)

// NewFake returns a clock that shows now.
func NewFake(now time.Time) *Fake { return &Fake{now: now} }

// Now returns the time that the clock shows.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Steady returns the time that the clock shows, and what Suspend has added.
func (f *Fake) Steady() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now.Add(f.suspended)
}

// Suspend lets a time pass that only Steady counts.
func (f *Fake) Suspend(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspended += d
}

// After returns a channel that receives the time once the clock has been
// advanced by d.
func (f *Fake) After(d time.Duration) <-chan time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := make(chan time.Time, 1)
	if d <= 0 {
		c <- f.now
		return c
	}
	f.timers = append(f.timers, timer{f.now.Add(d), c})
	return c
}

// Advance moves the clock by d and wakes whoever waits for a time up to then.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	left := f.timers[:0]
	for _, a := range f.timers {
		if a.at.After(f.now) {
			left = append(left, a)
			continue
		}
		a.c <- f.now
	}
	f.timers = left
}

// Waiting returns how many callers wait for the clock to move.
func (f *Fake) Waiting() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.timers)
}
