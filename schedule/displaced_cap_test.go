package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// Guards against a displaced task that stays away because its customer's tasks that end use up the cap
// while it waits for room.
func TestDisplacedTaskIsNotHeldBackByItsCustomersOtherTasks(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0))
	add := func(id, customer string, st workload.Step) *workload.Job {
		j := workload.New(id, "q", policy, &workload.Spec{Steps: []workload.Step{st}}, start, workload.WithCustomer(customer))
		s.Add(start, j)
		return j
	}
	s.SetAllowed(map[string]pointport.Shape{"c": {CPUMilli: 4000, MemoryMiB: 4000}})
	serving := add("serving", "c", servingStep(1, 3000, nil))
	acceptAndReport(s, start, orders(s, start))
	registerNewIdle(s, start, incarnation(0), incarnation(1), incarnation(2))
	add("full", "d", step(2, 2000, func(s *workload.Step) { s.MaxPerInstance = 1 }))
	acceptAndReport(s, start, orders(s, start))
	s.EndIncarnation(start, "i-0")
	for n := range 6 {
		add(fmt.Sprintf("small-%d", n), "c", step(1, 400, nil))
	}
	for at := start; at.Before(start.Add(9 * time.Second)); at = at.Add(100 * time.Millisecond) {
		all := orders(s, at)
		acceptStarts(s, all, at)
		for _, o := range all {
			if o.Kind == schedule.OrderStop {
				s.Report(o.Worker, at, at, pointport.Report{Clock: 1, Ended: []pointport.TaskEnd{{Number: 1, TaskRun: o.TaskRun, Kind: pointport.EndStopped}}})
			}
		}
	}
	if p := serving.Task(workload.TaskRef{}).Phase; p != workload.Placed {
		t.Errorf("the serving task is in phase %d, want it placed", p)
	}
}

// Guards against a displaced task that stays away because its pool gives its share of the cap to other pools
// while it waits for a place.
func TestPoolWantsCapOfDisplacedTasks(t *testing.T) {
	share := pointport.Shape{CPUMilli: 300, MemoryMiB: 100}
	for _, c := range []struct {
		room  string
		after func(s *schedule.Scheduler) // what happens when the instance of the task crashes
		want  pointport.Shape
	}{
		{"no instance", func(s *schedule.Scheduler) { s.EndIncarnation(start, "i-1") }, share},
		{"no free instance", func(*schedule.Scheduler) {}, share},
		{"a free instance", func(s *schedule.Scheduler) { registerNewIdle(s, start, incarnation(1), incarnation(2)) }, pointport.Shape{}},
	} {
		s := newTestScheduler()
		registerIdle(s, start, incarnation(0))
		s.SetAllowed(capOfC)
		s.Add(start, ownedByC("serving", servingStep(1, 300, nil)))
		acceptAndReport(s, start, orders(s, start))
		registerNewIdle(s, start, incarnation(0), incarnation(1))
		s.Add(start, job("full", policy, step(1, 4000, nil)))
		acceptAndReport(s, start, orders(s, start))
		s.EndIncarnation(start, "i-0")
		c.after(s)
		s.Plan(start.Add(100 * time.Millisecond))
		s.VisitUsage(func(u schedule.CustomerUsage) {
			if got := u.Wanted(); got != c.want {
				t.Errorf("%s: the pool wants %v more of the cap, want %v", c.room, got, c.want)
			}
		})
	}
}

// Guards against a gang that stays away because other tasks of its customer take the share of the cap of a
// member that has lost its instance, while the others are being stopped.
func TestCapIsKeptForGangWhileItsMembersAreStopped(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0))
	s.SetAllowed(capOfC)
	registerNewIdle(s, start, incarnation(0), incarnation(1))
	s.Add(start, ownedByC("gang", servingStep(2, 150, func(s *workload.Step) { s.Gang, s.MaxPerInstance = true, 1 })))
	all := orders(s, start)
	acceptAndReport(s, start, all)
	s.EndIncarnation(start, "i-0")
	s.Add(start, ownedByC("small", step(1, 200, nil)))
	if got := startedTasks(orders(s, start)); len(got) != 0 {
		t.Errorf("starts %s while the gang is being stopped, want none", got)
	}
	registerNewIdle(s, start, incarnation(1), incarnation(2))
	for _, o := range all {
		if o.Worker.Incarnation().ID() == "i-1" {
			s.Report(o.Worker, start, start, pointport.Report{Clock: 1, Ended: []pointport.TaskEnd{{Number: 1, TaskRun: o.TaskRun, Kind: pointport.EndStopped}}})
		}
	}
	if got := fmt.Sprint(startedTasks(orders(s, start))); got != "[gang.0.1.0 2 gang.0.1.1 2]" {
		t.Errorf("starts %s once the gang was stopped, want the gang", got)
	}
}

// Guards against a cap that is exceeded by serving tasks that start for the first time while a displaced one
// starts again.
func TestFirstStartsOfServingTasksStayWithinCap(t *testing.T) {
	for _, gang := range []bool{false, true} {
		s := newTestScheduler()
		registerIdle(s, start, incarnation(0))
		s.SetAllowed(map[string]pointport.Shape{"c": {CPUMilli: 2000, MemoryMiB: 4000}})
		s.Add(start, ownedByC("displaced", servingStep(1, 300, nil)))
		acceptAndReport(s, start, orders(s, start))
		registerNewIdle(s, start, incarnation(0), incarnation(1), incarnation(2))
		s.EndIncarnation(start, "i-0")
		for n := range 3 {
			s.Add(start, ownedByC(fmt.Sprintf("new-%d", n), servingStep(2, 300, func(s *workload.Step) { s.Gang = gang })))
		}
		s.Add(start, ownedByC("other", step(4, 300, nil)))
		orders(s, start)
		s.VisitUsage(func(u schedule.CustomerUsage) {
			if u.Used.CPUMilli > 2000 {
				t.Errorf("gangs %v: %d thousandths of a core are placed, and 2000 are allowed", gang, u.Used.CPUMilli)
			}
		})
	}
}
