// Package clock implements pointport.Clock: System is the machine's clock, BootTime the
// clock of a machine that may be suspended, and Fake a clock that tests advance.
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

// Steady returns the machine's time. Unlike BootTime, it counts no suspended time.
func (System) Steady() time.Time { return time.Now() }

// After returns a channel that receives the time once, d from now.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// A Fake is a clock that moves only by Advance and Suspend. It is safe for concurrent use.
type Fake struct {
	mu     sync.Mutex
	now    time.Time
	timers []timer
	// suspended is the time that only Steady has counted.
	suspended time.Duration
}

type timer struct {
	at time.Time
	c  chan time.Time
}

var _ pointport.Clock = (*Fake)(nil)

// NewFake returns a Fake whose time is now.
func NewFake(now time.Time) *Fake { return &Fake{now: now} }

// Now returns the clock's time, without the time that Suspend has added.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Steady returns the clock's time, including the time that Suspend has added.
func (f *Fake) Steady() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now.Add(f.suspended)
}

// Suspend moves the clock by d as a suspension of the machine does: only Steady counts it.
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

// Advance moves the clock by d and sends the time on the channels from After that are due.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	pending := f.timers[:0]
	for _, t := range f.timers {
		if t.at.After(f.now) {
			pending = append(pending, t)
			continue
		}
		t.c <- f.now
	}
	f.timers = pending
}

// Waiting returns the number of channels from After that have not received a time.
func (f *Fake) Waiting() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.timers)
}
