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
func acceptAndReport(b *schedule.Scheduler, now time.Time, sent []schedule.Order) {
	rows := make(map[*schedule.Worker][]pointport.RunningTask)
	for _, o := range sent {
		if o.Kind == schedule.OrderStart {
			b.OrderAnswered(o, now, 1, nil)
			rows[o.Worker] = append(rows[o.Worker], pointport.RunningTask{TaskRun: o.TaskRun, Progress: 100})
		}
	}
	for _, w := range b.Workers() {
		b.Report(w, now, now, pointport.Report{Clock: 1, Running: rows[w]})
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

// TestServingTasksStayUntilThereIsRoom checks that a serving task stays on an instance that is
// being emptied until there is free capacity for it elsewhere, and that the survey counts the
// instance that is missing for the move.
func TestServingTasksStayUntilThereIsRoom(t *testing.T) {
	b := newTestScheduler()
	registerIdle(b, start, incarnation(0))
	b.Add(start, job("a", policy, servingStep(2, 1000, func(s *workload.Step) { s.MayMiss = 2 })))
	acceptAndReport(b, start, orders(b, start))
	now := start.Add(3 * time.Second)
	request := schedule.SurveyRequest{Closures: []schedule.Closure{{Instance: "m-0", Evacuate: true}}}
	s := b.Survey(now, request)
	if s.Unmoved != 1 || s.Unserved != 0 {
		t.Errorf("%d instances are missing for moves and %d for waiting tasks, want 1 and 0", s.Unmoved, s.Unserved)
	}
	if got := countStops(orders(b, now)); got != 0 {
		t.Fatalf("%d serving tasks are stopped without free capacity elsewhere, want none", got)
	}
	registerNewIdle(b, now, incarnation(0), incarnation(1))
	if s := b.Survey(now, request); s.Unmoved != 0 {
		t.Errorf("%d instances are missing for moves although one is empty, want 0", s.Unmoved)
	}
	if got := countStops(orders(b, now)); got == 0 {
		t.Error("no serving task moves although there is free capacity")
	}
}

// registerNewIdle registers instances and handles a report from each new one that it runs
// nothing.
func registerNewIdle(b *schedule.Scheduler, now time.Time, all ...pointport.Incarnation) {
	b.SetIncarnations(now, all)
	for _, w := range b.Workers() {
		if !w.HasAnswered() {
			b.Report(w, now, now, pointport.Report{Clock: 1})
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
			b := newTestScheduler()
			registerIdle(b, start, incarnation(0))
			b.Add(start, job("a", policy, c.step))
			orders(b, start)
			if got := b.Survey(start, schedule.SurveyRequest{}).Unserved; got != c.want {
				t.Errorf("%d instances are missing, want %d", got, c.want)
			}
		})
	}
}
