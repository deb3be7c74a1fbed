package schedule

import (
	"log/slog"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/event"
	"github.com/pointport/pointport/workload"
)

// This file defines how reports of instances are processed.

// Report processes a report that came at now in answer to a poll sent at sent.
func (s *Scheduler) Report(w *Worker, sent, now time.Time, report pointport.Report) {
	if w.ended {
		s.noteAnswerAfterEnd(w, now)
		s.processEnds(w, now, report.Ended) // a task that is done must not run again
		return
	}
	s.endEarlierIncarnations(w, sent, now)
	s.boundFormerMisdirected(w, now)
	w.lease.observeClock(now, report.Clock)
	w.reportedAt = now
	w.answeredPollSentAt = laterTime(w.answeredPollSentAt, sent)
	w.fullyReported = w.fullyReported || len(report.Ended) < maxListedEnds
	w.silent = false // only a report clears this: the answer to an order does not show what runs there
	w.answeredUnlisted = w.answeredUnlisted || !w.listed
	w.expiredRuns = nil // the instance is alive, so it did not crash under them
	s.processEnds(w, now, report.Ended)
	s.processRunning(w, now, report)
	s.dropUnlisted(w, sent, now, report)
	s.stopStalledRuns(now, w)
	s.adjustPace(now, w)
}

// processEnds processes the ends that an instance lists.
func (s *Scheduler) processEnds(w *Worker, now time.Time, ends []pointport.TaskEnd) {
	for _, end := range ends {
		s.processEnd(w, now, end)
	}
}

// processRunning processes the list of runs that an instance reports as running.
func (s *Scheduler) processRunning(w *Worker, now time.Time, report pointport.Report) {
	w.strays = 0
	for _, row := range report.Running {
		r := w.runs[row.Task]
		if r == nil {
			r = s.adopt(w, now, row.TaskRun)
		}
		if r == nil || r.number != row.Run {
			w.strays++
			s.stopStray(w, row.TaskRun)
			continue
		}
		r.markListed()
		s.markLive(r, now, report.Clock)
		r.forgetLateStarts(now)
		s.confirmRun(now, r)
		if r.detached() {
			s.stop(now, r, "it no longer belongs to its job")
			continue
		}
		r.load = row.Load
		r.observeProgress(now, report.Clock, row.Progress)
		s.reviewSuspicion(now, r)
		if t := r.task(); t != nil && row.Checkpoint != "" {
			t.Checkpoint = row.Checkpoint
		}
	}
}

// markLive marks r as running at now; clock is the time on the instance's clock in the answer that
// shows it.
func (s *Scheduler) markLive(r *Run, now time.Time, clock pointport.InstanceTime) {
	if r.state == runAwaitingReport || r.state == runLive {
		return
	}
	r.inherited = r.state == runInherited
	r.state, r.liveAt = runLive, now
	r.liveClock, r.reportClock = clock, clock
	s.noteBegun(now, r)
}

// noteBegun records that a run of a job has started. The first one is logged, unless an earlier owner has
// started it.
func (s *Scheduler) noteBegun(now time.Time, r *Run) {
	before := r.entry.begun
	r.entry.begun = true
	if !before && !r.inherited {
		event.JobBegun.Log(s.logger, slog.String("job", r.entry.job.ID()), slog.String("task", r.name), slog.Int("run", r.number),
			slog.String("incarnation", string(r.worker.inc.ID())), slog.Duration("after", now.Sub(r.entry.job.FirstSubmitted())))
	}
}

// stopStray stops a run that no task is placed as.
func (s *Scheduler) stopStray(w *Worker, run pointport.TaskRun) {
	event.StrayRun.Log(s.logger, slog.String("task", run.Task), slog.Int("run", run.Run),
		slog.String("incarnation", string(w.inc.ID())), slog.String("elsewhere", string(s.runsOn(run.Task))))
	s.pendingOrders = append(s.pendingOrders, Order{Kind: OrderStop, Worker: w, TaskRun: run})
}

// runsOn returns the incarnation on which a task has a run, empty if it has none.
func (s *Scheduler) runsOn(task string) pointport.IncarnationID {
	id, ref, err := workload.ParseTaskName(task)
	if err != nil {
		return "" // not the name of a task
	}
	if e := s.jobs[id]; e != nil && e.runs[ref] != nil {
		return e.runs[ref].worker.inc.ID()
	}
	return ""
}

