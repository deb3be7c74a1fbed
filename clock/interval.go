package clock

import (
	"time"

	"github.com/pointport/pointport"
)

// SuspensionTolerance is how much suspended time is taken for none: two readings of a clock
// are not made at once, and a process may be kept from running between them.
const SuspensionTolerance = 100 * time.Millisecond

// An Interval is the time since it began. What was asked before a suspension and answered
// after it may be as old as the suspension was long.
type Interval struct {
	clock       pointport.Clock
	now, steady time.Time
}

// NewInterval returns an interval that begins now.
func NewInterval(c pointport.Clock) Interval {
	return Interval{clock: c, now: c.Now(), steady: c.Steady()}
}

// Suspended returns for how long the machine was suspended since the interval began, zero
// if that was no more than SuspensionBound.
func (i Interval) Suspended() time.Duration {
	lasted := i.clock.Steady().Sub(i.steady) - i.clock.Now().Sub(i.now)
	if lasted <= SuspensionTolerance {
		return 0
	}
	return lasted
}

// Age returns how long ago the interval began, with the time for which the machine was
// suspended.
func (i Interval) Age() time.Duration { return i.clock.Steady().Sub(i.steady) }
