package schedule_test

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/evacuation"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file tests that nothing is started in an evacuated availability zone, whatever causes
// the start.

// northEvacuated is what an owner knows while the availability zone north is evacuated.
var northEvacuated = evacuation.NewZones([]evacuation.Request{{Zone: "north", Revision: 7}})

// north returns an instance in the availability zone north.
func north(n int) pointport.Incarnation { return incarnation(n, pointport.WithZone("north")) }

// south returns an instance in the availability zone south.
func south(n int) pointport.Incarnation { return incarnation(n, pointport.WithZone("south")) }

// startsByZone counts the start orders by availability zone.
func startsByZone(all []schedule.Order) map[pointport.ZoneID]int {
	out := make(map[pointport.ZoneID]int)
	for _, o := range all {
		if o.Kind == schedule.OrderStart {
			out[o.Worker.Incarnation().Zone()]++
		}
	}
	return out
}

// TestNothingIsPlacedInAnEvacuatedZone checks that no task is placed in an evacuated
// availability zone, whatever its step requires: tasks are placed in the open one or wait, and
// start in the evacuated one once it is open again.
func TestNothingIsPlacedInAnEvacuatedZone(t *testing.T) {
	cases := []struct {
		name string
		step workload.Step
		want int // starts in the open availability zone
	}{
		{"tasks", step(3, 500, nil), 3},
		{"more tasks than fit", step(12, 1000, nil), 4},
		{"a gang", step(3, 500, func(s *workload.Step) { s.Gang = true }), 3},
		{"a gang that does not fit", step(5, 1000, func(s *workload.Step) { s.Gang = true }), 0},
		{"serving tasks", servingStep(3, 500, nil), 3},
		{"background tasks", step(2, 500, func(s *workload.Step) { s.Fills = true }), 2},
		{"copies", step(2, 500, func(s *workload.Step) { s.Copies = true }), 2},
		{"data in the evacuated zone", step(2, 500, func(s *workload.Step) { s.DataRack = "r-0" }), 2},
		{"a label that only instances in the evacuated zone have", step(2, 500, func(s *workload.Step) { s.Label = "r-0" }), 0},
		{"one task per instance", step(2, 500, func(s *workload.Step) { s.MaxPerInstance = 1 }), 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler()
			registerIdle(s, start, north(0), north(2), south(1))
			s.SetEvacuations(northEvacuated)
			s.Add(start, job("a", policy, c.step))
			got := startsByZone(orders(s, start))
			if got["north"] != 0 || got["south"] != c.want {
				t.Errorf("starts %v, want none in north and %d in south", got, c.want)
			}
			s.SetEvacuations(evacuation.None)
			if got := startsByZone(orders(s, start.Add(time.Second))); c.want == 0 && got["north"] == 0 {
				t.Error("nothing starts in north once it is open")
			}
		})
	}
}

// TestOccurrencesAreNotStartedInAnEvacuatedZone checks that occurrences of a recurring job
// that become due are started in the open availability zone.
func TestOccurrencesAreNotStartedInAnEvacuatedZone(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, north(0), south(1))
	recurring := workload.New("a", "q", policy, &workload.Spec{
		Steps: []workload.Step{step(2, 100, nil)}, Recur: workload.Recurrence{Times: 4, First: start.Add(time.Second), Every: time.Second},
	}, start)
	s.Add(start, recurring)
	s.SetEvacuations(northEvacuated)
	all := 0
	for n := range 4 {
		got := startsByZone(orders(s, start.Add(time.Duration(n+1)*time.Second)))
		if got["north"] != 0 {
			t.Fatalf("starts %v, want none in north", got)
		}
		all += got["south"]
	}
	if all == 0 {
		t.Error("no occurrence has started")
	}
}

// TestNothingIsPlacedWhileEvacuationsAreUnknown checks that nothing is placed anywhere while
// it is not known which availability zones are evacuated, and that the explanation of the job
// states this.
func TestNothingIsPlacedWhileEvacuationsAreUnknown(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, north(0), south(1))
	s.Add(start, job("a", policy, step(2, 500, nil)))
	s.SetEvacuations(evacuation.Zones{})
	if got := startsByZone(orders(s, start)); len(got) != 0 {
		t.Errorf("starts %v while evacuations are unknown, want none", got)
	}
	x, _ := s.Explain(start, "a")
	if got := x.Steps[0].Waits; !strings.Contains(got, "may be evacuated") {
		t.Errorf("the wait is explained as %q", got)
	}
	s.SetEvacuations(northEvacuated)
	if got := startsByZone(orders(s, start)); got["south"] != 2 {
		t.Errorf("starts %v once the evacuations are known, want two in south", got)
	}
}

