package schedule_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/evacuation"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file tests that nothing is started in an evacuated availability zone, by whatever way
// something is started.

// northEmpty is what an owner knows while the availability zone north is evacuated.
var northEmpty = evacuation.NewZones([]evacuation.Request{{Zone: "north", Revision: 7}})

// north and south return an instance of an availability zone.
func north(n int) pointport.Incarnation { return incarnation(n, pointport.WithZone("north")) }
func south(n int) pointport.Incarnation { return incarnation(n, pointport.WithZone("south")) }

// startsIn counts the starts among orders by availability zone.
func startsIn(all []schedule.Order) map[pointport.ZoneID]int {
	out := make(map[pointport.ZoneID]int)
	for _, o := range all {
		if o.Kind == schedule.OrderStart {
			out[o.Worker.Incarnation().Zone()]++
		}
	}
	return out
}

// Whatever a step asks for, its tasks are placed in the open availability zone, or wait.
func TestNothingIsPlacedInAnEvacuatedZone(t *testing.T) {
	cases := []struct {
		name string
		step workload.Step
		want int // starts in the other availability zone
	}{
		{"tasks", step(3, 500, nil), 3},
		{"more than fit", step(12, 1000, nil), 4},
		{"a gang", step(3, 500, func(s *workload.Step) { s.Gang = true }), 3},
		{"a gang that does not fit", step(5, 1000, func(s *workload.Step) { s.Gang = true }), 0},
		{"serving tasks", serving(3, 500, nil), 3},
		{"tasks that fill", step(2, 500, func(s *workload.Step) { s.Fills = true }), 2},
		{"copies", step(2, 500, func(s *workload.Step) { s.Copies = true }), 2},
		{"near data in the zone", step(2, 500, func(s *workload.Step) { s.DataRack = "r-0" }), 2},
		{"a label that only the zone has", step(2, 500, func(s *workload.Step) { s.Label = "r-0" }), 0},
		{"one on an instance", step(2, 500, func(s *workload.Step) { s.MaxPerInstance = 1 }), 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBook()
			hear(b, start, north(0), north(2), south(1))
			b.SetEvacuations(northEmpty)
			b.Add(start, job("a", policy, c.step))
			got := startsIn(orders(b, start))
			if got["north"] != 0 || got["south"] != c.want {
				t.Errorf("starts %v, want none in north and %d in south", got, c.want)
			}
			b.SetEvacuations(evacuation.None)
			if got := startsIn(orders(b, start.Add(time.Second))); c.want == 0 && got["north"] == 0 {
				t.Error("nothing starts in north once it is open")
			}
		})
	}
}

// Occurrences that fall due start elsewhere.
func TestOccurrencesAreNotStartedInAnEvacuatedZone(t *testing.T) {
	b := newBook()
	hear(b, start, north(0), south(1))
	recurring := workload.New("a", "q", policy, &workload.Spec{
		Steps: []workload.Step{step(2, 100, nil)}, Recur: workload.Recurrence{Times: 4, First: start.Add(time.Second), Every: time.Second},
	}, start)
	b.Add(start, recurring)
	b.SetEvacuations(northEmpty)
	all := 0
	for n := range 4 {
		got := startsIn(orders(b, start.Add(time.Duration(n+1)*time.Second)))
		if got["north"] != 0 {
			t.Fatalf("starts %v", got)
		}
		all += got["south"]
	}
	if all == 0 {
		t.Error("no occurrence has started")
	}
}

// While it is not known which availability zones are evacuated, nothing is placed anywhere.
func TestNothingIsPlacedWhileEvacuationsAreUnknown(t *testing.T) {
	b := newBook()
	hear(b, start, north(0), south(1))
	b.Add(start, job("a", policy, step(2, 500, nil)))
	b.SetEvacuations(evacuation.Zones{})
	if got := startsIn(orders(b, start)); len(got) != 0 {
		t.Errorf("starts %v", got)
	}
	x, _ := b.Explain(start, "a")
	if got := x.Steps[0].Waits; !strings.Contains(got, "may be evacuated") {
		t.Errorf("explained as %q", got)
	}
	b.SetEvacuations(northEmpty)
	if got := startsIn(orders(b, start)); got["south"] != 2 {
		t.Errorf("starts %v once it is known", got)
	}
}

