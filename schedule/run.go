package schedule

import (
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/workload"
)

// This file defines a run: one start of a task on one worker.

// A runState says how far a run has come.
type runState uint8

const (
	// runUnstored: placed, but not stored yet, so nothing has been sent.
	runUnstored runState = iota
	// runSent: the start order was sent and no answer has settled it.
	runSent
	// runLive: the instance has said that it runs.
	runLive
	// runAwaitingReport: the instance will not start it any more; whether it has run
	// and ended shows in the next report that was asked for after settleAfter.
	runAwaitingReport
	// runInherited: found in the store by a new owner; the worker's first report
	// shows what became of it.
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
	// liveAt is when the instance was first seen to run it, liveClock what its clock showed.
	liveAt    time.Time
	liveClock pointport.InstanceClock
	// inherited says that the run began under an earlier owner, at a time that is
	// not known.
	inherited bool
	// from is the progress that was seen first: of a run that resumes, or that
	// began under an earlier owner.
	from        int
	settleAfter time.Time
	// unanswered counts the start orders without an answer. If there is one, the
	// instance may still carry it out later.
	unanswered int
	// resendAt is when a start without an answer is ordered again.
	resendAt time.Time
	// startSent says that the start order was sent, so that the run may have begun.
	startSent bool
	// listed says that a report of its worker's life has listed it: the answer to a start may be
	// of a later life.
	listed bool
	// uncertainty is set while it is not known whether the run died with a former life or is on
	// its worker's.
	uncertainty *uncertainty
	// abandoned says that its task was given to another instance while this one was
	// silent.
	abandoned bool
	// suspected says that an instance has crashed under an earlier run of the task,
	// quarantined that so many have that nothing else is placed beside this one until
	// it has shown that it crashes nothing.
	suspected, quarantined bool
	// apartFor is for how long after its start it counts as such.
	apartFor time.Duration
	// stopping says that the run was ordered to stop, stopAgainAt when it is to be again.
	stopping    bool
	stopAgainAt time.Time
	stopReason  string
	// progress is how much of its work the run has done, in percent; a serving
	// task is at work at 100.
	progress int
	load     int
	// movedAt is when a report first showed the progress, movedClock what the instance's
	// clock showed then, and shownAt what it showed in the newest report of the run.
	movedAt             time.Time
	movedClock, shownAt pointport.InstanceClock
	// pace is the share of its work that the run was last told to do.
	pace int
	// ticket is the permission to use the worker.
	ticket string
}

// TaskRun returns the names under which the instance knows the run.
func (r *Run) TaskRun() pointport.TaskRun { return pointport.TaskRun{Task: r.name, Run: r.number} }

// A stepRef names a step of one occurrence of one job.
type stepRef struct {
	entry   *entry
	k, step int
}

func (r *Run) stepRef() stepRef { return stepRef{r.entry, r.ref.Occurrence, r.ref.Step} }

func (r *Run) step() *workload.Step { return &r.entry.job.Spec().Steps[r.ref.Step] }

// startedAfter returns how long after its placement the run was known to run, zero
// if it never was.
func (r *Run) startedAfter() time.Duration {
	if r.liveAt.IsZero() {
		return 0
	}
	return r.liveAt.Sub(r.placedAt)
}

// mayHaveBegun reports whether the instance may have started the run: it was ordered, by this
// owner or an earlier one.
func (r *Run) mayHaveBegun() bool {
	return r.state != runUnstored && (r.state != runSent || r.startSent)
}

func (r *Run) task() *workload.Task { return r.entry.job.Task(r.ref) }
