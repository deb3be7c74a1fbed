package schedule

import (
	"log/slog"
	"time"

	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/workload"
)

// This file defines how an owner notices and logs that a serving task is away, and why.
//
// A serving task that has run before is away while no instance that answers runs it. It may wait for
// a place, for the answer to its start, or for proof that its last run has ended. Without these log
// lines a task that waits for proof looks like one that runs.

const (
	// awayCheckInterval is the time between two checks for serving tasks that are away.
	awayCheckInterval = 500 * time.Millisecond
	// awayLogAfter is how long a serving task must be away before that is logged. Most tasks that
	// are moved or lose their instance are back within this time.
	awayLogAfter = 3 * time.Second
	// awayLogInterval is the least time between two such log lines about a task.
	awayLogInterval = 3 * time.Second
	// maxAwayLines bounds the lines of one check: to explain a wait takes as long as to look at each
	// instance. The other tasks are logged at the next checks.
	maxAwayLines = 5
)

// An awayReason is the reason why a serving task is away.
type awayReason string

const (
	awayGivenUp  awayReason = "givenUp"  // it is not started again, because instances crash under it
	awayUnproven awayReason = "unproven" // its instance does not answer, and its run may go on there
	awayStarting awayReason = "starting" // it was placed, and is not known to run yet
	awayWaiting  awayReason = "waiting"  // it waits for a place
)

// An absence is the time for which a serving task has been away.
type absence struct {
	since    time.Time
	loggedAt time.Time // when it was last logged, zero before the first time
}

// checkAway notes which serving tasks are away, and logs those that have been for a while.
func (s *Scheduler) checkAway(now time.Time) {
	if now.Sub(s.awayCheckedAt) < awayCheckInterval {
		return
	}
	since := s.awayCheckedAt // what is away now may have been since then
	if since.IsZero() {
		since = now
	}
	s.awayCheckedAt, s.awayLines = now, 0
	s.awaitsProof = s.HoldsBack() || s.anyUnprovenRun()
	for e := range s.serving {
		if e.ended == "" && !e.job.Stopping() {
			s.checkAwayTasks(now, since, e)
		}
	}
}

// AwaitsProof reports whether tasks waited for proof that their last run has ended, or that they have no
// run that the previous owner left unrecorded, when that was last checked.
func (s *Scheduler) AwaitsProof() bool { return s.awaitsProof }

// anyUnprovenRun reports whether any run may or may not go on, because its instance does not answer.
func (s *Scheduler) anyUnprovenRun() bool {
	for _, w := range s.workers {
		for _, r := range w.runs {
			if r.unproven() {
				return true
			}
		}
	}
	return false
}

// unproven reports whether a run may or may not go on, because its instance does not answer.
func (r *Run) unproven() bool { return r.worker.silent || r.state == runInherited }

// checkAwayTasks checks the serving tasks of a job.
func (s *Scheduler) checkAwayTasks(now, since time.Time, e *entry) {
	e.visitStarted(func(ref workload.TaskRef, _ *workload.Step, _ []workload.Task) {
		s.checkAwayTask(now, since, e, ref)
	})
}

func (s *Scheduler) checkAwayTask(now, since time.Time, e *entry, ref workload.TaskRef) {
	a := e.away[ref]
	if e.runs[ref].seenRunning() {
		if a != nil {
			s.logBack(now, e, ref, a)
			delete(e.away, ref)
		}
		return
	}
	if a == nil {
		if e.away == nil {
			e.away = make(map[workload.TaskRef]*absence)
		}
		a = &absence{since: since}
		e.away[ref] = a
	}
	if now.Sub(a.since) >= awayLogAfter && now.Sub(a.loggedAt) >= awayLogInterval && s.awayLines < maxAwayLines {
		a.loggedAt = now
		s.awayLines++
		s.logAway(now, e, ref, a)
	}
}

// seenRunning reports whether a run is known to run on an instance that answers; r may be nil.
func (r *Run) seenRunning() bool {
	return r != nil && r.state == runLive && !r.worker.silent
}

// awayReason returns why a serving task that is not seen running is away.
func (e *entry) awayReason(ref workload.TaskRef) awayReason {
	r := e.runs[ref]
	switch {
	case r == nil && e.job.Task(ref).Phase == workload.GivenUp:
		return awayGivenUp
	case r == nil:
		return awayWaiting
	case r.unproven():
		return awayUnproven
	}
	return awayStarting
}

func (s *Scheduler) logAway(now time.Time, e *entry, ref workload.TaskRef, a *absence) {
	t, reason := e.job.Task(ref), e.awayReason(ref)
	attrs := []slog.Attr{
		slog.String("task", workload.TaskName(e.job.ID(), ref)), slog.Int("run", t.Run),
		slog.String("reason", string(reason)), slog.Duration("away", now.Sub(a.since)), slog.Int("crashes", t.Crashes),
	}
	if r := e.runs[ref]; r != nil {
		attrs = append(attrs, slog.String("incarnation", string(r.worker.inc.ID())), slog.Bool("uncertain", r.uncertain()),
			slog.Duration("sinceHeard", r.worker.lease.sinceLastAnswer(now)), slog.Duration("expiresIn", s.runExpiry(r).Sub(now)))
	}
	if reason == awayWaiting {
		attrs = append(attrs, slog.String("wait", s.explainWait(now, waitingTask{e, ref, &e.job.Spec().Steps[ref.Step]}, 1)))
	}
	event.ServingTaskAway.Log(s.logger, attrs...)
}

// logBack logs that a serving task runs again, if its absence was long enough to be logged.
func (s *Scheduler) logBack(now time.Time, e *entry, ref workload.TaskRef, a *absence) {
	if a.loggedAt.IsZero() {
		return
	}
	r := e.runs[ref]
	event.ServingTaskBack.Log(s.logger, slog.String("task", r.name), slog.Int("run", r.number),
		slog.String("incarnation", string(r.worker.inc.ID())), slog.Duration("after", now.Sub(a.since)))
}

// awayFor reports whether a serving task is known to have been away for a time.
func (e *entry) awayFor(ref workload.TaskRef, now time.Time, d time.Duration) bool {
	a := e.away[ref]
	return a != nil && now.Sub(a.since) >= d
}
