package schedule_test

import (
	"errors"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file tests tasks of which copies may run at the same time, and runs that were replaced
// by a later run of their task.

// TestAbandonedStartIsRuledOut checks that a start without an answer is not sent again once
// its task was started on another instance. By then the copy may be done, and the repeated
// start, accepted by an instance that has just recovered, would run a completed task again
// (1.5 s after its end in one case).
func TestAbandonedStartIsRuledOut(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0), incarnation(1))
	s.Add(start, job("a", policy, step(1, 100, func(s *workload.Step) { s.Copies = true })))
	sent := orders(s, start)
	if len(sent) != 1 {
		t.Fatalf("orders %v, want one start", sent)
	}
	first := sent[0]
	first.Worker.ExtendLease(start, 10*time.Second) // as the sender of the order extends the execution lease
	silence := &pointport.UnavailableError{Op: "start", Ambiguous: true, Err: errors.New("reset")}
	now := start
	started, stopped := 0, 0
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		s.PollFailed(first.Worker, now, silence)
		for _, o := range orders(s, now) {
			switch {
			case o.Worker != first.Worker && o.Kind == schedule.OrderStart:
				started++
				s.OrderAnswered(o, now, 1, nil)
			case o.Worker == first.Worker && o.Kind == schedule.OrderStart && started > 0:
				t.Fatalf("%v is started on a silent instance after its task was started on another one", o.TaskRun)
			case o.Worker == first.Worker && o.Kind == schedule.OrderStop && o.TaskRun == first.TaskRun:
				stopped++
				s.OrderAnswered(o, now, 0, silence)
			default:
				s.OrderAnswered(o, now, 0, silence)
			}
		}
		s.OrderAnswered(first, now, 0, silence)
	}
	if started != 1 || stopped == 0 {
		t.Errorf("%d starts elsewhere and %d stops of the first run, want one start and at least one stop", started, stopped)
	}
}

// TestFailedEndOfReplacedRunCounts checks that the failed end of a run that was replaced by a
// copy counts as an attempt. A task whose third run fails while its instance is silent, after
// a copy was started, has used all its attempts, so its job fails and the copy is stopped.
// Otherwise the task would be started more often than its policy allows.
func TestFailedEndOfReplacedRunCounts(t *testing.T) {
	s := newTestScheduler()
	j := job("a", policy, step(1, 100, func(s *workload.Step) { s.Copies = true }))
	s.Add(start, j)
	now := start
	number := make(map[pointport.IncarnationID]int64)
	failed := func(o schedule.Order) {
		id := o.Worker.Incarnation().ID()
		number[id]++
		s.Report(o.Worker, now, now, pointport.Report{Clock: 1, Ended: []pointport.TaskEnd{{Number: number[id], TaskRun: o.TaskRun, Kind: pointport.EndFailed}}})
	}
	next := func() schedule.Order {
		t.Helper()
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			for _, w := range s.Workers() {
				if !w.Silent() {
					s.Report(w, now, now, pointport.Report{Clock: 1, Running: runningOn(w, j)})
				}
			}
			for _, o := range orders(s, now) {
				s.MarkSending(o)
				if o.Kind == schedule.OrderStart {
					s.OrderAnswered(o, now, 1, nil)
					return o
				}
			}
		}
		t.Fatal("no start is ordered within 10 s")
		return schedule.Order{}
	}
	registerIdle(s, start, incarnation(0), incarnation(1), incarnation(2), incarnation(3))
	for range policy.MaxAttempts - 1 {
		failed(next())
	}
	third := next()
	third.Worker.ExtendLease(now, settings.Lease)
	silence := &pointport.UnavailableError{Op: "hold", Ambiguous: true}
	s.PollFailed(third.Worker, now, silence)
	s.PollFailed(third.Worker, now.Add(600*time.Millisecond), silence)
	now = now.Add(600 * time.Millisecond)
	copied := next()
	if copied.TaskRun.Run != policy.MaxAttempts+1 {
		t.Fatalf("the copy is run %d, want the one after the last attempt", copied.TaskRun.Run)
	}
	failed(third)
	if !j.Failed() {
		t.Fatalf("the job has not failed after %d failed runs", policy.MaxAttempts)
	}
	stopped := false
	for _, o := range orders(s, now) {
		stopped = stopped || o.Kind == schedule.OrderStop && o.TaskRun == copied.TaskRun
		if o.Kind == schedule.OrderStart {
			t.Errorf("%v is started", o.TaskRun)
		}
	}
	if !stopped {
		t.Error("the copy is not stopped")
	}
}

