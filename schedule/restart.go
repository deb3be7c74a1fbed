package schedule

import (
	"time"

	"github.com/pointport/pointport/workload"
)

// This file defines how serving tasks are started again after a run has ended as done. Only the cancellation of
// its job ends a serving task, so such an end is not final.

// minStartInterval and maxStartInterval bound the time between two starts of a serving task whose run has
// ended within maxStartInterval. The time doubles with each further such run. The platform counts a serving
// task as lost after 6 s without a run.
const minStartInterval, maxStartInterval = 250 * time.Millisecond, 2 * time.Second

// A restart says when a serving task may start again.
type restart struct {
	interval time.Duration // since the former start
	at       time.Time
}

// servingRunDone handles the end as done of a run of a serving task, which is started again.
func (s *Scheduler) servingRunDone(now time.Time, r *Run) {
	r.entry.pauseRestart(r, now)
	s.drop(now, r, "a serving task has ended as done")
}

// pauseRestart sets when a serving task whose run has ended may start again.
func (e *entry) pauseRestart(r *Run, now time.Time) {
	started := r.placedAt
	if !r.liveAt.IsZero() {
		started = r.liveAt
	}
	if now.Sub(started) >= maxStartInterval {
		delete(e.restarts, r.ref)
		return
	}
	if e.restarts == nil {
		e.restarts = make(map[workload.TaskRef]restart)
	}
	interval := min(max(2*e.restarts[r.ref].interval, minStartInterval), maxStartInterval)
	e.restarts[r.ref] = restart{interval: interval, at: started.Add(interval)}
}

// restartPaused reports whether some tasks that are placed together may not start again yet, because a run
// of one of them has ended soon after its start.
func restartPaused(group []waitingTask, now time.Time) bool {
	for _, t := range group {
		if now.Before(t.entry.restarts[t.ref].at) {
			return true
		}
	}
	return false
}
