package shard

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/pointport/pointport/event"
)

// This file defines how an owner measures its load.

const (
	// lagPeriod is the length of the periods over which the greatest lag is reported.
	lagPeriod = time.Second
	// lateThreshold is the lag from which an owner logs that it is late, at most once in
	// each lagPeriod. Planning a large backlog takes some tens of milliseconds, and a
	// processor quota that is granted per tenth of a second may stop the process for one.
	lateThreshold = 200 * time.Millisecond
)

// A lagMeter measures how long messages wait for the owner's loop.
type lagMeter struct {
	worst      time.Duration // since start
	start      time.Time
	unread     bool         // whether takeLast has not returned lastPeriod yet
	lastPeriod atomic.Int64 // greatest lag of the period before, in nanoseconds
}

// observe records the wait of a message that is handled at now.
func (l *lagMeter) observe(now time.Time, waited time.Duration) {
	l.advance(now)
	l.worst = max(l.worst, waited)
}

// advance begins a new period if the current one has ended.
func (l *lagMeter) advance(now time.Time) {
	if now.Sub(l.start) < lagPeriod {
		return
	}
	l.lastPeriod.Store(int64(l.worst))
	l.worst, l.start, l.unread = 0, now, true
}

// takeLast returns the greatest lag of the last whole period, and false if an earlier call
// has returned it. A period may be begun by a message as well as by the tick that calls
// takeLast, so the period's result is marked as unread until then.
func (l *lagMeter) takeLast(now time.Time) (time.Duration, bool) {
	l.advance(now)
	fresh := l.unread
	l.unread = false
	return time.Duration(l.lastPeriod.Load()), fresh
}

// A Load describes how busy an owner is.
type Load struct {
	// Lag is the longest time that a message waited for the loop in the last whole second.
	Lag time.Duration
	// Window is how many starts may be in flight.
	Window int
	// Delegating reports whether orders go through peers.
	Delegating bool
}

// handOverAfter is for how long an owner must suspect that it is cut off before another member
// should own its pool. Network partitions of five to six seconds heal sooner, and a new owner
// needs some time to take over the running tasks.
const handOverAfter = 8 * time.Second

// ShouldHandOver reports whether so few instances have answered for so long that another
// member should own the pool.
func (o *Owner) ShouldHandOver() bool { return o.publishedShouldHandOver.Load() }

// DefersHandOver reports whether tasks wait for proof that no run of theirs goes on. A new owner begins this
// wait anew, which takes longer than a task may be away.
func (o *Owner) DefersHandOver() bool { return o.publishedDefersHandOver.Load() }

// Load returns the owner's load.
func (o *Owner) Load() Load {
	return Load{Lag: time.Duration(o.lag.lastPeriod.Load()), Window: int(o.publishedWindow.Load()), Delegating: o.publishedDelegating.Load()}
}

// publishLoad publishes the owner's load, and logs if the owner is late.
func (o *Owner) publishLoad(now time.Time) {
	o.publishedWindow.Store(int64(o.window.size))
	o.publishedDelegating.Store(o.delegating)
	o.publishedShouldHandOver.Store(o.scheduler.IsolationSuspectedFor(now) > handOverAfter)
	o.publishedDefersHandOver.Store(o.scheduler.AwaitsProof())
	if worst, fresh := o.lag.takeLast(now); fresh && worst >= lateThreshold {
		event.OwnerLate.Log(o.logger, slog.Duration("lag", worst), slog.Int("workers", o.scheduler.WorkerCount()),
			slog.Int("messages", len(o.inbox)), slog.Int("window", int(o.window.size)), slog.Duration("plan", o.planInterval/planIntervalFactor))
	}
}
