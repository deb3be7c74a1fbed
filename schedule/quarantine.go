package schedule

import (
	"time"

	"github.com/pointport/pointport/workload"
)

// This file defines how tasks under which instances have crashed are kept apart from others, so that
// a task that crashes instances affects few others, and tasks that merely shared an instance with it
// are not blamed.

const (
	// quarantineAfter is after how many crashes a task gets an instance of its own. A task that
	// shares instances with one that crashes them occasionally sees two crashes.
	quarantineAfter = 2
	// quarantineWait is for how long a task waits for an instance of its own. After that it takes
	// one that has other tasks or has crashed under it: the pool may have no other instance, and the
	// jobs of such tasks must make progress too. Moving an instance into the pool takes 1.5 s.
	quarantineWait = 1500 * time.Millisecond
	// quarantineFor is for how long after the start of such a task nothing is placed beside it at
	// first. A task that asks for more than its instance can give does so while it loads. Each
	// further crash doubles the time, maxQuarantineDoublings times at most, so that a task that
	// crashes its instance later than that is eventually alone there and is identified as the cause.
	quarantineFor          = 2 * time.Second
	maxQuarantineDoublings = 5
	// exoneratedAfter is for how long a serving task must have been serving for earlier crashes to
	// count no longer. It runs for so long that instances crash under it by chance.
	exoneratedAfter = 10 * time.Second
)

// suspected reports whether an instance has crashed under a task.
func (e *entry) suspected(ref workload.TaskRef) bool {
	t := e.job.Task(ref)
	return t != nil && t.Crashes > 0
}

// quarantines reports whether a task, or another of its gang, needs an instance of its own.
func (e *entry) quarantines(ref workload.TaskRef) bool {
	if len(e.crashed) == 0 {
		return false
	}
	step := &e.job.Spec().Steps[ref.Step]
	if !step.Gang {
		return e.job.Task(ref).Crashes >= quarantineAfter
	}
	for i := range step.Count {
		ref.Index = i
		if e.job.Task(ref).Crashes >= quarantineAfter {
			return true
		}
	}
	return false
}

// keptApart reports whether a task may not be placed on a worker because it or a task there needs an
// instance of its own, or because this instance has crashed under it.
func (s *Scheduler) keptApart(t waitingTask, w *Worker, now time.Time) bool {
	return w.quarantined > 0 && !w.holdsOnly(t) || needsOther(t, w, now)
}

// needsOther reports whether a task may not be placed on a worker because of its own crashes: the
// instance has crashed under it, or the task needs one of its own.
func needsOther(t waitingTask, w *Worker, now time.Time) bool {
	if len(t.entry.crashed) == 0 {
		return false
	}
	c := t.entry.crashed[t.ref]
	crashedHere := c != nil && c.on[w.inc.Instance()]
	needsOwn := t.entry.quarantines(t.ref) && !w.holdsOnly(t)
	return (crashedHere || needsOwn) && !t.waitedForOwn(now) // the latter looks at all crashes of a gang
}

// holdsOnly reports whether a worker holds nothing but other members of a task's gang.
func (w *Worker) holdsOnly(t waitingTask) bool {
	if !t.step.Gang {
		return len(w.runs) == 0
	}
	return len(w.runs) == w.steps[stepRef{t.entry, t.ref.Occurrence, t.ref.Step}]
}

// lastCrash returns when an instance last crashed under a task or another of its gang.
func (e *entry) lastCrash(ref workload.TaskRef) time.Time {
	gang := e.job.Spec().Steps[ref.Step].Gang
	var last time.Time
	for other, c := range e.crashed {
		sameGang := gang && other.Occurrence == ref.Occurrence && other.Step == ref.Step
		if (other == ref || sameGang) && c.last.After(last) {
			last = c.last
		}
	}
	return last
}

// neighboursToAvoid returns how many runs on a worker a task is better kept apart from: all of them
// if an instance has crashed under the task, else those of tasks under which one has.
func (e *entry) neighboursToAvoid(t waitingTask, w *Worker) int {
	if len(e.crashed) > 0 && e.suspected(t.ref) {
		return len(w.runs)
	}
	return w.suspected
}

// reviewSuspicion updates the suspicion against the task of a run that a report lists: the run may
// have lasted long enough to show that the task does not crash instances.
func (s *Scheduler) reviewSuspicion(now time.Time, r *Run) {
	if len(r.entry.crashed) == 0 {
		return
	}
	t := r.task()
	if t != nil && r.atWork() && r.entry.job.ResetStartCrashes(r.ref) {
		s.markDirty(r.entry, false)
	}
	lasted := now.Sub(r.liveAt)
	if lasted >= quarantineFor && t != nil && t.Crashes > 0 && t.Settled != r.number {
		t.Settled = r.number // stored for the next owner, which has not seen the run's start
		s.markDirty(r.entry, false)
	}
	if lasted >= r.quarantineTime {
		r.worker.endQuarantine(r)
	}
	if lasted >= exoneratedAfter && r.atWork() && r.entry.suspected(r.ref) {
		r.entry.job.ResetCrashes(r.ref)
		r.worker.clearSuspicion(r)
		s.markDirty(r.entry, false)
	}
}

// quarantineTime returns for how long after its start nothing is placed beside a task.
func (e *entry) quarantineTime(ref workload.TaskRef) time.Duration {
	t := e.job.Task(ref)
	if t == nil {
		return quarantineFor
	}
	return quarantineFor << min(max(t.Crashes-quarantineAfter, 0), maxQuarantineDoublings)
}

// endQuarantine lets others be placed beside a run. They still prefer to be elsewhere while a serving
// task is suspected: one that crashes its instance late is never given up, so others must not be
// beside it each time.
func (w *Worker) endQuarantine(r *Run) {
	if !r.step().Service {
		w.clearSuspicion(r)
		return
	}
	if r.quarantined {
		w.quarantined--
	}
	r.quarantined = false
}

// clearSuspicion makes a run count like any other on its worker.
func (w *Worker) clearSuspicion(r *Run) {
	if r.suspected {
		w.suspected--
	}
	if r.quarantined {
		w.quarantined--
	}
	r.suspected, r.quarantined = false, false
}
