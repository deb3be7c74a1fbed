package schedule

import (
	"time"

	"github.com/pointport/pointport"
)

// This file defines for how long the tasks on an instance may continue to run after its last answer.

const (
	// slowClock is the factor by which an instance's clock may take longer to reach a deadline. The
	// platform documents 2%.
	slowClock = 1.025
	// lapseSlack covers the time between an instance's clock passing a deadline and the end of what
	// ran there.
	lapseSlack = 150 * time.Millisecond
)

// An executionLease records by when everything on an incarnation has certainly ended if no further
// answer comes.
//
// An answer shows the instance's clock, but not how far an earlier owner has extended what runs
// there; no answer shows that. Until this owner has sent an extension itself, only the bound of the
// earlier owner applies. Its own extension reaches further than any earlier one, because the
// instance saw this owner's fencing token by the answer from which the extension is computed, and
// all owners extend by the same duration; misdirected orders are an exception, see misdirected.go.
// Using the answer to an order for more than a clock reading started tasks 2.3 s before their earlier
// runs had ended.
type executionLease struct {
	// inherited is when everything that earlier owners have extended has ended.
	inherited time.Time
	// answeredAt is when the last answer came that showed a clock, zero before the first; clock is
	// what it showed.
	answeredAt time.Time
	clock      pointport.InstanceTime
	// extendedTo is the latest time on that clock to which this owner has extended the instance's
	// tasks; it is only valid if extended is set.
	extendedTo pointport.InstanceTime
	extended   bool
	// lastExtension is when an order last carried an extension.
	lastExtension time.Time
	// misdirectedUntil is until when orders that were meant for an earlier incarnation may have
	// extended what runs there, zero if there was none. Their extensions were computed for the clock
	// of the earlier incarnation and mean another time on this one's.
	misdirectedUntil time.Time
	// formerConfirmed reports whether the former owner has confirmed a run there, formerMisdirected
	// whether it has stored with a run there that misdirected orders may extend it.
	formerConfirmed, formerMisdirected bool
}

// clockKnown reports whether any answer has shown the clock.
func (l *executionLease) clockKnown() bool { return !l.answeredAt.IsZero() }

// sinceLastAnswer returns the time since an answer last showed the clock, zero before the first.
func (l *executionLease) sinceLastAnswer(now time.Time) time.Duration {
	if !l.clockKnown() {
		return 0
	}
	return now.Sub(l.answeredAt)
}

// observeClock records an answer that came at now and showed clock. An answer that is older than one
// recorded before is ignored.
func (l *executionLease) observeClock(now time.Time, clock pointport.InstanceTime) {
	if l.clockKnown() && clock < l.clock {
		return
	}
	l.answeredAt, l.clock = now, clock
}

// extend returns the time on the instance's clock that is lease after now, and records that its
// tasks may run until then. The clock must be known.
func (l *executionLease) extend(now time.Time, lease time.Duration) pointport.InstanceTime {
	l.lastExtension = now
	extendedTo := l.clockAt(now) + pointport.InstanceTime(lease)
	if !l.extended || extendedTo > l.extendedTo {
		l.extendedTo, l.extended = extendedTo, true
	}
	return extendedTo
}

// clockAt returns what the instance's clock shows at now, extrapolated from its last answer; zero
// before the first.
func (l *executionLease) clockAt(now time.Time) pointport.InstanceTime {
	if !l.clockKnown() {
		return 0
	}
	return l.clock + pointport.InstanceTime(now.Sub(l.answeredAt))
}

// extendedUntil returns the furthest extension by this owner, zero if there is none. Zero asks an
// instance to extend nothing.
func (l *executionLease) extendedUntil() pointport.InstanceTime {
	if !l.extended {
		return 0
	}
	return l.extendedTo
}

// expiry returns when everything on the instance has certainly ended.
func (l *executionLease) expiry() time.Time {
	if !l.extended {
		return laterTime(l.inherited, l.misdirectedUntil)
	}
	left := time.Duration(l.extendedTo - l.clock)
	return laterTime(l.misdirectedUntil, l.answeredAt.Add(time.Duration(float64(left)*slowClock)+lapseSlack))
}
