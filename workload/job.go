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

// A Policy is what the operator's configuration says of the jobs of a queue.
type Policy struct {
	// Priority 0 comes first and may preempt others.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is how often a task may fail.
	MaxAttempts int `json:"maxAttempts"`
	// Stretch times the longest chain of a job's work, plus Target, is how long
	// the job should take at most.
	Stretch float64       `json:"stretch"`
	Target  time.Duration `json:"target"`
	// Advised says that the queue's tasks may run only where the advisor says.
	Advised bool `json:"advised,omitempty"`
}

// A Phase says how far a task has come.
type Phase uint8

// The phases of a task.
const (
	Pending Phase = iota // waits for its turn, for room, or for another try
	Placed               // was given to an incarnation, which may run it
	Done                 // has ended well
	GivenUp              // is not started again, because instances crash under it
)

// A Task is one task of a step.
type Task struct {
	Phase Phase
	// Run is the number of the last start, zero before the first.
	Run int
	// On is the incarnation that a placed task was given to, or on which a pending
	// one has failed last.
	On pointport.IncarnationID
	// Failures counts the runs that have failed, and FailedRuns has their numbers, so that
	// none counts twice. Serving tasks may fail as often as they do and have none. Progress
	// that an earlier version has stored counts failures and does not number them.
	Failures   int
	FailedRuns []int
	// Crashes counts the instances that have crashed while a run of the task was there.
	Crashes int
	// Settled is the number of a run that has run for a while, of a task under which an
	// instance has crashed: if its instance crashes, too, that run had not just been started.
	Settled int
	// Checkpoint is the last saved progress, empty for none.
	Checkpoint string
}

// An Occurrence is the progress of one run of all steps.
type Occurrence struct {
	Index int
	Steps [][]Task
	// left counts the tasks of each step that are not done.
	left []int
}

// A Job is an accepted job.
type Job struct {
	id        string
	queue     string
	customer  string
	policy    Policy
	spec      *Spec
	submitted time.Time
	cancelled bool
	failed    bool
	// occurrences holds those that have begun and are not over.
	occurrences map[int]*Occurrence
	// next is the first occurrence that has not begun.
	next int
	// over counts the occurrences that are done.
	over int
}

// An Option changes a Job that is made.
type Option func(*Job)

// WithCustomer names the customer whose the job is.
func WithCustomer(customer string) Option { return func(j *Job) { j.customer = customer } }

// New returns a job none of whose tasks has begun.
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

// ID returns the job's identity, which its customer chose.
func (j *Job) ID() string { return j.id }

// Queue returns the name of the queue that the job came by.
func (j *Job) Queue() string { return j.queue }

// Customer returns the name of whose the job is, empty if its caller showed no key.
func (j *Job) Customer() string { return j.customer }

// Policy returns what held for the queue when the job was accepted.
func (j *Job) Policy() Policy { return j.policy }

// Spec returns what was submitted. It must not be changed.
func (j *Job) Spec() *Spec { return j.spec }

// Submitted returns when the job was accepted.
func (j *Job) Submitted() time.Time { return j.submitted }

// Cancelled reports whether the customer has cancelled the job.
func (j *Job) Cancelled() bool { return j.cancelled }

// Cancel notes that the customer does not want the job any more.
func (j *Job) Cancel() { j.cancelled = true }

// Failed reports whether a task has failed as often as it may.
func (j *Job) Failed() bool { return j.failed }

// Stopping reports whether no task of the job may start any more.
func (j *Job) Stopping() bool { return j.cancelled || j.failed }

// mostOpenTasks bounds the tasks of the occurrences of a job that are under way at once;
// the next one begins when an earlier one is over. It is four times what one occurrence
// may have. A job that repeats a thousand million times without a pause would fill the
// memory of its owner, and of the next one, before its first task has run.
const mostOpenTasks = 4 * MaxTasks

// full reports whether no further occurrence may begin.
func (j *Job) full() bool {
	return len(j.occurrences) > 0 && (len(j.occurrences)+1)*j.spec.tasks() > mostOpenTasks
}

