package schedule

import (
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/workload"
)

// This file defines how an instance that fails what it starts is stepped
// around.

const (
	// failuresToAvoid is after how many failures in a row a worker is avoided.
	// Tasks fail by themselves now and then, seldom twice in a row.
	failuresToAvoid = 2
	// avoidFirst is for how long a worker is avoided at first; each further
	// failure doubles it.
	avoidFirst = 2 * time.Second
	// avoidMost bounds that, so that a healed instance is found out.
	avoidMost = 16 * time.Second
)

// health is what the ends of a worker's runs say of it.
type health struct {
	failures int // in a row
	avoid    time.Time
	avoidFor time.Duration
}

// succeeded takes in that a run on the worker has ended well. It reports whether
// the worker was avoided before.
func (h *health) succeeded() bool {
	suspected := h.failures >= failuresToAvoid
	*h = health{}
	return suspected
}

// failed takes in that a run on the worker has failed. It reports whether the
// worker is avoided from now on.
func (h *health) failed(now time.Time) bool {
	h.failures++
	if h.failures < failuresToAvoid {
		return false
	}
	h.avoidFor = min(max(avoidFirst, 2*h.avoidFor), avoidMost)
	h.avoid = now.Add(h.avoidFor)
	return true
}

// stalled takes in that a run on the worker stood still or crawled.
func (h *health) stalled(now time.Time) {
	h.avoid = now.Add(stallAvoid)
}

// avoided reports whether nothing should be placed on the worker.
func (h *health) avoided(now time.Time) bool { return now.Before(h.avoid) }

// retryElsewhere is for how long a task that has failed waits for another
// instance than the one on which it failed.
const retryElsewhere = 3 * time.Second

// wary reports whether a task should not go to a worker because it, or another of
// its gang, has just failed there.
func (b *Scheduler) wary(t waitingTask, w *Worker, now time.Time) bool {
	if len(t.entry.avoidUntil) == 0 {
		return false
	}
	if !t.step.Gang {
		return t.entry.waryOf(t.ref, w.inc.ID(), now)
	}
	for i := range t.step.Count {
		ref := t.ref
		ref.Index = i
		if t.entry.waryOf(ref, w.inc.ID(), now) {
			return true
		}
	}
	return false
}

func (e *entry) waryOf(ref workload.TaskRef, on pointport.IncarnationID, now time.Time) bool {
	until, ok := e.avoidUntil[ref]
	if !ok {
		return false
	}
	task := e.job.Task(ref)
	return task != nil && task.Phase == workload.Pending && task.On == on && now.Before(until)
}

// avoidFailedWorker keeps a task that has failed away from where it did, for a while.
func (e *entry) avoidFailedWorker(ref workload.TaskRef, now time.Time) {
	if e.avoidUntil == nil {
		e.avoidUntil = make(map[workload.TaskRef]time.Time)
	}
	e.avoidUntil[ref] = now.Add(retryElsewhere)
}
