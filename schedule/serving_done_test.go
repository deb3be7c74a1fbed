package schedule_test

import (
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// These tests guard against serving tasks that are never started again, or too often, because a run of them
// has ended as done.

// endAll reports that the runs of some start orders have ended as done, and nothing else about their
// instances.
func endAll(s *schedule.Scheduler, now time.Time, all []schedule.Order, number int64) {
	for _, o := range all {
		if o.Kind == schedule.OrderStart {
			end := pointport.TaskEnd{Number: number, TaskRun: o.TaskRun, Kind: pointport.EndDone}
			s.Report(o.Worker, now, now, pointport.Report{Clock: 1, Ended: []pointport.TaskEnd{end}})
		}
	}
}

// Guards against serving tasks that stay away after they have ended as done, and against a job that is shown as
// completed when all have.
func TestServingTasksThatEndAsDoneAreStartedAgain(t *testing.T) {
	for _, gang := range []bool{false, true} {
		s := newTestScheduler()
		registerIdle(s, start, incarnation(0), incarnation(1), incarnation(2))
		j := job("a", policy, servingStep(2, 100, func(s *workload.Step) { s.Gang, s.MaxPerInstance = gang, 1 }))
		s.Add(start, j)
		all := orders(s, start)
		acceptAndReport(s, start, all)
		later := start.Add(time.Minute)
		endAll(s, later, all, 1)
		if got := startedTasks(orders(s, later)); len(got) != 2 {
			t.Errorf("gang %v: starts %v after the serving tasks have ended as done, want both", gang, got)
		}
		if got := j.Status(); got != workload.Running {
			t.Errorf("gang %v: the job is %s, want it running", gang, got)
		}
	}
}

// Guards against a serving task that counts as done for a new owner, which learns of the end from the list of
// the instance.
func TestServingTaskThatEndedAsDoneBeforeHandoverIsStartedAgain(t *testing.T) {
	former := newTestScheduler()
	registerIdle(former, start, incarnation(0))
	j := job("a", policy, servingStep(1, 100, nil))
	former.Add(start, j)
	all := orders(former, start)
	acceptAndReport(former, start, all)
	orders(former, start)

	s := newTestScheduler()
	s.Add(start, j)
	s.SetIncarnations(start, []pointport.Incarnation{incarnation(0)})
	end := pointport.TaskEnd{Number: 1, TaskRun: all[0].TaskRun, Kind: pointport.EndDone}
	s.Report(s.Workers()[0], start, start, pointport.Report{Clock: 1, Ended: []pointport.TaskEnd{end}})
	later := start.Add(5 * time.Second)
	if got := startedTasks(orders(s, later)); len(got) != 1 {
		t.Errorf("starts %v, want the serving task", got)
	}
}

// Guards against a serving task that is started without a pause while each run ends at once, and against one
// that is away for longer than it may be.
func TestServingTaskThatEndsAtOnceIsStartedAfterPause(t *testing.T) {
	const step, most = 50 * time.Millisecond, 2500 * time.Millisecond
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0))
	s.Add(start, job("a", policy, servingStep(1, 100, nil)))
	starts, number, endedAt := 0, int64(0), start
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(step) {
		all := orders(s, now)
		if len(startedTasks(all)) == 0 {
			continue
		}
		if away := now.Sub(endedAt); away > most {
			t.Errorf("the task was away for %v, want at most %v", away, most)
		}
		starts++
		number++
		acceptAndReport(s, now, all)
		endAll(s, now, all, number)
		endedAt = now
	}
	if starts < 10 || starts > 20 {
		t.Errorf("the task was started %d times in 20 s, want 10 to 20 times", starts)
	}
	later := start.Add(time.Minute)
	all := orders(s, later)
	acceptAndReport(s, later, all)
	later = later.Add(3 * time.Second)
	endAll(s, later, all, number+1)
	if got := startedTasks(orders(s, later)); len(got) != 1 {
		t.Errorf("starts %v after 3 s of service, want the task at once", got)
	}
}
