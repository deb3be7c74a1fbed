package schedule_test

import (
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file tests how serving tasks move off an instance that is being emptied.

// serving is a step that serves.
func serving(count int, cpu int64, change func(*workload.Step)) workload.Step {
	return step(count, cpu, func(s *workload.Step) {
		s.Service, s.MayMiss = true, 1
		if change != nil {
			change(s)
		}
	})
}

// atWork has everything that was ordered to start run and serve.
func atWork(b *schedule.Scheduler, now time.Time, sent []schedule.Order) {
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

func stops(all []schedule.Order) int {
	n := 0
	for _, o := range all {
		if o.Kind == schedule.OrderStop {
			n++
		}
	}
	return n
}

// A serving task stays on an instance that is being emptied until there is room
// for it elsewhere, and the pool says that it misses an instance for it.
func TestServingTasksStayUntilThereIsRoom(t *testing.T) {
	b := newBook()
	hear(b, start, incarnation(0))
	b.Add(start, job("a", policy, serving(2, 1000, func(s *workload.Step) { s.MayMiss = 2 })))
	atWork(b, start, orders(b, start))
	now := start.Add(3 * time.Second)
	request := schedule.SurveyRequest{Closures: []schedule.Closure{{Instance: "m-0", Evacuate: true}}}
	s := b.Survey(now, request)
	if s.Unmoved != 1 || s.Unserved != 0 {
		t.Errorf("pool misses %d instances for moving and %d for waiting tasks, want 1 and 0", s.Unmoved, s.Unserved)
	}
	if got := stops(orders(b, now)); got != 0 {
		t.Fatalf("%d serving tasks are stopped without room elsewhere", got)
	}
	hearAll(b, now, incarnation(0), incarnation(1))
	if s := b.Survey(now, request); s.Unmoved != 0 {
		t.Errorf("pool misses %d instances beside an empty one", s.Unmoved)
	}
	if got := stops(orders(b, now)); got == 0 {
		t.Error("no serving task moves although there is room")
	}
}

// hearAll registers instances and has the new ones report that they run nothing.
func hearAll(b *schedule.Scheduler, now time.Time, all ...pointport.Incarnation) {
	b.SetIncarnations(now, all)
	for _, w := range b.Workers() {
		if !w.HasAnswered() {
			b.Report(w, now, now, pointport.Report{Clock: 1})
		}
	}
}

func TestUnservedCountsInstances(t *testing.T) {
	cases := []struct {
		name string
		step workload.Step
		want int
	}{
		{"fits", serving(4, 1000, nil), 0},
		{"one more", serving(5, 1000, nil), 1},
		{"two more", serving(9, 1000, nil), 2},
		{"apart", serving(3, 1000, func(s *workload.Step) { s.MaxPerInstance = 1 }), 2},
		{"needs a label", serving(2, 1000, func(s *workload.Step) { s.Label = "gpu" }), 0},
		{"fits nowhere", serving(2, 9000, nil), 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBook()
			hear(b, start, incarnation(0))
			b.Add(start, job("a", policy, c.step))
			orders(b, start)
			if got := b.Survey(start, schedule.SurveyRequest{}).Unserved; got != c.want {
				t.Errorf("%d instances missing, want %d", got, c.want)
			}
		})
	}
}
