package shard

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/pointport/pointport/event"
)

// This file defines how an owner measures what it carries.

const (
	// lagSpan is the time of which the worst lag counts.
	lagSpan = time.Second
	// lateLoop is from what lag on an owner says that it is late, at most once in
	// lagSpan. A plan of a large backlog takes some tens of milliseconds, and a processor
	// that is granted in tenths of a second may stand still for one.
	lateLoop = 200 * time.Millisecond
)

// A lag is how long messages wait for the owner's loop.
type lag struct {
	worst time.Duration // since began
	began time.Time
	fresh bool         // whether last has not been looked at
	last  atomic.Int64 // the worst of the span before, in nanoseconds
}

// note takes in that a message that is handled at now has waited so long.
func (l *lag) note(now time.Time, waited time.Duration) {
	l.roll(now)
	l.worst = max(l.worst, waited)
}

// roll begins a new span if the last one is over.
func (l *lag) roll(now time.Time) {
	if now.Sub(l.began) < lagSpan {
		return
	}
	l.last.Store(int64(l.worst))
	l.worst, l.began, l.fresh = 0, now, true
}

// take returns the worst of the last span; false if it was taken before. A message that
// is handled may begin a span as well as the turn that says what the last one held.
func (l *lag) take(now time.Time) (time.Duration, bool) {
	l.roll(now)
	fresh := l.fresh
	l.fresh = false
	return time.Duration(l.last.Load()), fresh
}

// A Load is what an owner carries, and how well.
type Load struct {
	// Lag is the longest time in the last second that something waited for the owner.
	Lag time.Duration
	// Window is how many starts may be under way.
	Window int
	// Delegating says that orders go through peers.
	Delegating bool
}

// unfitAfter is for how long an owner doubts itself before others should have its pool: a cut
// of five to six seconds heals before, and another owner needs some for what it inherits.
const unfitAfter = 8 * time.Second

// Unfit reports whether the owner has heard so little for so long that another member should
// have its pool.
func (o *Owner) Unfit() bool { return o.shownUnfit.Load() }

// Load returns what the owner carries.
func (o *Owner) Load() Load {
	return Load{Lag: time.Duration(o.lag.last.Load()), Window: int(o.shownWindow.Load()), Delegating: o.shownDelegating.Load()}
}

// show makes known what the owner carries, and says so if it is late.
func (o *Owner) show(now time.Time) {
	o.shownWindow.Store(int64(o.window.size))
	o.shownDelegating.Store(o.delegating)
	o.shownUnfit.Store(o.book.IsolationSuspectedFor(now) > unfitAfter)
	if worst, fresh := o.lag.take(now); fresh && worst >= lateLoop {
		event.OwnerLate.Log(o.logger, slog.Duration("lag", worst), slog.Int("workers", o.book.WorkerCount()),
			slog.Int("messages", len(o.inbox)), slog.Int("window", int(o.window.size)), slog.Duration("plan", o.turnGap/turnShare))
	}
}
