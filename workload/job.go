package workload

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pointport/pointport"
)

// This file defines an accepted job and the progress of its tasks.

// A Policy is the operator's configuration for the jobs of a queue.
type Policy struct {
	// Priority 0 is the highest. Its jobs are scheduled first and may preempt others.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is how many runs of a task may fail before its job fails.
	MaxAttempts int `json:"maxAttempts"`
	// A job should take at most Stretch times the duration of its critical path, plus
	// Target.
	Stretch float64       `json:"stretch"`
	Target  time.Duration `json:"target"`
	// Advised reports whether the queue's tasks may run only on instances that the
	// advisor allows.
	Advised bool `json:"advised,omitempty"`
}

// A Phase is the state of a task.
type Phase uint8

// The phases of a task.
const (
	Pending Phase = iota // waits for its turn, for free capacity, or for a retry
	Placed               // was given to an incarnation, which may be running it
	Done                 // has ended successfully
	GivenUp              // is not started again, because instances crash under it
)

// A Task is the state of one task of a step.
type Task struct {
	Phase Phase
	// Run is the number of the last start, zero before the first one.
	Run int
	// On is the incarnation that a placed task was given to, or on which a pending
	// task failed last.
	On pointport.IncarnationID
	// Failures is the number of failed runs, and FailedRuns contains their numbers, so that
	// no run is counted twice. FailedRuns is empty for serving tasks, which may fail any
	// number of times. It is also empty in progress stored by an earlier version of the
	// program, which counted failures but did not record their run numbers.
	Failures   int
	FailedRuns []int
	// Crashes is the number of instances that crashed while they had a run of the task.
	Crashes int
	// StartCrashes counts, for a serving task, the consecutive crashes of instances on which its run
	// was not yet at work. Only these count towards giving it up.
	StartCrashes int
	// Settled is the number of a run that has been running for a while. It is set only for a
	// task under which an instance has crashed. If the instance of the settled run crashes as
	// well, that crash did not follow the start of the run.
	Settled int
	// Confirmed is the number of a run of a serving task that its incarnation has listed, so that
	// no later incarnation of the addressee can have it.
	Confirmed int
	// Misdirected is the number of a run of a serving task that orders which were meant for an
	// earlier incarnation of its addressee may extend.
	Misdirected int
	// Checkpoint is the last saved progress, empty if there is none.
	Checkpoint string
}

// An Occurrence is the progress of one execution of all steps.
type Occurrence struct {
	Index int
	Steps [][]Task
	// left is the number of tasks of each step that are not done.
	left []int
}

// A Job is an accepted job with its progress.
type Job struct {
	id        string
	queue     string
	customer  string
	policy    Policy
	spec      *Spec
	submitted time.Time
	age       time.Duration // at the acceptance, since the first submission
	cancelled bool
	failed    bool
	// occurrences contains those that have begun and are not completed.
	occurrences map[int]*Occurrence
	// next is the index of the first occurrence that has not begun.
	next int
	// completed is the number of completed occurrences.
	completed int
}

// An Option configures a new Job.
type Option func(*Job)

// WithCustomer sets the customer to which the job belongs.
func WithCustomer(customer string) Option { return func(j *Job) { j.customer = customer } }

// New returns a job that has not begun.
func New(id, queue string, policy Policy, spec *Spec, submitted time.Time, options ...Option) *Job {
	j := &Job{
		id: id, queue: queue, policy: policy, spec: spec, submitted: submitted,
		occurrences: make(map[int]*Occurrence),
	}
	for _, o := range options {
		o(j)
	}
	return j
}

// ID returns the job's ID, which its customer chose.
func (j *Job) ID() string { return j.id }

// Queue returns the name of the queue to which the job was submitted.
func (j *Job) Queue() string { return j.queue }

// Customer returns the name of the job's customer, empty if its caller gave no API key.
func (j *Job) Customer() string { return j.customer }

// Policy returns the queue's policy at the time when the job was accepted.
func (j *Job) Policy() Policy { return j.policy }

// Spec returns the submitted job. It must not be changed.
func (j *Job) Spec() *Spec { return j.spec }

// Cancelled reports whether the customer has cancelled the job.
func (j *Job) Cancelled() bool { return j.cancelled }

// Cancel records that the customer has cancelled the job. Its placed tasks stay placed.
func (j *Job) Cancel() { j.cancelled = true }

// Failed reports whether the job has failed, because a task has failed or crashed instances as
// often as it may.
func (j *Job) Failed() bool { return j.failed }

// Stopping reports whether the job was cancelled or has failed, so that none of its tasks may
// start any more.
func (j *Job) Stopping() bool { return j.cancelled || j.failed }

