package schedule

import (
	"time"

	"github.com/pointport/pointport/workload"
)

// This file defines how tasks under which instances have crashed are kept apart from
// others, so that a task that crashes instances takes few others with it, and tasks that
// were only beside it are not taken for it.

const (
	// quarantineAfter is after how many crashes a task gets an instance of its own. A
	// task that was beside one that crashes instances is there twice now and then.
	quarantineAfter = 2
	// quarantineWait is for how long a task waits for an instance of its own, and takes
	// one with others then, or one that has crashed under it: a pool may have no other,
	// and the jobs of such tasks must go on too. A move brings an instance in 1.5 s.
	quarantineWait = 1500 * time.Millisecond
	// quarantineFor is for how long after its start nothing joins such a task at first. A
	// task that asks for more than its instance can give does so as it loads. Each further
	// crash doubles it, quarantineDoubled times at most, so that one that crashes its
	// instance later than that is alone there in the end, and found out.
	quarantineFor     = 2 * time.Second
	quarantineDoubled = 5
	// exoneratedAfter is for how long a serving task must have been at work for earlier
	// crashes not to count against it any more. It runs for so long that instances
	// crash under it by chance.
	exoneratedAfter = 10 * time.Second
)

// suspected reports whether an instance has crashed under a task.
func (e *entry) suspected(ref workload.TaskRef) bool {
	t := e.job.Task(ref)
	return t != nil && t.Crashes > 0
}

// quarantines reports whether a task, or another of its gang, is to have an instance of
// its own.
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

// keptApart reports whether a task may not go to a worker because it, or a task there, is
// to have an instance of its own, or because this instance has crashed under it.
func (b *Scheduler) keptApart(t waitingTask, w *Worker, now time.Time) bool {
	if w.quarantined > 0 && !w.holdsOnly(t) {
		return true
	}
	if len(t.entry.crashed) == 0 || now.Sub(t.entry.lastCrash(t.ref)) >= quarantineWait {
		return false
	}
	if c := t.entry.crashed[t.ref]; c != nil && c.on[w.inc.Instance()] {
		return true
	}
	return t.entry.quarantines(t.ref) && !w.holdsOnly(t)
}

// holdsOnly reports whether a worker holds nothing but others of a task's gang.
func (w *Worker) holdsOnly(t waitingTask) bool {
	if !t.step.Gang {
		return len(w.runs) == 0
	}
	return len(w.runs) == w.steps[stepRef{t.entry, t.ref.Occurrence, t.ref.Step}]
}

// lastCrash returns when an instance last crashed under a task, or another of its gang.
func (e *entry) lastCrash(ref workload.TaskRef) time.Time {
	gang := e.job.Spec().Steps[ref.Step].Gang
	var last time.Time
	for other, c := range e.crashed {
		mate := gang && other.Occurrence == ref.Occurrence && other.Step == ref.Step
		if (other == ref || mate) && c.last.After(last) {
			last = c.last
		}
	}
	return last
}

// neighboursToAvoid returns how many runs on a worker a task had better be apart from: all of
// them if an instance has crashed under it, else those of tasks under which one has.
func (e *entry) neighboursToAvoid(t waitingTask, w *Worker) int {
	if len(e.crashed) > 0 && e.suspected(t.ref) {
		return len(w.runs)
	}
	return w.suspected
}

// reviewSuspicion takes in that a report shows a run, which may tell that its task does not crash
// instances.
func (b *Scheduler) reviewSuspicion(now time.Time, r *Run) {
	if len(r.entry.crashed) == 0 {
		return
	}
	lives := now.Sub(r.liveAt)
	if t := r.task(); lives >= quarantineFor && t != nil && t.Crashes > 0 && t.Settled != r.number {
		t.Settled = r.number // for the next owner, who cannot know
		b.markDirty(r.entry, false)
	}
	if lives >= r.apartFor {
		r.worker.clearSuspicion(r)
	}
	if r.step().Service && lives >= exoneratedAfter && r.progress >= atWork && r.entry.suspected(r.ref) {
		r.entry.job.ResetCrashes(r.ref)
		b.markDirty(r.entry, false)
	}
}

// quarantineTime returns for how long after its start nothing joins a task.
func (e *entry) quarantineTime(ref workload.TaskRef) time.Duration {
	t := e.job.Task(ref)
	if t == nil {
		return quarantineFor
	}
	return quarantineFor << min(max(t.Crashes-quarantineAfter, 0), quarantineDoubled)
}

// clearSuspicion has a run count as any other on its worker.
func (w *Worker) clearSuspicion(r *Run) {
	if r.suspected {
		w.suspected--
	}
	if r.quarantined {
		w.quarantined--
	}
	r.suspected, r.quarantined = false, false
}
