package schedule

import (
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/workload"
)

// This file defines a run: one start of a task on one worker.

// A runState is the stage of a run.
type runState uint8

const (
	// runUnstored: the task is placed, but the placement is not stored yet, so no start was sent.
	runUnstored runState = iota
	// runSent: the start was released for sending, and no answer has settled its outcome.
	runSent
	// runLive: the instance has confirmed that the run is running.
	runLive
	// runAwaitingReport: the instance will not start the run any more. Whether it has run and ended
	// shows in the next report that is requested after reportAfter.
	runAwaitingReport
	// runInherited: a new owner found the run in the store. The worker's first report shows its
	// outcome.
	runInherited
)

// A Run is one start of a task on one worker.
type Run struct {
	entry  *entry
	ref    workload.TaskRef
	name   string
	number int
	worker *Worker
	state  runState

	placedAt time.Time
	// liveAt is when the instance first reported the run as running, liveClock what the instance's
	// clock showed then.
	liveAt    time.Time
	liveClock pointport.InstanceTime
	// inherited reports whether the run began under an earlier owner, at an unknown time.
	inherited bool
	// from is the first progress seen. It is above zero for a run that resumes from a checkpoint or
	// that began under an earlier owner.
	from        int
	reportAfter time.Time
	// unanswered counts the start orders without an answer that an instance may still carry out.
	unanswered int
	// unansweredAt is when a start order last got no answer.
	unansweredAt time.Time
	// resendAt is when a start without an answer is sent again.
	resendAt time.Time
	// startSent reports whether a start order was sent, so that the run may have begun.
	startSent bool
	// unrecorded reports whether the run has started, or was adopted, and no stored batch contains it
	// yet.
	unrecorded bool
	// listed reports whether a report of the worker's incarnation has listed the run. An answer to
	// a start does not prove that, because it may come from a later incarnation.
	listed bool
	// confirmed reports whether it is stored that the run is on the worker's incarnation; see
	// confirmRun.
	confirmed bool
	// uncertainty is set while it is not known whether the run died with an earlier incarnation or
	// is on its worker's.
	uncertainty *uncertainty
	// replaced reports whether the task was given to another instance while this one was silent.
	replaced bool
	// suspected reports whether an instance has crashed under an earlier run of the task.
	// quarantined reports whether so many have that nothing else is placed beside this run until it
	// has run long enough without a crash.
	suspected, quarantined bool
	// quarantineTime is how long after its start the run stays suspected and quarantined.
	quarantineTime time.Duration
	// stopping reports whether the run was ordered to stop; stopAgainAt is when the stop is sent
	// again.
	stopping    bool
	stopAgainAt time.Time
	stopReason  string
	// progress is the share of its work that the run has done, in percent. A serving task is ready
	// at 100.
	progress int
	load     int
	// progressAt is when a report first showed the present progress, progressClock what the
	// instance's clock showed then. reportClock is the instance's clock in the newest report of the
	// run.
	progressAt                 time.Time
	progressClock, reportClock pointport.InstanceTime
	// pace is the share of its work that the run was last ordered to do, in percent.
	pace int
	// ticket is the advisor's permission to use the worker.
	ticket string
}

// TaskRun returns the task name and run number by which the instance identifies the run.
func (r *Run) TaskRun() pointport.TaskRun { return pointport.TaskRun{Task: r.name, Run: r.number} }

// A stepRef identifies a step of one occurrence of one job.
type stepRef struct {
	entry   *entry
	k, step int
}

func (r *Run) stepRef() stepRef { return stepRef{r.entry, r.ref.Occurrence, r.ref.Step} }

func (r *Run) step() *workload.Step { return &r.entry.job.Spec().Steps[r.ref.Step] }

// startedAfter returns the time from the placement until the run was known to run, zero if it never
// was.
func (r *Run) startedAfter() time.Duration {
	if r.liveAt.IsZero() {
		return 0
	}
	return r.liveAt.Sub(r.placedAt)
}

// mayHaveBegun reports whether the instance may have started the run: this owner or an earlier one
// has sent a start order.
func (r *Run) mayHaveBegun() bool {
	return r.state != runUnstored && (r.state != runSent || r.startSent)
}

// atWork reports whether the run is one of a serving task that the last report showed at work.
func (r *Run) atWork() bool { return r.step().Service && r.progress >= atWork }

func (r *Run) task() *workload.Task { return r.entry.job.Task(r.ref) }