// maxOpenTasks limits the tasks of a job's occurrences that are in progress at the same time.
// The next occurrence begins when an earlier one is completed. The limit is four times that of
// one occurrence. Without it, a job that repeats a thousand million times without a pause would
// exhaust the memory of its owner, and of the next owner, before its first task has run.
const maxOpenTasks = 4 * MaxTasks

// atTaskLimit reports whether no further occurrence may begin because of maxOpenTasks.
func (j *Job) atTaskLimit() bool {
	return len(j.occurrences) > 0 && (len(j.occurrences)+1)*j.spec.tasks() > maxOpenTasks
}

// BeginDue creates the tasks of the occurrences that are due at now. It reports
// whether there were any.
func (j *Job) BeginDue(now time.Time) bool {
	started := false
	for j.next < j.spec.Occurrences() && !j.Stopping() && !j.atTaskLimit() {
		if due := j.spec.Due(j.next); due.After(now) {
			break
		}
		j.occurrences[j.next] = newOccurrence(j.next, j.spec)
		j.next++
		started = true
	}
	return started
}

// NextDue returns when the next occurrence is due; false if none can begin now.
func (j *Job) NextDue() (time.Time, bool) {
	if j.next >= j.spec.Occurrences() || j.Stopping() || j.atTaskLimit() {
		return time.Time{}, false
	}
	return j.spec.Due(j.next), true
}

func newOccurrence(k int, spec *Spec) *Occurrence {
	o := &Occurrence{Index: k, Steps: make([][]Task, len(spec.Steps)), left: make([]int, len(spec.Steps))}
	for n := range spec.Steps {
		o.Steps[n] = make([]Task, spec.Steps[n].Count)
		o.left[n] = spec.Steps[n].Count
	}
	return o
}

// Occurrences calls visit for each occurrence in progress, in no particular order.
func (j *Job) Occurrences(visit func(*Occurrence)) {
	for _, o := range j.occurrences {
		visit(o)
	}
}

// Occurrence returns the occurrence with index k, or nil if it is not in progress.
func (j *Job) Occurrence(k int) *Occurrence { return j.occurrences[k] }

// Ready reports whether every step on which step n of o depends is done.
func (j *Job) Ready(o *Occurrence, n int) bool {
	for _, a := range j.spec.Steps[n].After {
		if o.left[a] > 0 {
			return false
		}
	}
	return true
}

// Remaining returns the number of tasks of step n that are not done.
func (o *Occurrence) Remaining(n int) int { return o.left[n] }

// Task returns the task that ref identifies, or nil if its occurrence is not in
// progress.
func (j *Job) Task(ref TaskRef) *Task {
	o := j.occurrences[ref.Occurrence]
	if o == nil || ref.Step >= len(o.Steps) || ref.Index >= len(o.Steps[ref.Step]) {
		return nil
	}
	return &o.Steps[ref.Step][ref.Index]
}

// Place records that a task was given to an incarnation under a run number.
func (j *Job) Place(ref TaskRef, on pointport.IncarnationID, run int) {
	t := j.Task(ref)
	t.Phase, t.On, t.Run = Placed, on, run
}

// Requeue makes a placed task pending again.
func (j *Job) Requeue(ref TaskRef) {
	t := j.Task(ref)
	t.Phase, t.On = Pending, ""
}

// Finish records that a task is done, and reports whether its step is done as well.
func (j *Job) Finish(ref TaskRef) (stepDone bool) {
	t := j.Task(ref)
	t.Phase, t.On, t.Checkpoint, t.Crashes, t.StartCrashes = Done, "", "", 0, 0
	o := j.occurrences[ref.Occurrence]
	o.left[ref.Step]--
	if o.left[ref.Step] > 0 {
		return false
	}
	if o.done() {
		delete(j.occurrences, ref.Occurrence)
		j.completed++
	}
	return true
}

func (o *Occurrence) done() bool {
	for _, n := range o.left {
		if n > 0 {
			return false
		}
	}
	return true
}

// Fail records that a run of a task has failed, and makes the task pending again. It
// reports whether the job has now failed.
func (j *Job) Fail(ref TaskRef, run int) bool {
	j.Task(ref).Phase = Pending // On keeps the incarnation on which it failed
	return j.countFailure(ref, run)
}

// FailReplacedRun records that a run of a task has failed that was replaced by a later run before
// its end was known. The task's phase does not change. It reports whether the job has now failed.
func (j *Job) FailReplacedRun(ref TaskRef, run int) bool {
	t := j.Task(ref)
	if len(t.FailedRuns) != t.Failures || run > t.Run {
		return false // the numbers of the counted runs are not known, or the run is not one of this job
	}
	return j.countFailure(ref, run)
}

