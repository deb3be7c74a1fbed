package schedule

import (
	"log/slog"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/workload"
)

// This file defines how the crash of an instance counts against the tasks that had runs there.
//
// An instance that crashes reports no task ends, so the only sign that a run may have caused the
// crash is that it was on that instance. Each crash is counted against every task that had a run
// there and is stored with the progress of the job, in the same record that names the task's next
// start. An owner therefore never starts a task without the crashes that earlier owners have
// counted.

// countCrashes counts the crash of an instance against the tasks of died, the runs that died there;
// there lists all runs that were or may have been on the instance. at is nil if it is not known what
// else ran there.
func (s *Scheduler) countCrashes(now time.Time, died, there []*Run, at *Worker) {
	for _, r := range died {
		s.countCrash(now, r, crashCase(there, r, at), len(there)-1)
	}
}

// crashCase classifies the crash of an instance for the task of r, one of the runs there. at is nil
// if it is not known what else ran there.
func crashCase(there []*Run, r *Run, at *Worker) workload.CrashCase {
	switch {
	case r.atWork():
		return workload.CrashAtWork
	case at != nil && at.strays == 0 && len(at.startsToRuleOut) == 0 && allOfGang(there, r):
		return workload.CrashAlone
	case r.justStarted():
		return workload.CrashAtStart
	}
	return workload.CrashShared
}

// justStarted reports whether the run was not yet known to have run for quarantineFor when its
// instance last answered, to this owner or an earlier one.
func (r *Run) justStarted() bool {
	t := r.task()
	return r.runTime() < quarantineFor && (t == nil || t.Settled != r.number)
}

// justStarted returns the runs that have just started.
func justStarted(runs []*Run) []*Run {
	var out []*Run
	for _, r := range runs {
		if r.justStarted() {
			out = append(out, r)
		}
	}
	return out
}

// runTime returns for how long the run was known to run at the last answer of its instance, zero if
// it never was.
func (r *Run) runTime() time.Duration {
	if r.liveAt.IsZero() {
		return 0
	}
	return r.worker.lease.answeredAt.Sub(r.liveAt)
}

// allOfGang reports whether all runs belong to the gang of r, or r is the only one.
func allOfGang(runs []*Run, r *Run) bool {
	for _, o := range runs {
		if o != r && (!r.step().Gang || o.stepRef() != r.stepRef()) {
			return false
		}
	}
	return true
}

// countCrash counts the crash of an instance against the task of a run there; otherRuns is the
// number of other runs there.
func (s *Scheduler) countCrash(now time.Time, r *Run, how workload.CrashCase, otherRuns int) {
	e, t := r.entry, r.task()
	if t == nil || t.Phase == workload.Done || e.ended != "" || e.job.Stopping() {
		s.logLost(now, r, causeCrashed, otherRuns)
		return
	}
	seen := e.crashesOf(r.ref)
	if how == workload.CrashAlone && seen.on[r.worker.inc.Instance()] {
		how = workload.CrashAtStart // the instance itself may be the cause
	}
	seen.note(now, r.worker.inc.Instance())
	s.markDirty(e, true)
	verdict := e.job.Crash(r.ref, how)
	s.logLost(now, r, causeCrashed, otherRuns)
	if verdict == workload.CrashRetried {
		return
	}
	event.TaskGivenUp.Log(s.logger, slog.String("task", r.name), slog.Int("run", r.number),
		slog.Int("crashes", t.Crashes), slog.Int("startCrashes", t.StartCrashes), slog.Bool("alone", how == workload.CrashAlone), slog.Bool("jobFails", verdict == workload.CrashFailed))
	if verdict == workload.CrashFailed {
		s.stopAll(now, e, "instances have crashed under another task of its job")
	}
	s.endJobIfDone(now, e)
}

// logLost logs that a run has died with its instance; otherRuns is the number of other runs there.
func (s *Scheduler) logLost(now time.Time, r *Run, cause endCause, otherRuns int) {
	crashes := 0
	if t := r.task(); t != nil {
		crashes = t.Crashes
	}
	event.RunLost.Log(s.logger, slog.String("task", r.name), slog.Int("run", r.number),
		slog.String("incarnation", string(r.worker.inc.ID())), slog.String("cause", string(cause)),
		slog.Duration("sinceSeen", r.sinceSeen(now)), slog.Int("beside", otherRuns), slog.Int("crashes", crashes))
}

// sinceSeen returns how long ago the run was first seen to run, zero if it never was.
func (r *Run) sinceSeen(now time.Time) time.Duration {
	if r.liveAt.IsZero() {
		return 0
	}
	return now.Sub(r.liveAt)
}

// crashes holds the crashes that this owner has seen under a task.
type crashes struct {
	last time.Time
	// on holds the instances that crashed under the task. If one instance crashes twice and no other
	// does, the instance is the likely cause.
	on map[pointport.InstanceID]bool
}

func (c *crashes) note(now time.Time, on pointport.InstanceID) {
	c.last = now
	if on == "" {
		return // its registration was never seen
	}
	if c.on == nil {
		c.on = make(map[pointport.InstanceID]bool)
	}
	c.on[on] = true
}

func (e *entry) crashesOf(ref workload.TaskRef) *crashes {
	if e.crashed == nil {
		e.crashed = make(map[workload.TaskRef]*crashes)
	}
	if e.crashed[ref] == nil {
		e.crashed[ref] = &crashes{}
	}
	return e.crashed[ref]
}

// noteCrashOf counts a crash against the instance as if a run had failed there, so that an instance
// that crashes under any task is avoided in its next incarnation.
func (s *Scheduler) noteCrashOf(w *Worker, now time.Time) {
	if w.health.failed(now) {
		event.WorkerSuspected.Log(s.logger, slog.String("incarnation", string(w.inc.ID())),
			slog.Int("failures", w.health.failures), slog.Duration("avoidedFor", w.health.avoidFor))
	}
	if id := w.inc.Instance(); id != "" {
		s.crashedHealth[id] = w.health
	}
}

// restoreHealth gives the next incarnation of an instance that has crashed the health of the
// previous one.
func (s *Scheduler) restoreHealth(w *Worker, id pointport.InstanceID) {
	if h, ok := s.crashedHealth[id]; ok {
		w.health = h
		delete(s.crashedHealth, id)
	}
}

// mayReplace reports whether a task may be given to another instance although the outcome of its
// present run is not known. It may not if an instance may have crashed under it before: a task that
// crashes instances would otherwise crash another one every half second before the end of the first
// is known.
func (e *entry) mayReplace(ref workload.TaskRef) bool {
	return e.job.Task(ref).Crashes == 0 && e.replacedRuns[ref] == 0
}

func (e *entry) noteReplaced(r *Run) {
	if e.replacedRuns == nil {
		e.replacedRuns = make(map[workload.TaskRef]int)
	}
	r.replaced = true
	e.replacedRuns[r.ref]++
}
