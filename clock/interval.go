package clock

import (
	"time"

	"github.com/pointport/pointport"
)

// SuspensionTolerance is the suspended time up to which an interval counts as not
// suspended. Two clocks are not read at the same moment, and the process may be kept from
// running between the readings.
const SuspensionTolerance = 100 * time.Millisecond

// An Interval measures the time since it began, including suspensions of the machine. An
// answer to a request that was sent before a suspension may be as old as the suspension is
// long, although the monotonic clock shows a short wait.
type Interval struct {
	clock       pointport.Clock
	now, steady time.Time
}

// NewInterval returns an interval that begins now.
func NewInterval(c pointport.Clock) Interval {
	return Interval{clock: c, now: c.Now(), steady: c.Steady()}
}

// Suspended returns how long the machine was suspended since the interval began, or zero if
// that is at most SuspensionTolerance.
func (i Interval) Suspended() time.Duration {
	lasted := i.clock.Steady().Sub(i.steady) - i.clock.Now().Sub(i.now)
	if lasted <= SuspensionTolerance {
		return 0
	}
	return lasted
}

// Age returns how long ago the interval began, including the time during which the machine
// was suspended.
func (i Interval) Age() time.Duration { return i.clock.Steady().Sub(i.steady) }