// countFailure counts a failed run at most once, and reports whether the job has now failed.
func (j *Job) countFailure(ref TaskRef, run int) bool {
	t, step := j.Task(ref), &j.spec.Steps[ref.Step]
	if step.Service {
		t.Failures++
		return false
	}
	if slices.Contains(t.FailedRuns, run) {
		return false
	}
	t.Failures++
	t.FailedRuns = append(t.FailedRuns, run)
	if step.Gang {
		// All tasks of a gang fail together.
		members := j.occurrences[ref.Occurrence].Steps[ref.Step]
		for i := range members {
			members[i].Failures, members[i].FailedRuns = t.Failures, slices.Clone(t.FailedRuns)
		}
	}
	if t.Failures < j.policy.MaxAttempts {
		return false
	}
	j.failed = true
	return true
}

// PlacedTasks returns the number of placed tasks.
func (j *Job) PlacedTasks() int {
	n := 0
	for _, o := range j.occurrences {
		for _, step := range o.Steps {
			for i := range step {
				if step[i].Phase == Placed {
					n++
				}
			}
		}
	}
	return n
}

// A Status is the state of a job as its customer sees it.
type Status string

// The states of a job.
const (
	Queued    Status = "queued"
	Running   Status = "running"
	Completed Status = "completed"
	Failed    Status = "failed"
	Cancelled Status = "cancelled"
)

// Ended reports whether the status is final.
func (s Status) Ended() bool { return s == Completed || s == Failed || s == Cancelled }

// Status returns the state of the job as its customer sees it. A cancelled or failed
// job is running until none of its tasks is placed any more.
func (j *Job) Status() Status {
	switch {
	case j.completed == j.spec.Occurrences():
		return Completed
	case j.Stopping() && j.PlacedTasks() > 0:
		return Running
	case j.cancelled:
		return Cancelled
	case j.failed:
		return Failed
	case j.Begun():
		return Running
	}
	return Queued
}

// Begun reports whether any task has ever been given to an instance.
func (j *Job) Begun() bool {
	if j.completed > 0 {
		return true
	}
	for _, o := range j.occurrences {
		for _, step := range o.Steps {
			for i := range step {
				if step[i].Run > 0 {
					return true
				}
			}
		}
	}
	return false
}

// HasStarted reports whether the progress shows that an instance has started a task of the job. A task that
// was only given to one may not have started there.
func (j *Job) HasStarted() bool {
	if j.completed > 0 {
		return true
	}
	for _, o := range j.occurrences {
		for _, step := range o.Steps {
			if slices.ContainsFunc(step, func(t Task) bool { return t.hasStarted() }) {
				return true
			}
		}
	}
	return false
}

// hasStarted reports whether the state of the task shows that an instance has started it.
func (t *Task) hasStarted() bool {
	return t.Phase == Done || t.Failures > 0 || t.Crashes > 0 || t.Confirmed > 0 || t.Checkpoint != ""
}

// A TaskRef identifies a task within its job.
type TaskRef struct {
	Occurrence, Step, Index int
}

// TaskName returns the name by which instances know a task.
func TaskName(job string, ref TaskRef) string {
	return job + "." + strconv.Itoa(ref.Occurrence) + "." + strconv.Itoa(ref.Step) + "." + strconv.Itoa(ref.Index)
}

// StepName returns the name by which the advisor knows a step.
func StepName(job string, ref TaskRef) string {
	return job + "." + strconv.Itoa(ref.Occurrence) + "." + strconv.Itoa(ref.Step)
}

// taskNameParts is the number of parts of a task name: a job ID and three numbers.
const taskNameParts = 4

// ParseTaskName returns the job ID and the task that a name identifies.
func ParseTaskName(name string) (string, TaskRef, error) {
	parts := strings.Split(name, ".")
	if len(parts) != taskNameParts {
		return "", TaskRef{}, fmt.Errorf("task name %q has %d parts, want %d", name, len(parts), taskNameParts)
	}
	var numbers [taskNameParts - 1]int
	for n, part := range parts[1:] {
		v, err := strconv.Atoi(part)
		if err != nil || v < 0 {
			return "", TaskRef{}, fmt.Errorf("task name %q: %q is not a non-negative integer", name, part)
		}
		numbers[n] = v
	}
	return parts[0], TaskRef{numbers[0], numbers[1], numbers[2]}, nil
}

// Incarnations returns the incarnations that placed tasks were given to. It has one element
// for each placed task.
func (j *Job) Incarnations() []pointport.IncarnationID {
	var out []pointport.IncarnationID
	for _, o := range j.occurrences {
		for _, step := range o.Steps {
			for i := range step {
				if step[i].Phase == Placed {
					out = append(out, step[i].On)
				}
			}
		}
	}
	return out
}