// BeginDue makes the tasks of the occurrences that are due by now. It reports
// whether there were any.
func (j *Job) BeginDue(now time.Time) bool {
	begun := false
	for j.next < j.spec.Occurrences() && !j.Stopping() && !j.full() {
		if due := j.spec.Due(j.next); due.After(now) {
			break
		}
		j.occurrences[j.next] = newOccurrence(j.next, j.spec)
		j.next++
		begun = true
	}
	return begun
}

// NextDue returns when the next occurrence is due; false if there is none.
func (j *Job) NextDue() (time.Time, bool) {
	if j.next >= j.spec.Occurrences() || j.Stopping() || j.full() {
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

// Occurrences calls visit for each occurrence under way.
func (j *Job) Occurrences(visit func(*Occurrence)) {
	for _, o := range j.occurrences {
		visit(o)
	}
}

// Occurrence returns an occurrence under way, or nil.
func (j *Job) Occurrence(k int) *Occurrence { return j.occurrences[k] }

// Ready reports whether every step before step n of o is done.
func (j *Job) Ready(o *Occurrence, n int) bool {
	for _, a := range j.spec.Steps[n].After {
		if o.left[a] > 0 {
			return false
		}
	}
	return true
}

// Remaining returns how many tasks of step n are not done.
func (o *Occurrence) Remaining(n int) int { return o.left[n] }

// Task returns the task that ref names, or nil if its occurrence is not under
// way.
func (j *Job) Task(ref TaskRef) *Task {
	o := j.occurrences[ref.Occurrence]
	if o == nil || ref.Step >= len(o.Steps) || ref.Index >= len(o.Steps[ref.Step]) {
		return nil
	}
	return &o.Steps[ref.Step][ref.Index]
}

// Place gives a task to an incarnation under its next run number, which it
// returns.
func (j *Job) Place(ref TaskRef, on pointport.IncarnationID, run int) {
	t := j.Task(ref)
	t.Phase, t.On, t.Run = Placed, on, run
}

// Requeue puts a placed task back to wait.
func (j *Job) Requeue(ref TaskRef) {
	t := j.Task(ref)
	t.Phase, t.On = Pending, ""
}

// Finish notes that a task is done, and reports whether its step is too.
func (j *Job) Finish(ref TaskRef) (stepDone bool) {
	t := j.Task(ref)
	t.Phase, t.On, t.Checkpoint, t.Crashes = Done, "", "", 0
	o := j.occurrences[ref.Occurrence]
	o.left[ref.Step]--
	if o.left[ref.Step] > 0 {
		return false
	}
	if o.done() {
		delete(j.occurrences, ref.Occurrence)
		j.over++
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

// Fail notes that a run of a task has failed and puts the task back to wait. It
// reports whether the job has failed with it.
func (j *Job) Fail(ref TaskRef, run int) bool {
	j.Task(ref).Phase = Pending // and On says where it has failed
	return j.countFailure(ref, run)
}

// FailReplacedRun notes that a run of a task has failed that was given up before its end was
// known; the task stays where it is. It reports whether the job has failed with it.
func (j *Job) FailReplacedRun(ref TaskRef, run int) bool {
	t := j.Task(ref)
	if len(t.FailedRuns) != t.Failures || run > t.Run {
		return false // which runs were counted is not known, or it is none of ours
	}
	return j.countFailure(ref, run)
}

// countFailure counts a failed run once, and reports whether the job has failed with it.
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
		// A gang fails as one.
		mates := j.occurrences[ref.Occurrence].Steps[ref.Step]
		for i := range mates {
			mates[i].Failures, mates[i].FailedRuns = t.Failures, slices.Clone(t.FailedRuns)
		}
	}
	if t.Failures < j.policy.MaxAttempts {
		return false
	}
	j.failed = true
	return true
}

const (
	// crashesAlone is after how many crashes a task is given up of which the last one
	// hit an instance where nothing else ran. Two may be chance, or the doing of other
	// tasks; a third one alone is neither: where 83 of 16,000 instances crash a day,
	// chance hits one in 10^11 runs of an hour three times in a row.
	crashesAlone = 3
	// crashesMost is after how many crashes a task is given up of which the last one came
	// soon after its start. While a crash is not proven, one more start may be under way,
	// and after the third crash the platform allows two.
	crashesMost = 4
)

// A CrashCase says how an instance crashed under a task.
type CrashCase uint8

// The cases, in the order of what they say against the task.
const (
	// CrashShared: other tasks ran there, and this one had for a while.
	CrashShared CrashCase = iota
	// CrashAtStart: other tasks ran there, and this one had just been started.
	CrashAtStart
	// CrashAlone: nothing else ran there.
	CrashAlone
)

// A CrashOutcome says what follows from a crash for the task that had a run there.
type CrashOutcome uint8

// The verdicts on a task under which an instance has crashed.
const (
	CrashRetried CrashOutcome = iota // it is started again, or runs elsewhere already
	CrashGivenUp                     // it is not started again; its job goes on without it
	CrashFailed                      // its job has failed with it
)

// Crash notes that an instance has crashed while a run of a task was there.
//
// An instance that crashes lists no end of the run that crashed it, so a budget of
// listed failures alone lets a task crash instances for ever: 209 in two minutes, and
// with each all that ran beside it. A serving task is given up alone: the others of its
// job serve users, and stopping them would take more away than the crashes did.
//
// What ran for a while and was hit beside others decides nothing: of 11 tasks that were
// given up in a fleet of twelve instances with nine that crash theirs, two were serving
// tasks that had been at work for 5 s each time.
func (j *Job) Crash(ref TaskRef, how CrashCase) CrashOutcome {
	t := j.Task(ref)
	t.Crashes++
	decided := how == CrashAlone && t.Crashes >= crashesAlone || how == CrashAtStart && t.Crashes >= crashesMost
	if !decided || t.Phase != Pending {
		return CrashRetried
	}
	if j.spec.Steps[ref.Step].Service {
		t.Phase = GivenUp
		if j.goesOn() {
			return CrashGivenUp
		}
	}
	j.failed = true
	return CrashFailed
}

// goesOn reports whether any task of the occurrences under way may still run.
func (j *Job) goesOn() bool {
	for _, o := range j.occurrences {
		for _, step := range o.Steps {
			for i := range step {
				if p := step[i].Phase; p == Pending || p == Placed {
					return true
				}
			}
		}
	}
	return false
}

// ResetCrashes forgets the crashes of a task that has shown that it does not cause them.
func (j *Job) ResetCrashes(ref TaskRef) { j.Task(ref).Crashes = 0 }

// PlacedTasks returns how many tasks are placed.
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

// A Status is what a customer is told of a job.
type Status string

// The states of a job.
const (
	Queued    Status = "queued"
	Running   Status = "running"
	Completed Status = "completed"
	Failed    Status = "failed"
	Cancelled Status = "cancelled"
)

// Ended reports whether a job in this state is over.
func (s Status) Ended() bool { return s == Completed || s == Failed || s == Cancelled }

// Status returns what a customer is told of the job. A cancelled or failed job
// is over once none of its tasks is placed any more; until then it runs.
func (j *Job) Status() Status {
	switch {
	case j.over == j.spec.Occurrences():
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

// Begun reports whether any task has been given to an instance.
func (j *Job) Begun() bool {
	if j.over > 0 {
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

// A TaskRef names a task within its job.
type TaskRef struct {
	Occurrence, Step, Index int
}

// TaskName returns the name under which instances know a task.
func TaskName(job string, ref TaskRef) string {
	return job + "." + strconv.Itoa(ref.Occurrence) + "." + strconv.Itoa(ref.Step) + "." + strconv.Itoa(ref.Index)
}

// StepName returns the name under which the advisor knows a step.
func StepName(job string, ref TaskRef) string {
	return job + "." + strconv.Itoa(ref.Occurrence) + "." + strconv.Itoa(ref.Step)
}

// taskNameParts is a job and three numbers.
const taskNameParts = 4

// ParseTaskName returns the job and the task that a name stands for.
func ParseTaskName(name string) (string, TaskRef, error) {
	parts := strings.Split(name, ".")
	if len(parts) != taskNameParts {
		return "", TaskRef{}, fmt.Errorf("task name %q has %d parts, want %d", name, len(parts), taskNameParts)
	}
	var numbers [taskNameParts - 1]int
	for n, part := range parts[1:] {
		v, err := strconv.Atoi(part)
		if err != nil || v < 0 {
			return "", TaskRef{}, fmt.Errorf("task name %q: %q is no number", name, part)
		}
		numbers[n] = v
	}
	return parts[0], TaskRef{numbers[0], numbers[1], numbers[2]}, nil
}
