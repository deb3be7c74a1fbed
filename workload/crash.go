package workload

// This file defines what the crashes of instances mean for the tasks that had runs there.

const (
	// maxCrashesAlone is the number of crashes after which a task is given up if the last
	// crash hit an instance on which nothing else ran. Two crashes may be chance, or caused
	// by other tasks. A third one without other tasks is neither: if 83 of 16,000 instances
	// crash a day, only one in 10^11 runs of an hour is hit three times in a row by chance.
	maxCrashesAlone = 3
	// maxCrashesAtStart is the number of crashes after which a task is given up if the last
	// crash came soon after the task's start. While a crash is not proven, one more start may
	// be in flight, and the platform allows two starts after the third crash.
	maxCrashesAtStart = 4
)

// A CrashCase describes how an instance crashed while it had a run of a task.
type CrashCase uint8

// The cases, ordered by how strongly they suggest that the task caused the crash.
const (
	// CrashAtWork means that the task serves, and that its run was at work.
	CrashAtWork CrashCase = iota
	// CrashShared means that other tasks ran there, and this one had been running for a while.
	CrashShared
	// CrashAtStart means that other tasks ran there, and this one had just been started.
	CrashAtStart
	// CrashAlone means that nothing else ran there.
	CrashAlone
)

// A CrashOutcome is the consequence of a crash for a task that had a run on the instance.
type CrashOutcome uint8

// The possible consequences of a crash.
const (
	CrashRetried CrashOutcome = iota // the task is started again, or already runs elsewhere
	CrashGivenUp                     // the task is not started again; its job continues without it
	CrashFailed                      // the job has failed
)

// Crash records that an instance has crashed while it had a run of a task.
//
// An instance that crashes does not report the end of the run that crashed it. With a limit on
// reported failures alone, a task could therefore crash instances without end: one crashed 209
// in two minutes, along with everything else that ran on them. A serving task is given up on its
// own, because the other tasks of its job serve users, and stopping them would do more harm than
// the crashes did.
//
// A crash of a shared instance on which the task had been running for a while never leads to
// giving it up. In a fleet of twelve instances, with nine tasks that crash theirs, 11 tasks were
// given up while such crashes counted, and two of these were serving tasks that had been running
// for 5 s each time.
//
// For a serving task, only consecutive crashes before it was at work count. It runs until its job is
// cancelled, so every crash of its instance, whatever the reason, is a crash under it: tasks that had
// been at work for 3 to 8 s each time were given up after 3 to 5 crashes of their instances.
func (j *Job) Crash(ref TaskRef, how CrashCase) CrashOutcome {
	t, service := j.Task(ref), j.spec.Steps[ref.Step].Service
	t.Crashes++
	counted := t.Crashes
	if service {
		if how != CrashAtWork {
			t.StartCrashes++
		}
		counted = t.StartCrashes
	}
	decided := how == CrashAlone && counted >= maxCrashesAlone || how == CrashAtStart && counted >= maxCrashesAtStart
	if !decided || t.Phase != Pending {
		return CrashRetried
	}
	if service {
		t.Phase = GivenUp
		if j.canContinue() {
			return CrashGivenUp
		}
	}
	j.failed = true
	return CrashFailed
}

// canContinue reports whether any task of the occurrences in progress may still run.
func (j *Job) canContinue() bool {
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

// ResetCrashes sets the crashes of a task to zero, after it has been shown not to cause them.
func (j *Job) ResetCrashes(ref TaskRef) {
	t := j.Task(ref)
	t.Crashes, t.StartCrashes = 0, 0
}

// ResetStartCrashes records that a run of a serving task is at work. It reports whether earlier
// crashes before the task was at work are forgotten by that.
func (j *Job) ResetStartCrashes(ref TaskRef) bool {
	t := j.Task(ref)
	had := t.StartCrashes > 0
	t.StartCrashes = 0
	return had
}