// TestWaitForAnEvacuatedZoneIsExplained checks that the explanation of a job that waits
// because of an evacuation states the evacuation.
func TestWaitForAnEvacuatedZoneIsExplained(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, north(0))
	s.Add(start, job("a", policy, step(2, 500, nil)))
	s.SetEvacuations(northEvacuated)
	orders(s, start)
	x, _ := s.Explain(start, "a")
	if got := x.Steps[0].Waits; !strings.Contains(got, "in an evacuated availability zone") {
		t.Errorf("the wait is explained as %q", got)
	}
}

// TestUnsentStartsAreSkipped checks what happens to a start that was ordered before the
// evacuation. If it was never sent it is skipped, and its task starts elsewhere. If it was
// sent without an answer it is ruled out by a stop, and its task waits until the stop is
// answered.
func TestUnsentStartsAreSkipped(t *testing.T) {
	for _, sentBefore := range []bool{false, true} {
		s := newTestScheduler()
		registerIdle(s, start, north(0))
		s.Add(start, job("a", policy, step(1, 500, nil)))
		sent := orders(s, start)
		if len(sent) != 1 || s.SkipStart(start, sent[0]) {
			t.Fatalf("orders %v, want one start that is not skipped", sent)
		}
		first, now := sent[0], start.Add(time.Second)
		if sentBefore {
			s.OrderAnswered(first, start, 0, &pointport.UnavailableError{Op: "start", Ambiguous: true, Err: errors.New("reset")})
		}
		s.SetEvacuations(northEvacuated)
		if !s.SkipStart(now, first) {
			t.Fatalf("the start is not skipped (sent before: %v)", sentBefore)
		}
		s.SetIncarnations(now, []pointport.Incarnation{north(0), south(1)})
		for _, w := range s.Workers() {
			s.Report(w, now, now, pointport.Report{Clock: 1})
		}
		later := orders(s, now)
		if got := startsByZone(later); got["north"] != 0 || got["south"] > 0 == sentBefore {
			t.Errorf("starts %v (sent before: %v), want none in north, and one in south only if the start was not sent before", got, sentBefore)
		}
		if got := countStops(later); sentBefore && got != 1 {
			t.Errorf("%d stops of a start that may be in flight, want 1", got)
		}
	}
}

// TestUnansweredStartWaitsWhileEvacuationsAreUnknown checks that a start without an answer is
// neither sent again nor stopped while the evacuations are unknown, and that it is sent again
// once its availability zone is known to be open.
func TestUnansweredStartWaitsWhileEvacuationsAreUnknown(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, north(0))
	s.Add(start, job("a", policy, step(1, 500, nil)))
	first := orders(s, start)[0]
	first.Worker.ExtendLease(start, settings.Lease)
	s.OrderAnswered(first, start, 0, &pointport.UnavailableError{Op: "start", Ambiguous: true, Err: errors.New("reset")})
	s.SetEvacuations(evacuation.Zones{})
	now := start
	for range 5 {
		now = now.Add(200 * time.Millisecond)
		for _, o := range orders(s, now) {
			if o.Kind == schedule.OrderStop || !s.SkipStart(now, o) {
				t.Fatalf("%+v is sent while evacuations are unknown", o)
			}
		}
	}
	s.SetEvacuations(evacuation.None)
	now = now.Add(200 * time.Millisecond)
	if again := orders(s, now); len(again) != 1 || again[0].Kind != schedule.OrderStart || s.SkipStart(now, again[0]) {
		t.Errorf("orders %+v, want the start once more", again)
	}
}

// TestRunsInAnEvacuatedZoneGoOn checks that runs in an evacuated availability zone go
// on, that the pool reserves no capacity elsewhere for its serving tasks, and that a serving
// task that ends there restarts elsewhere.
func TestRunsInAnEvacuatedZoneGoOn(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, north(0))
	s.Add(start, job("serves", policy, servingStep(2, 1000, nil)))
	s.Add(start, job("ends", policy, step(1, 1000, nil)))
	acceptAndReport(s, start, orders(s, start))
	before := s.Survey(start, schedule.SurveyRequest{}).Need.CPUMilli
	s.SetEvacuations(northEvacuated)
	now := start.Add(2 * time.Second)
	if got := countStops(orders(s, now)); got != 0 {
		t.Errorf("%d tasks are stopped by the evacuation, want none", got)
	}
	if got := s.Survey(now, schedule.SurveyRequest{}).Need.CPUMilli; before < 3000 || got != 1000 {
		t.Errorf("the pool needs %d thousandths of a core, and %d before the evacuation; want 1000, and at least 3000 before", got, before)
	}
	s.SetIncarnations(now, []pointport.Incarnation{north(0), south(1)})
	w := s.Workers()[0]
	ended := pointport.TaskEnd{Number: 1, TaskRun: pointport.TaskRun{Task: "serves.0.0.0", Run: 1}, Kind: pointport.EndFailed}
	s.Report(w, now, now, pointport.Report{Clock: 1, Ended: []pointport.TaskEnd{ended}, Running: []pointport.RunningTask{
		{TaskRun: pointport.TaskRun{Task: "serves.0.0.1", Run: 1}, Progress: 100},
	}})
	s.Report(s.Workers()[1], now, now, pointport.Report{Clock: 1})
	now = now.Add(3 * time.Second)
	if got := startsByZone(orders(s, now)); got["north"] != 0 || got["south"] == 0 {
		t.Errorf("starts %v after a serving task has ended, want some in south and none in north", got)
	}
}