// dropUnlisted drops the runs that have ended because their instance no longer lists them. It does
// nothing if the report may omit ends.
func (s *Scheduler) dropUnlisted(w *Worker, sent, now time.Time, report pointport.Report) {
	if len(report.Ended) >= maxListedEnds {
		return
	}
	running := make(map[string]int, len(report.Running))
	for _, row := range report.Running {
		running[row.Task] = row.Run
	}
	for _, r := range w.runs {
		if running[r.name] == r.number {
			continue
		}
		gone := false
		switch {
		case r.state == runInherited:
			// The instance has seen this owner's fencing token by now, so an order of the earlier
			// owner cannot start the run any more.
			gone = true
		case r.state == runAwaitingReport:
			gone = sent.After(r.reportAfter)
		case r.uncertainty != nil:
			gone = s.notListedByLater(now, sent, r)
		case r.state == runLive:
			gone = sent.After(r.liveAt)
		}
		if gone {
			s.drop(now, r, "its instance does not list it")
		}
	}
}

// processEnd processes the end of a run.
func (s *Scheduler) processEnd(w *Worker, now time.Time, end pointport.TaskEnd) {
	r := w.runs[end.Task]
	if end.Number <= w.lastEnd {
		s.logKnownEnd(w, r, end)
		return
	}
	w.lastEnd = end.Number
	if r == nil {
		r = s.adopt(w, now, end.TaskRun)
	}
	if r == nil || r.number != end.Run {
		s.replacedRunEnded(w, now, end)
		return
	}
	event.RunEnded.Log(s.logger, slog.String("task", r.name), slog.Int("run", r.number),
		slog.String("incarnation", string(w.inc.ID())), slog.String("how", string(end.Kind)),
		slog.Duration("after", now.Sub(r.placedAt)), slog.Duration("startedAfter", r.startedAfter()))
	s.noteBegun(now, r)
	r.markListed()
	if r.detached() {
		s.removeRun(now, r)
		s.replacedRunEnded(w, now, end)
		return
	}
	if t := r.task(); t != nil && end.Checkpoint != "" {
		t.Checkpoint = end.Checkpoint
	}
	switch end.Kind {
	case pointport.EndDone:
		s.runEndedAsDone(now, r)
	case pointport.EndFailed:
		s.runFailed(now, r)
	default:
		s.drop(now, r, string(end.Kind))
	}
	s.noteUnstored(w, r.entry)
}

// logKnownEnd logs an end that is skipped as already processed although its run is still on the
// worker. That is unexpected, because processing an end removes the run; r may be nil.
func (s *Scheduler) logKnownEnd(w *Worker, r *Run, end pointport.TaskEnd) {
	if r == nil || r.number != end.Run {
		return
	}
	event.RunEndAlreadySeen.Log(s.logger, slog.String("task", r.name), slog.Int("run", r.number), slog.String("incarnation", string(w.inc.ID())),
		slog.String("how", string(end.Kind)), slog.Int64("number", end.Number), slog.Int64("seen", w.lastEnd))
}

// noteUnstored records that a run of a job has ended on a worker, if the end has changed the job.
func (s *Scheduler) noteUnstored(w *Worker, e *entry) {
	if _, changed := s.dirty[e]; !changed {
		return
	}
	e.endedOn = append(e.endedOn, w)
	w.unstored++
}

// replacedRunEnded processes the end of a run that is no longer current for its task. If it
// succeeded, the task is done and must not be started again; on an instance that was silent until
// its lease ended, a run may have ended before that. A failure counts like that of any run;
// otherwise a task that fails each time would be started more often than its limit of failed runs
// allows.
func (s *Scheduler) replacedRunEnded(w *Worker, now time.Time, end pointport.TaskEnd) {
	if end.Kind != pointport.EndDone && end.Kind != pointport.EndFailed {
		return
	}
	id, ref, err := workload.ParseTaskName(end.Task)
	e := s.jobs[id]
	if err != nil || e == nil || e.ended != "" {
		return
	}
	t := e.job.Task(ref)
	if t == nil || t.Phase == workload.Done {
		return
	}
	step := &e.job.Spec().Steps[ref.Step]
	if end.Kind == pointport.EndFailed {
		s.replacedRunFailed(w, now, e, ref, end.Run)
		return
	}
	if step.Service {
		return
	}
	s.finishByReplacedRun(now, e, gangTasks(step, ref))
	s.noteUnstored(w, e)
}

