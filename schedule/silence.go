package schedule

import (
	"errors"
	"log/slog"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/workload"
)

// This file defines what happens to the tasks on an instance that does not answer or has ended.

// PollFailed handles a poll of a worker that got no answer, or an answer that shows that the
// incarnation has ended.
func (s *Scheduler) PollFailed(w *Worker, now time.Time, err error) {
	s.checkFence(err)
	if w.ended {
		return // several polls may report the end, which is handled once
	}
	var gone *pointport.GoneError
	if errors.As(err, &gone) {
		s.replaced(w, now, gone)
		return
	}
	if !w.silent {
		event.WorkerSilent.Log(s.logger, slog.String("incarnation", string(w.inc.ID())),
			slog.Duration("expiresIn", w.lease.expiry().Sub(now)), slog.Any("error", err))
	}
	w.markSilent(now)
	var rejected *pointport.RejectedError
	w.pollRefused = errors.As(err, &rejected)
	if now.Sub(w.silentSince) > replaceAfter && s.reachability.fewAnswersSince.IsZero() {
		s.replaceRuns(now, w)
	}
}

// replaceAfter is for how long a worker must be silent before tasks of which copies may run
// concurrently are started elsewhere.
const replaceAfter = 500 * time.Millisecond

// replaceRuns requeues the tasks on a silent worker of which copies may run concurrently, so that
// they need not wait until the worker's lease expires.
func (s *Scheduler) replaceRuns(now time.Time, w *Worker) {
	for _, r := range w.runs {
		if r.step().Copies && !r.step().Gang && r.state != runUnstored && r.entry.runs[r.ref] == r && r.entry.mayReplace(r.ref) {
			event.TaskReturned.Log(s.logger, slog.String("task", r.name), slog.Int("run", r.number),
				slog.String("incarnation", string(w.inc.ID())), slog.String("reason", "its instance is silent, and a copy may run elsewhere"))
			s.detach(r)
			r.entry.noteReplaced(r)
			if r.state == runSent {
				// It is not known to run, so it is ruled out by a stop: a start order that arrives
				// later would run it although a copy may have finished.
				s.stop(now, r, "its task was given to another instance")
			}
			r.entry.job.Requeue(r.ref)
			s.markDirty(r.entry, true)
			s.endJobIfDone(now, r.entry)
		}
	}
}

// hasReplacedRun reports whether a worker has a run of a task that was replaced by a copy elsewhere
// and whose outcome is not known yet. A worker has at most one run of a task at a time, and the
// instance would refuse another one.
func (w *Worker) hasReplacedRun(t waitingTask) bool {
	return t.entry.replacedRuns[t.ref] > 0 && w.runs[workload.TaskName(t.entry.job.ID(), t.ref)] != nil
}

func (s *Scheduler) checkFence(err error) {
	var rejected *pointport.RejectedError
	if errors.As(err, &rejected) && rejected.Reason == pointport.RejectFence {
		s.fenced = true
	}
}

func (s *Scheduler) dropAll(w *Worker, now time.Time, reason string) {
	for _, r := range w.runs {
		s.drop(now, r, reason)
	}
	s.urgent = true
}

// expire drops the runs of a worker that has been silent until their execution lease expired. A run
// that may be on a later incarnation does not keep back the others.
//
// These runs have ended, but only the instance knows with what result. Silence of any length does
// not show it, and the owner may be the one that is cut off. So the task of a run that may have
// finished waits while its instance is registered and not known to be gone.
//
// While the owner suspects that it is isolated, it drops no run on a registered instance, including
// runs of serving tasks and of tasks that may run as copies: most instances are alive, and starts
// elsewhere would fail for the same reason.
//
// If neither side can reach the other, no task that may have finished starts again. While an
// instance answers nobody and keeps registering, its tasks wait without a time limit. The wait ends
// when a later incarnation of the instance appears, when the platform reports that the incarnation
// has ended, or when its registration ends.
func (s *Scheduler) expire(w *Worker, now time.Time) {
	gone := s.gone(w)
	var expired []*Run
	for _, r := range w.runs {
		if !now.After(s.runExpiry(r)) {
			continue
		}
		if r.mayBeOnLater() && r.mayBeDone() && s.anotherRegistered(w) {
			continue // that incarnation's report shows what became of it
		}
		if gone || !s.SuspectsIsolation() && !r.mayBeDone() {
			expired = append(expired, r)
		}
	}
	if len(expired) == 0 {
		return
	}
	event.WorkerExpired.Log(s.logger, slog.String("incarnation", string(w.inc.ID())), slog.Int("runs", len(expired)), slog.Int("unheard", len(w.runs)-len(expired)),
		slog.Bool("gone", gone), slog.Duration("sinceHeard", w.lease.sinceLastAnswer(now)))
	for _, r := range expired {
		w.mustRuleOut(r)
		w.expiredRuns = append(w.expiredRuns, r)
	}
	for _, r := range expired {
		s.drop(now, r, "its instance was silent until its time was over")
	}
	s.urgent = true
}

// mayBeDone reports whether a run may have ended with a result that forbids starting its task again.
// The end of a serving task has no result, copies may run concurrently, and tasks of a job that is
// stopping are not started again.
func (r *Run) mayBeDone() bool {
	return r.mayHaveBegun() && !r.detached() && !r.step().Service && !r.step().Copies && !r.entry.job.Stopping()
}

// ruleOutRetention is for how long after its lease has expired an unregistered worker is remembered
// if starts to it may be in flight. The platform documents that unanswered orders may be carried out
// seconds later; a minute is far longer.
const ruleOutRetention = time.Minute

// remembered reports whether a worker that is gone must be kept because starts to it may be in
// flight. If it came back as an unknown worker, its lease would be extended and it would carry them
// out.
func (w *Worker) remembered(now time.Time) bool {
	return len(w.startsToRuleOut) > 0 && !w.ended && now.Sub(w.lease.expiry()) < ruleOutRetention
}

// countUnproven counts the presumed crash of a worker that is gone against the tasks that were
// there. A crash is not proven, and a zone that is cut off may come back: counting it against all
// runs gave up a serving task, at work for 10 s each time, after two network partitions and one
// crash. So it counts only against runs that had just started, which may have caused the silence.
func (s *Scheduler) countUnproven(now time.Time, w *Worker) {
	if !w.ended && w.endCause(now) == causeCrashed {
		s.countCrashes(now, justStarted(w.expiredRuns), justStarted(w.expiredRuns), nil)
	}
	w.expiredRuns = nil
}

// sweep drops the runs of workers that have been silent until their lease expired, and forgets
// workers that are gone.
func (s *Scheduler) sweep(now time.Time) {
	var polled tally
	for id, w := range s.workers {
		polled.count(w)
		if (w.silent || !w.lease.clockKnown()) && s.anyRunExpired(w, now) {
			s.expire(w, now)
		}
		if len(w.runs) == 0 && !w.listed && (w.ended || now.After(w.lease.expiry())) {
			s.countUnproven(now, w)
			if !w.remembered(now) {
				delete(s.workers, id)
			}
		}
	}
	s.forgetOrders(now)
	s.updateReachability(now, polled)
	s.endedJobs.forget(now.Add(-s.settings.KeepEnded))
}
