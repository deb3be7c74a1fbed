package schedule

import (
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/workload"
)

// This file defines how instances are avoided on which runs fail.

const (
	// failuresToAvoid is after how many consecutive failures a worker is avoided. Tasks fail
	// occasionally through no fault of the instance, but rarely twice in a row.
	failuresToAvoid = 2
	// avoidFirst is for how long a worker is avoided at first; each further failure doubles it.
	avoidFirst = 2 * time.Second
	// avoidMost bounds this time, so that a recovered instance is used again.
	avoidMost = 16 * time.Second
)

// health summarizes the outcomes of a worker's runs.
type health struct {
	failures   int // consecutive
	avoidUntil time.Time
	avoidFor   time.Duration
}

// succeeded records that a run on the worker has succeeded. It reports whether the worker was under
// suspicion before.
func (h *health) succeeded() bool {
	suspected := h.failures >= failuresToAvoid
	*h = health{}
	return suspected
}

// failed records that a run on the worker has failed. It reports whether the worker is avoided from
// now on.
func (h *health) failed(now time.Time) bool {
	h.failures++
	if h.failures < failuresToAvoid {
		return false
	}
	h.avoidFor = min(max(avoidFirst, 2*h.avoidFor), avoidMost)
	h.avoidUntil = now.Add(h.avoidFor)
	return true
}

// stalled records that a run on the worker was stuck or slow, so that the worker is avoided for a
// while.
func (h *health) stalled(now time.Time) {
	h.avoidUntil = now.Add(stallAvoid)
}

// avoided reports whether nothing should be placed on the worker.
func (h *health) avoided(now time.Time) bool { return now.Before(h.avoidUntil) }

// retryElsewhere is for how long a task that has failed waits for an instance other than the one on
// which it failed.
const retryElsewhere = 3 * time.Second

// failedRecentlyOn reports whether a task should not be placed on a worker because it, or another
// member of its gang, has just failed there.
func (s *Scheduler) failedRecentlyOn(t waitingTask, w *Worker, now time.Time) bool {
	if len(t.entry.avoidUntil) == 0 {
		return false
	}
	if !t.step.Gang {
		return t.entry.avoids(t.ref, w.inc.ID(), now)
	}
	for i := range t.step.Count {
		ref := t.ref
		ref.Index = i
		if t.entry.avoids(ref, w.inc.ID(), now) {
			return true
		}
	}
	return false
}

func (e *entry) avoids(ref workload.TaskRef, on pointport.IncarnationID, now time.Time) bool {
	until, ok := e.avoidUntil[ref]
	if !ok {
		return false
	}
	task := e.job.Task(ref)
	return task != nil && task.Phase == workload.Pending && task.On == on && now.Before(until)
}

// avoidFailedWorker keeps a task that has failed off the worker on which it failed, for
// retryElsewhere.
func (e *entry) avoidFailedWorker(ref workload.TaskRef, now time.Time) {
	if e.avoidUntil == nil {
		e.avoidUntil = make(map[workload.TaskRef]time.Time)
	}
	e.avoidUntil[ref] = now.Add(retryElsewhere)
}