// TestRepeatedFailedEndCountsOnce checks that a new owner does not count a failed end
// again that its predecessor has counted and stored but not acknowledged, so that the instance
// reports it once more.
func TestRepeatedFailedEndCountsOnce(t *testing.T) {
	j := job("a", policy, step(1, 100, nil))
	j.BeginDue(start)
	ref := workload.TaskRef{}
	j.Place(ref, incarnation(0).ID(), 1)
	j.Fail(ref, 1)
	again := job("a", policy, step(1, 100, nil))
	if err := again.RestoreProgress(j.EncodeProgress()); err != nil {
		t.Fatal(err)
	}
	s := newTestScheduler()
	s.Add(start, again)
	s.SetIncarnations(start, []pointport.Incarnation{incarnation(0), incarnation(1)})
	end := pointport.TaskEnd{Number: 1, TaskRun: pointport.TaskRun{Task: "a.0.0.0", Run: 1}, Kind: pointport.EndFailed}
	for _, w := range s.Workers() {
		r := pointport.Report{Clock: 1}
		if w.Incarnation().ID() == incarnation(0).ID() {
			r.Ended = []pointport.TaskEnd{end}
		}
		s.Report(w, start, start, r)
	}
	if got := again.Task(ref).Failures; got != 1 {
		t.Errorf("%d failed runs are counted, want 1", got)
	}
}

// runningOn returns the running tasks that a worker lists of a job with a single task.
func runningOn(w *schedule.Worker, j *workload.Job) []pointport.RunningTask {
	task := j.Task(workload.TaskRef{})
	if task == nil || task.Phase != workload.Placed || task.On != w.Incarnation().ID() {
		return nil
	}
	return []pointport.RunningTask{{TaskRun: pointport.TaskRun{Task: "a.0.0.0", Run: task.Run}, Progress: 1}}
}

// TestCopyIsNotPlacedBesideReplacedRun checks that a task is not placed on an instance that
// still has an earlier, replaced run of it. The instance would refuse the start, and the owner
// would lose track of the earlier run and never release its capacity. It comes about when a
// copy goes to another instance, that one crashes, and the first instance answers again with
// the replaced run.
func TestCopyIsNotPlacedBesideReplacedRun(t *testing.T) {
	s, first, second, now := schedulerWithUnsentCopy(t)
	if s.SkipStart(now, second) {
		t.Fatal("the start of the copy is skipped")
	}
	s.MarkSending(second)
	s.EndIncarnation(now, second.Worker.Incarnation().ID())
	now = now.Add(2 * time.Second) // its quarantine is over
	s.Report(first.Worker, now, now, pointport.Report{Clock: clockAt(now), Running: []pointport.RunningTask{{TaskRun: first.TaskRun, Progress: 10}}})
	if got := startsByIncarnation(orders(s, now)); len(got) != 0 {
		t.Errorf("starts %v beside the replaced run, want none", got)
	}
	now = now.Add(300 * time.Millisecond)
	s.Report(first.Worker, now, now, reportOfOrderEnd(first, pointport.EndStopped))
	all := orders(s, now)
	if len(startsByIncarnation(all)) != 1 {
		t.Fatalf("starts %v once the replaced run has ended, want one", startsByIncarnation(all))
	}
	third := all[0]
	s.OrderAnswered(third, now, clockAt(now), nil)
	s.Report(third.Worker, now, now, pointport.Report{Clock: clockAt(now), Ended: []pointport.TaskEnd{{Number: 2, TaskRun: third.TaskRun, Kind: pointport.EndDone}}})
	s.Add(now, job("whole", policy, step(1, size.CPUMilli, nil)))
	if got := startsByIncarnation(orders(s, now)); len(got) != 1 {
		t.Errorf("starts %v, want one that uses the whole instance", got)
	}
}
