package schedule_test

import (
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file tests how serving tasks move away from an instance that is being emptied.

// servingStep returns a step of serving tasks of which one may be missing at a time.
func servingStep(count int, cpu int64, change func(*workload.Step)) workload.Step {
	return step(count, cpu, func(s *workload.Step) {
		s.Service, s.MayMiss = true, 1
		if change != nil {
			change(s)
		}
	})
}

// acceptAndReport answers all start orders as carried out, and handles reports that list their
// runs at full progress.
func acceptAndReport(s *schedule.Scheduler, now time.Time, sent []schedule.Order) {
	rows := make(map[*schedule.Worker][]pointport.RunningTask)
	for _, o := range sent {
		if o.Kind == schedule.OrderStart {
			s.OrderAnswered(o, now, 1, nil)
			rows[o.Worker] = append(rows[o.Worker], pointport.RunningTask{TaskRun: o.TaskRun, Progress: 100})
		}
	}
	for _, w := range s.Workers() {
		s.Report(w, now, now, pointport.Report{Clock: 1, Running: rows[w]})
	}
}

// countStops counts the stop orders.
func countStops(all []schedule.Order) int {
	n := 0
	for _, o := range all {
		if o.Kind == schedule.OrderStop {
			n++
		}
	}
	return n
}

// TestServingTasksStayUntilThereIsCapacity checks that a serving task stays on an instance that is
// being emptied until there is free capacity for it elsewhere, and that the survey counts the
// instance that is missing for the move.
func TestServingTasksStayUntilThereIsCapacity(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0))
	s.Add(start, job("a", policy, servingStep(2, 1000, func(s *workload.Step) { s.MayMiss = 2 })))
	acceptAndReport(s, start, orders(s, start))
	now := start.Add(3 * time.Second)
	request := schedule.SurveyRequest{Closures: []schedule.Closure{{Instance: "m-0", Evacuate: true}}}
	survey := s.Survey(now, request)
	if survey.Unmoved != 1 || survey.Unserved != 0 {
		t.Errorf("%d instances are missing for moves and %d for waiting tasks, want 1 and 0", survey.Unmoved, survey.Unserved)
	}
	if got := countStops(orders(s, now)); got != 0 {
		t.Fatalf("%d serving tasks are stopped without free capacity elsewhere, want none", got)
	}
	registerNewIdle(s, now, incarnation(0), incarnation(1))
	if survey := s.Survey(now, request); survey.Unmoved != 0 {
		t.Errorf("%d instances are missing for moves although one is empty, want 0", survey.Unmoved)
	}
	if got := countStops(orders(s, now)); got == 0 {
		t.Error("no serving task moves although there is free capacity")
	}
}

// registerNewIdle registers instances and handles a report from each new one that it runs
// nothing.
func registerNewIdle(s *schedule.Scheduler, now time.Time, all ...pointport.Incarnation) {
	s.SetIncarnations(now, all)
	for _, w := range s.Workers() {
		if !w.HasAnswered() {
			s.Report(w, now, now, pointport.Report{Clock: 1})
		}
	}
}

// TestUnservedCountsInstances checks how many instances the survey counts as missing for
// waiting serving tasks. Tasks that could not be placed on another instance of the same kind
// count for none.
func TestUnservedCountsInstances(t *testing.T) {
	cases := []struct {
		name string
		step workload.Step
		want int
	}{
		{"fits", servingStep(4, 1000, nil), 0},
		{"one more", servingStep(5, 1000, nil), 1},
		{"two more", servingStep(9, 1000, nil), 2},
		{"one task per instance", servingStep(3, 1000, func(s *workload.Step) { s.MaxPerInstance = 1 }), 2},
		{"needs a label", servingStep(2, 1000, func(s *workload.Step) { s.Label = "gpu" }), 0},
		{"fits nowhere", servingStep(2, 9000, nil), 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler()
			registerIdle(s, start, incarnation(0))
			s.Add(start, job("a", policy, c.step))
			orders(s, start)
			if got := s.Survey(start, schedule.SurveyRequest{}).Unserved; got != c.want {
				t.Errorf("%d instances are missing, want %d", got, c.want)
			}
		})
	}
}
