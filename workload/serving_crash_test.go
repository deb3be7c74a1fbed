package workload_test

import (
	"testing"
	"time"

	"github.com/pointport/pointport/workload"
)

// servingJob returns a job of two serving tasks that has begun.
func servingJob() *workload.Job {
	spec := &workload.Spec{Steps: []workload.Step{{Count: 2, Service: true}}}
	j := workload.New("00112233445566aa", "q", workload.Policy{MaxAttempts: 3}, spec, time.Unix(1000, 0))
	j.BeginDue(time.Unix(1000, 0))
	return j
}

// Guards against serving tasks that are given up for crashes of instances on which they were at work.
func TestServingTaskIsGivenUpOnlyForCrashesBeforeItIsAtWork(t *testing.T) {
	const atWork, shared, atStart, alone = workload.CrashAtWork, workload.CrashShared, workload.CrashAtStart, workload.CrashAlone
	cases := []struct {
		name    string
		how     []workload.CrashCase
		reset   int // before which crash the task is seen at work, zero for never
		givesUp bool
	}{
		{"many at work", []workload.CrashCase{atWork, atWork, atWork, atWork, atWork, atWork, atWork, atWork}, 0, false},
		{"two alone after many at work", []workload.CrashCase{atWork, atWork, atWork, alone, alone}, 0, false},
		{"three alone", []workload.CrashCase{alone, alone, alone}, 0, true},
		{"three alone after one at work", []workload.CrashCase{atWork, alone, alone, alone}, 0, true},
		{"three alone, at work in between", []workload.CrashCase{alone, alone, alone}, 2, false},
		{"four at start", []workload.CrashCase{atStart, atStart, atStart, atStart}, 0, true},
		{"four at start, at work in between", []workload.CrashCase{atStart, atStart, atStart, atStart}, 3, false},
		{"many shared", []workload.CrashCase{shared, shared, shared, shared, shared, shared}, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			j, ref := servingJob(), workload.TaskRef{Index: 1}
			for n, how := range c.how {
				if c.reset > 0 && n == c.reset && !j.ResetStartCrashes(ref) {
					t.Errorf("no crashes before the task was at work are counted before crash %d", n+1)
				}
				got := j.Crash(ref, how)
				if last := n == len(c.how)-1; (got == workload.CrashGivenUp) != (last && c.givesUp) {
					t.Errorf("the outcome of crash %d is %d", n+1, got)
				}
			}
			if got := j.Task(ref).Crashes; got != len(c.how) {
				t.Errorf("%d crashes are counted for isolation, want %d", got, len(c.how))
			}
		})
	}
}

// Guards against a new owner that does not know how often a serving task has crashed its instance
// before it was at work.
func TestStartCrashesAreStored(t *testing.T) {
	j, ref := servingJob(), workload.TaskRef{Index: 1}
	j.Crash(ref, workload.CrashAtWork)
	j.Crash(ref, workload.CrashAlone)
	j.Crash(ref, workload.CrashAlone)
	decoded := restored(t, j)
	if got := decoded.Task(ref); got.StartCrashes != 2 || got.Crashes != 3 {
		t.Errorf("decoded task has %d crashes, %d of them before it was at work, want 3 and 2", got.Crashes, got.StartCrashes)
	}
	if got := decoded.Crash(ref, workload.CrashAlone); got != workload.CrashGivenUp {
		t.Errorf("the outcome of the next crash is %d, want %d", got, workload.CrashGivenUp)
	}
	if got := restored(t, decoded).Task(ref).Phase; got != workload.GivenUp {
		t.Errorf("a task that was given up is decoded in phase %d, want %d", got, workload.GivenUp)
	}
}

// Guards against serving tasks that an earlier version has given up for crashes at work and that stay
// away under this one.
func TestServingTaskGivenUpByEarlierVersionIsPending(t *testing.T) {
	stored := `{"n":1,"k":[{"k":0,"s":[[[3,4,0,"i-1"],[0,7]]],"x":[[0,0,4],[0,1,9]]}]}`
	j := servingJob()
	if err := j.RestoreProgress([]byte(stored)); err != nil {
		t.Fatal(err)
	}
	for i := range 2 {
		ref := workload.TaskRef{Index: i}
		if got := j.Task(ref).Phase; got != workload.Pending {
			t.Errorf("task %d is decoded in phase %d, want it pending", i, got)
		}
		if got := j.Crash(ref, workload.CrashAlone); got != workload.CrashRetried {
			t.Errorf("the outcome of the first crash of task %d is %d, want %d", i, got, workload.CrashRetried)
		}
	}
}

// restored returns a job with the stored progress of another.
func restored(t *testing.T, j *workload.Job) *workload.Job {
	t.Helper()
	decoded := workload.New(j.ID(), j.Queue(), j.Policy(), j.Spec(), j.Submitted())
	if err := decoded.RestoreProgress(j.EncodeProgress()); err != nil {
		t.Fatal(err)
	}
	return decoded
}

// Guards against serving tasks that an earlier version has counted as done and that stay away under this one.
func TestServingTaskDoneInEarlierVersionIsPending(t *testing.T) {
	stored := `{"n":1,"k":[{"k":0,"s":[[[2,4],[1,7,0,"i-1"]]]}]}`
	j := servingJob()
	if err := j.RestoreProgress([]byte(stored)); err != nil {
		t.Fatal(err)
	}
	ref := workload.TaskRef{}
	if got := j.Task(ref); got.Phase != workload.Pending || got.Run != 4 {
		t.Errorf("the task is decoded in phase %d with run %d, want it pending with run 4", got.Phase, got.Run)
	}
	if got := j.Occurrence(0).Remaining(0); got != 2 {
		t.Errorf("%d tasks of the step are left, want 2", got)
	}
	if got := restored(t, j).Task(ref).Phase; got != workload.Pending {
		t.Errorf("the task is stored in phase %d, want it pending", got)
	}
}