// A job that waits because of an evacuation says so.
func TestWaitForAnEvacuatedZoneIsExplained(t *testing.T) {
	b := newBook()
	hear(b, start, north(0))
	b.Add(start, job("a", policy, step(2, 500, nil)))
	b.SetEvacuations(northEmpty)
	orders(b, start)
	x, _ := b.Explain(start, "a")
	if got := x.Steps[0].Waits; !strings.Contains(got, "in an evacuated availability zone") {
		t.Errorf("explained as %q", got)
	}
}

// A start that was ordered before the evacuation and waits to be sent is not sent, and its
// task starts elsewhere. One that was sent without an answer is ruled out by a stop, and its
// task waits until that is answered.
func TestStartsThatWaitAreForgone(t *testing.T) {
	for _, sentBefore := range []bool{false, true} {
		b := newBook()
		hear(b, start, north(0))
		b.Add(start, job("a", policy, step(1, 500, nil)))
		sent := orders(b, start)
		if len(sent) != 1 || b.SkipStart(start, sent[0]) {
			t.Fatalf("orders %v, want one start that is not forgone", sent)
		}
		first, now := sent[0], start.Add(time.Second)
		if sentBefore {
			b.OrderAnswered(first, start, 0, &pointport.UnavailableError{Op: "start", Ambiguous: true, Err: errors.New("reset")})
		}
		b.SetEvacuations(northEmpty)
		if !b.SkipStart(now, first) {
			t.Fatalf("the start is sent (sent before: %v)", sentBefore)
		}
		b.SetIncarnations(now, []pointport.Incarnation{north(0), south(1)})
		for _, w := range b.Workers() {
			b.Report(w, now, now, pointport.Report{Clock: 1})
		}
		later := orders(b, now)
		if got := startsIn(later); got["north"] != 0 || got["south"] > 0 == sentBefore {
			t.Errorf("starts %v, sent before: %v", got, sentBefore)
		}
		if got := stops(later); sentBefore && got != 1 {
			t.Errorf("%d stops of a start that may be under way, want 1", got)
		}
	}
}

// While it is not known what is asked, a start without an answer is neither sent again nor
// stopped; it is sent again once it is known that it may be.
func TestUnansweredStartWaitsWhileEvacuationsAreUnknown(t *testing.T) {
	b := newBook()
	hear(b, start, north(0))
	b.Add(start, job("a", policy, step(1, 500, nil)))
	first := orders(b, start)[0]
	first.Worker.ExtendLease(start, settings.Lease)
	b.OrderAnswered(first, start, 0, &pointport.UnavailableError{Op: "start", Ambiguous: true, Err: errors.New("reset")})
	b.SetEvacuations(evacuation.Zones{})
	now := start
	for range 5 {
		now = now.Add(200 * time.Millisecond)
		for _, o := range orders(b, now) {
			if o.Kind == schedule.OrderStop || !b.SkipStart(now, o) {
				t.Fatalf("%+v is sent", o)
			}
		}
	}
	b.SetEvacuations(evacuation.None)
	now = now.Add(200 * time.Millisecond)
	if again := orders(b, now); len(again) != 1 || again[0].Kind != schedule.OrderStart || b.SkipStart(now, again[0]) {
		t.Errorf("orders %+v, want the start once more", again)
	}
}

// What runs in the availability zone goes on, and its serving tasks are no reason to keep
// room for them elsewhere; those that end start again elsewhere.
func TestWhatRunsInAnEvacuatedZoneGoesOn(t *testing.T) {
	b := newBook()
	hear(b, start, north(0))
	b.Add(start, job("serves", policy, serving(2, 1000, nil)))
	b.Add(start, job("ends", policy, step(1, 1000, nil)))
	atWork(b, start, orders(b, start))
	before := b.Survey(start, schedule.SurveyRequest{}).Need.CPUMilli
	b.SetEvacuations(northEmpty)
	now := start.Add(2 * time.Second)
	if got := stops(orders(b, now)); got != 0 {
		t.Errorf("%d tasks are stopped", got)
	}
	if got := b.Survey(now, schedule.SurveyRequest{}).Need.CPUMilli; before < 3000 || got != 1000 {
		t.Errorf("the pool needs %d thousandths of a core, %d before the evacuation; want 1000, and 3000 or more", got, before)
	}
	b.SetIncarnations(now, []pointport.Incarnation{north(0), south(1)})
	w := b.Workers()[0]
	ended := pointport.TaskEnd{Number: 1, TaskRun: pointport.TaskRun{Task: "serves.0.0.0", Run: 1}, Kind: pointport.EndFailed}
	b.Report(w, now, now, pointport.Report{Clock: 1, Ended: []pointport.TaskEnd{ended}, Running: []pointport.RunningTask{
		{TaskRun: pointport.TaskRun{Task: "serves.0.0.1", Run: 1}, Progress: 100},
	}})
	b.Report(b.Workers()[1], now, now, pointport.Report{Clock: 1})
	now = now.Add(3 * time.Second)
	if got := startsIn(orders(b, now)); got["north"] != 0 || got["south"] == 0 {
		t.Errorf("starts %v after a serving task has ended", got)
	}
}

