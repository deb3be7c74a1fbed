package schedule

import (
	"time"

	"github.com/pointport/pointport"
)

// This file defines for how long the tasks on an instance may go on although
// nothing more is heard of it.

const (
	// slowClock is by how much an instance's clock may run slow, as a factor on
	// the time until it shows a deadline. The platform says 2%.
	slowClock = 1.025
	// lapseSlack covers the time between an instance's clock passing a deadline
	// and the end of what ran there.
	lapseSlack = 150 * time.Millisecond
)

// A executionLease says when everything on an incarnation has surely ended if no further
// answer comes.
//
// An answer tells the time on the instance's clock, but not how far an earlier
// owner has extended what runs there: no answer says that. Until this owner has
// extended it further itself, only the earlier owner's bound counts. Its own
// extension reaches further than any before it, because the instance has seen its
// fence by the answer from which the extension is reckoned, and every owner extends
// by the same lease. Taking the answer to an order for more than a clock reading
// started tasks 2.3 s before their former runs had ended.
type executionLease struct {
	// inherited is when everything has ended that earlier owners have extended.
	inherited time.Time
	// heard is when the last answer came that showed a clock, zero before the
	// first; clock is what it showed.
	heard time.Time
	clock pointport.InstanceClock
	// until is the latest time on that clock to which this owner has extended the
	// instance's tasks; it means nothing unless extended is set.
	until    pointport.InstanceClock
	extended bool
	// ordered is when an order last carried an extension.
	ordered time.Time
	// misdirectedUntil is until when orders that were meant for an earlier life may have extended what runs
	// there, zero if there was none: to its clock their extension says something else.
	misdirectedUntil time.Time
}

// clockKnown reports whether any answer has shown the clock.
func (l *executionLease) clockKnown() bool { return !l.heard.IsZero() }

// sinceLastAnswer returns how long ago an answer last showed the clock, zero before the first.
func (l *executionLease) sinceLastAnswer(now time.Time) time.Duration {
	if !l.clockKnown() {
		return 0
	}
	return now.Sub(l.heard)
}

// observeClock takes in that an answer came at now that showed clock. An answer that was
// passed by a newer one says nothing new.
func (l *executionLease) observeClock(now time.Time, clock pointport.InstanceClock) {
	if l.clockKnown() && clock < l.clock {
		return
	}
	l.heard, l.clock = now, clock
}

// extend returns the time on the instance's clock that is ahead from now by lease,
// and notes that its tasks may run up to it. The clock must be known.
func (l *executionLease) extend(now time.Time, lease time.Duration) pointport.InstanceClock {
	l.ordered = now
	until := l.clockAt(now) + pointport.InstanceClock(lease)
	if !l.extended || until > l.until {
		l.until, l.extended = until, true
	}
	return until
}

// clockAt returns what the instance's clock shows now, reckoned from its last answer, zero before
// the first.
func (l *executionLease) clockAt(now time.Time) pointport.InstanceClock {
	if !l.clockKnown() {
		return 0
	}
	return l.clock + pointport.InstanceClock(now.Sub(l.heard))
}

// extendedUntil returns the furthest extension of this owner, zero if there is none. Zero
// asks an instance to extend nothing.
func (l *executionLease) extendedUntil() pointport.InstanceClock {
	if !l.extended {
		return 0
	}
	return l.until
}

// expiry returns when everything on the instance has surely ended.
func (l *executionLease) expiry() time.Time {
	if !l.extended {
		return latest(l.inherited, l.misdirectedUntil)
	}
	left := time.Duration(l.until - l.clock)
	return latest(l.misdirectedUntil, l.heard.Add(time.Duration(float64(left)*slowClock)+lapseSlack))
}