// TestServingTasksDoNotMoveToAnEvacuatedZone checks that a serving task whose instance is
// emptied for maintenance does not move to an evacuated availability zone.
func TestServingTasksDoNotMoveToAnEvacuatedZone(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, south(1))
	s.Add(start, job("a", policy, servingStep(1, 1000, nil)))
	acceptAndReport(s, start, orders(s, start))
	now := start.Add(3 * time.Second)
	registerNewIdle(s, now, south(1), north(0))
	s.SetEvacuations(northEvacuated)
	survey := s.Survey(now, schedule.SurveyRequest{Closures: []schedule.Closure{{Instance: "m-1", Evacuate: true}}})
	if got := countStops(orders(s, now)); got != 0 || survey.Unmoved != 1 {
		t.Errorf("%d serving tasks are stopped and %d instances are missing for moves, want 0 and 1", got, survey.Unmoved)
	}
}

// TestAdvisorIsNotAskedAboutAnEvacuatedZone checks that the advisor is not asked about
// instances in an evacuated availability zone.
func TestAdvisorIsNotAskedAboutAnEvacuatedZone(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, north(0), south(1))
	s.SetEvacuations(northEvacuated)
	advised := policy
	advised.Advised = true
	s.Add(start, job("a", advised, step(1, 500, nil)))
	orders(s, start)
	q, ok := s.NextAdviceRequest(start, noFigures)
	if !ok || !slices.Equal(q.Incarnations, []pointport.IncarnationID{"i-1"}) {
		t.Errorf("advice request %+v, want one about the instance outside of the evacuated zone", q)
	}
}

// TestNothingIsPreemptedInAnEvacuatedZone checks that a task of priority 0 preempts nothing in
// an evacuated availability zone, where it could not start.
func TestNothingIsPreemptedInAnEvacuatedZone(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, north(0))
	low := policy
	low.Priority = 1
	s.Add(start, job("low", low, step(1, 4000, nil)))
	acceptAndReport(s, start, orders(s, start))
	s.SetEvacuations(northEvacuated)
	s.Add(start, job("urgent", policy, step(1, 4000, nil)))
	now := start
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		if got := countStops(orders(s, now)); got != 0 {
			t.Fatalf("%d tasks are stopped, want none", got)
		}
	}
}

// TestZoneThatComesBackColdGetsWorkGradually checks how tasks are placed while an availability
// zone comes back with cold instances, as many as the other one has: on warm instances while
// these have free capacity, on cold ones rather than wait, and on all alike once they are
// warm.
func TestZoneThatComesBackColdGetsWorkGradually(t *testing.T) {
	s := newTestScheduler()
	cold := []pointport.IncarnationOption{pointport.WithZone("north"), pointport.WithColdRemaining(2 * time.Second)}
	registerIdle(s, start, incarnation(0, cold...), incarnation(2, cold...), south(1), south(3))
	few, many := step(8, 1000, nil), step(12, 1000, nil)
	s.Add(start, job("few", policy, few))
	if got := startsByZone(orders(s, start)); got["north"] != 0 || got["south"] != 8 {
		t.Errorf("starts %v, want all on the warm instances, which have free capacity", got)
	}
	s.Add(start, job("many", policy, many))
	if got := startsByZone(orders(s, start)); got["north"] != 8 {
		t.Errorf("starts %v, want as many on cold instances as fit there", got)
	}
	warm := newTestScheduler()
	registerIdle(warm, start, incarnation(0, cold...), incarnation(2, cold...), south(1), south(3))
	later := start.Add(3 * time.Second)
	// The registration is read again unchanged, which must not restart the warm-up.
	warm.SetIncarnations(later, []pointport.Incarnation{incarnation(0, cold...), incarnation(2, cold...), south(1), south(3)})
	warm.Add(later, job("few", policy, few))
	if got := startsByZone(orders(warm, later)); got["north"] == 0 {
		t.Errorf("starts %v once the instances are warm, want some in north", got)
	}
}