// finishByReplacedRun marks tasks as done by runs that were replaced, and stops their present runs.
func (s *Scheduler) finishByReplacedRun(now time.Time, e *entry, refs []workload.TaskRef) {
	for _, ref := range refs {
		if present := e.runs[ref]; present != nil {
			s.stop(now, present, "an earlier run of its task has ended")
			s.detach(present)
		}
	}
	stepDone := false
	for _, ref := range refs {
		if t := e.job.Task(ref); t != nil && t.Phase != workload.Done {
			stepDone = e.job.Finish(ref) || stepDone
		}
	}
	s.markDirty(e, stepDone)
	s.endJobIfDone(now, e)
}

// gangTasks returns the tasks that are done when ref is done: all tasks of a gang, because its
// members end as done together, or ref alone.
func gangTasks(step *workload.Step, ref workload.TaskRef) []workload.TaskRef {
	if !step.Gang {
		return []workload.TaskRef{ref}
	}
	out := make([]workload.TaskRef, step.Count)
	for i := range out {
		out[i] = ref
		out[i].Index = i
	}
	return out
}

// replacedRunFailed counts the failure of a run that was replaced.
func (s *Scheduler) replacedRunFailed(w *Worker, now time.Time, e *entry, ref workload.TaskRef, run int) {
	if e.job.Stopping() || e.job.Spec().Steps[ref.Step].Service {
		return
	}
	before := e.job.Task(ref).Failures
	jobFailed := e.job.FailReplacedRun(ref, run)
	if e.job.Task(ref).Failures == before {
		return // this failure is already counted
	}
	event.RunEnded.Log(s.logger, slog.String("task", workload.TaskName(e.job.ID(), ref)), slog.Int("run", run),
		slog.String("incarnation", string(w.inc.ID())), slog.String("how", string(pointport.EndFailed)), slog.Bool("givenUp", true))
	s.markDirty(e, true)
	s.noteUnstored(w, e)
	if jobFailed {
		s.stopAll(now, e, "an earlier run of its task has failed, and the limit of failed runs is reached")
	}
	s.endJobIfDone(now, e)
}

// runEndedAsDone handles the end as done of the current run of a task.
func (s *Scheduler) runEndedAsDone(now time.Time, r *Run) {
	if r.step().Service {
		s.servingRunDone(now, r)
		return
	}
	s.runDone(now, r)
}

// runDone handles the end as done of a run of a task that is done by it.
func (s *Scheduler) runDone(now time.Time, r *Run) {
	if !r.liveAt.IsZero() && !r.inherited && r.from == 0 {
		s.estimates.observe(r.entry.job.Queue(), r.step(), now.Sub(r.liveAt))
		r.entry.addDuration(stepKey{r.ref.Occurrence, r.ref.Step}, now.Sub(r.liveAt))
	}
	if r.worker.health.succeeded() {
		event.WorkerCleared.Log(s.logger, slog.String("incarnation", string(r.worker.inc.ID())))
	}
	s.removeRun(now, r)
	t := r.task()
	if t == nil || t.Phase == workload.Done {
		return
	}
	if r.step().Gang {
		s.gangDone(now, r)
		return
	}
	stepDone := r.entry.job.Finish(r.ref)
	s.markDirty(r.entry, stepDone)
	s.endJobIfDone(now, r.entry)
}

func (s *Scheduler) runFailed(now time.Time, r *Run) {
	if r.worker.health.failed(now) {
		event.WorkerSuspected.Log(s.logger, slog.String("incarnation", string(r.worker.inc.ID())),
			slog.Int("failures", r.worker.health.failures), slog.Duration("avoidedFor", r.worker.health.avoidFor))
	}
	s.removeRun(now, r)
	if r.task() == nil {
		return
	}
	jobFailed := r.entry.job.Fail(r.ref, r.number)
	r.entry.avoidFailedWorker(r.ref, now)
	s.markDirty(r.entry, true)
	switch {
	case jobFailed:
		s.stopAll(now, r.entry, "another task of its job has failed too often")
	case r.step().Gang:
		s.stopRestOfGang(now, r, "another member of its gang has failed")
	}
	s.endJobIfDone(now, r.entry)
}