// A serving task whose instance is emptied for maintenance does not move to an evacuated
// availability zone.
func TestServingTasksDoNotMoveToAnEvacuatedZone(t *testing.T) {
	b := newBook()
	hear(b, start, south(1))
	b.Add(start, job("a", policy, serving(1, 1000, nil)))
	atWork(b, start, orders(b, start))
	now := start.Add(3 * time.Second)
	hearAll(b, now, south(1), north(0))
	b.SetEvacuations(northEmpty)
	s := b.Survey(now, schedule.SurveyRequest{Closures: []schedule.Closure{{Instance: "m-1", Evacuate: true}}})
	if got := stops(orders(b, now)); got != 0 || s.Unmoved != 1 {
		t.Errorf("%d serving tasks are stopped, %d instances are missing for them; want none and 1", got, s.Unmoved)
	}
}

// The advisor is not asked about instances that may not be used.
func TestAdvisorIsNotAskedAboutAnEvacuatedZone(t *testing.T) {
	b := newBook()
	hear(b, start, north(0), south(1))
	b.SetEvacuations(northEmpty)
	advised := policy
	advised.Advised = true
	b.Add(start, job("a", advised, step(1, 500, nil)))
	orders(b, start)
	for _, q := range b.TakeAdviceRequests() {
		for _, id := range q.Incarnations {
			if id == "i-0" {
				t.Errorf("question %+v", q)
			}
		}
	}
}

// A task of priority 0 takes no room from others in an evacuated availability zone: it could
// not use it.
func TestNothingIsPreemptedInAnEvacuatedZone(t *testing.T) {
	b := newBook()
	hear(b, start, north(0))
	low := policy
	low.Priority = 1
	b.Add(start, job("low", low, step(1, 4000, nil)))
	atWork(b, start, orders(b, start))
	b.SetEvacuations(northEmpty)
	b.Add(start, job("urgent", policy, step(1, 4000, nil)))
	now := start
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		if got := stops(orders(b, now)); got != 0 {
			t.Fatalf("%d tasks are stopped", got)
		}
	}
}

// The load that it plays: an availability zone comes back cold, with as many instances as the
// other one has. What callers get: their tasks run on warm instances while these have room, on
// cold ones rather than wait, and on all alike once they are warm.
func TestZoneThatComesBackColdGetsWorkGradually(t *testing.T) {
	b := newBook()
	cold := []pointport.IncarnationOption{pointport.WithZone("north"), pointport.WithCold(2 * time.Second)}
	hear(b, start, incarnation(0, cold...), incarnation(2, cold...), south(1), south(3))
	few, many := step(8, 1000, nil), step(12, 1000, nil)
	b.Add(start, job("few", policy, few))
	if got := startsIn(orders(b, start)); got["north"] != 0 || got["south"] != 8 {
		t.Errorf("starts %v, want all on the warm instances, which have room", got)
	}
	b.Add(start, job("many", policy, many))
	if got := startsIn(orders(b, start)); got["north"] != 8 {
		t.Errorf("starts %v, want as many on cold instances as they hold", got)
	}
	warm := newBook()
	hear(warm, start, incarnation(0, cold...), incarnation(2, cold...), south(1), south(3))
	later := start.Add(3 * time.Second)
	// The registration is read again as it was written, which makes it no colder.
	warm.SetIncarnations(later, []pointport.Incarnation{incarnation(0, cold...), incarnation(2, cold...), south(1), south(3)})
	warm.Add(later, job("few", policy, few))
	if got := startsIn(orders(warm, later)); got["north"] == 0 {
		t.Errorf("starts %v once the instances are warm", got)
	}
}
