package schedule

import (
	"time"

	"github.com/pointport/pointport/workload"
)

// This file defines how serving tasks are started again after a run has ended as done. Only the cancellation of
// its job ends a serving task, so such an end is not final.

const (
	// settledRun is how long a run of a serving task must have run so that the task is started again
	// without a pause.
	settledRun = 5 * time.Second
	// minRestartPause and maxRestartPause bound the pause before the next start of a serving task whose
	// run has ended sooner. It doubles with each further one. The platform counts a serving task as lost
	// after 6 s without a run.
	minRestartPause = 250 * time.Millisecond
	maxRestartPause = 2 * time.Second
)

// A restart is a pause before the next start of a serving task.
type restart struct {
	pause time.Duration
	until time.Time
}

// servingRunDone handles the end as done of a run of a serving task, which is started again.
func (s *Scheduler) servingRunDone(now time.Time, r *Run) {
	r.entry.pauseRestart(r, now)
	s.drop(now, r, "a serving task has ended as done")
}

// pauseRestart sets the pause before the next start of a serving task whose run has ended.
func (e *entry) pauseRestart(r *Run, now time.Time) {
	if !r.liveAt.IsZero() && now.Sub(r.liveAt) >= settledRun {
		delete(e.restarts, r.ref)
		return
	}
	if e.restarts == nil {
		e.restarts = make(map[workload.TaskRef]restart)
	}
	pause := min(max(2*e.restarts[r.ref].pause, minRestartPause), maxRestartPause)
	e.restarts[r.ref] = restart{pause: pause, until: now.Add(pause)}
}

// restartPaused reports whether some tasks that are placed together should not start yet, because a run of
// one of them has ended soon after its start.
func restartPaused(group []waitingTask, now time.Time) bool {
	for _, t := range group {
		if now.Before(t.entry.restarts[t.ref].until) {
			return true
		}
	}
	return false
}
