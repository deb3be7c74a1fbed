package schedule_test

import (
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// Guards against jobs that are left out of those that wait although each start of them was refused, also by a
// new owner.
func TestJobsWhoseStartsAreRefusedAreWaiting(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0))
	j := job("a", policy, step(1, 100, nil))
	s.Add(start, j)
	check := func(s *schedule.Scheduler, when string, want int) {
		t.Helper()
		if got := s.Waiting("q"); got != want {
			t.Errorf("%s: %d jobs wait, want %d", when, got, want)
		}
	}
	refused := orders(s, start)[0]
	check(s, "before the answer to the start", 1)
	s.OrderAnswered(refused, start, 1, &pointport.RejectedError{Incarnation: "i-0", Reason: pointport.RejectUnhealthy})
	check(s, "after a refused start", 1)
	successor := newTestScheduler()
	successor.Add(start, storedCopy(t, j))
	check(successor, "under a new owner", 1)
	later := start.Add(time.Second)
	all := orders(s, later)
	acceptAndReport(s, later, all)
	check(s, "after a start", 0)
	s.Report(all[0].Worker, later, later, pointport.Report{Clock: 1, Ended: []pointport.TaskEnd{{Number: 1, TaskRun: all[0].TaskRun, Kind: pointport.EndFailed}}})
	check(s, "after the run has failed", 0)
	successor = newTestScheduler()
	successor.Add(start, storedCopy(t, j))
	check(successor, "under a new owner after the run has failed", 0)
}

// storedCopy returns a job as a new owner reads it.
func storedCopy(t *testing.T, j *workload.Job) *workload.Job {
	t.Helper()
	out := workload.New(j.ID(), j.Queue(), j.Policy(), j.Spec(), j.Submitted())
	if err := out.RestoreProgress(j.EncodeProgress()); err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against a job that is counted as waiting by a new owner while it runs.
func TestInheritedRunBegins(t *testing.T) {
	former := newTestScheduler()
	registerIdle(former, start, incarnation(0))
	j := job("a", policy, step(1, 100, nil))
	former.Add(start, j)
	all := orders(former, start)
	acceptAndReport(former, start, all)
	s := newTestScheduler()
	s.Add(start, storedCopy(t, j))
	s.SetIncarnations(start, []pointport.Incarnation{incarnation(0)})
	s.Report(s.Workers()[0], start, start, pointport.Report{Clock: 1, Running: []pointport.RunningTask{{TaskRun: all[0].TaskRun}}})
	if got := s.Waiting("q"); got != 0 {
		t.Errorf("%d jobs wait, want none", got)
	}
}
