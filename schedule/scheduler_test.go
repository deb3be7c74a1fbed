package schedule_test

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pointport/pointport"
	_ "github.com/pointport/pointport/internal/fixedseed"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// start is when all tests begin.
var start = time.Unix(1000, 0)

// everything is an upper bound on the entries of a batch that no test exceeds.
const everything = 1 << 20

// settings are the settings of the scheduler in all tests.
var settings = schedule.Settings{
	Lease: 4 * time.Second, PredecessorBound: 6 * time.Second, MaxHold: 10 * time.Second, KeepEnded: time.Minute,
	GangTimeout: 3 * time.Second, RemoteDataSlowdown: 2,
}

// newTestScheduler returns a scheduler without jobs and instances.
func newTestScheduler() *schedule.Scheduler {
	return schedule.NewScheduler(start, settings, slog.New(slog.DiscardHandler))
}

// size is the capacity of an instance.
var size = pointport.Shape{CPUMilli: 4000, MemoryMiB: 4000}

// incarnation returns the registration of an instance with a number: an incarnation with an
// addressee of its own, on one of two racks.
func incarnation(n int, options ...pointport.IncarnationOption) pointport.Incarnation {
	id := pointport.IncarnationID(fmt.Sprintf("i-%d", n))
	options = append([]pointport.IncarnationOption{
		pointport.WithInstance(pointport.InstanceID(fmt.Sprintf("m-%d", n))), pointport.WithCapacity(size),
		pointport.WithRack(fmt.Sprintf("r-%d", n%2)), pointport.WithLabels([]string{"a", fmt.Sprintf("r-%d", n%2)}),
	}, options...)
	return pointport.NewIncarnation(id, "p", "10.0.0.1:1", options...)
}

// registerIdle registers instances and handles a report from each that it runs nothing.
func registerIdle(s *schedule.Scheduler, now time.Time, all ...pointport.Incarnation) {
	s.SetIncarnations(now, all)
	for _, w := range s.Workers() {
		s.Report(w, now, now, pointport.Report{Clock: 1})
	}
}

// job returns a job that is submitted at start.
func job(id string, policy workload.Policy, steps ...workload.Step) *workload.Job {
	return workload.New(id, "q", policy, &workload.Spec{Steps: steps}, start)
}

// policy is the policy of most jobs.
var policy = workload.Policy{MaxAttempts: 3, Stretch: 1.6, Target: 600 * time.Millisecond}

// step returns a step of count tasks that need cpu thousandths of a core each; change may be
// nil.
func step(count int, cpu int64, change func(*workload.Step)) workload.Step {
	s := workload.Step{Count: count, Need: pointport.Shape{CPUMilli: cpu, MemoryMiB: 100}, Estimate: time.Second}
	if change != nil {
		change(&s)
	}
	return s
}

// orders plans, stores what has changed and returns the orders to be sent.
func orders(s *schedule.Scheduler, now time.Time) []schedule.Order {
	s.Plan(now)
	s.Stored(s.TakeBatch(everything), now)
	return s.TakeOrders()
}

// startsByIncarnation counts the start orders by incarnation.
func startsByIncarnation(all []schedule.Order) map[pointport.IncarnationID]int {
	out := make(map[pointport.IncarnationID]int)
	for _, o := range all {
		if o.Kind == schedule.OrderStart {
			out[o.Worker.Endpoint().Incarnation]++
		}
	}
	return out
}

// TestNothingIsSentBeforeItIsStored checks that a start order is returned only once the
// placement of its task is stored.
func TestNothingIsSentBeforeItIsStored(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(1))
	s.Add(start, job("a", policy, step(2, 500, nil)))
	s.Plan(start)
	if got := s.TakeOrders(); len(got) != 0 {
		t.Fatalf("%d orders before anything is stored, want none", len(got))
	}
	batch := s.TakeBatch(everything)
	if len(batch.Records) != 1 {
		t.Fatalf("records %+v, want that of the job", batch.Records)
	}
	s.Stored(batch, start)
	if got := startsByIncarnation(s.TakeOrders()); got["i-1"] != 2 {
		t.Errorf("starts %v, want two", got)
	}
}

// TestPlacementKeepsWhatStepsAskFor checks that tasks are placed within the capacity of
// instances and by the constraints of their step.
func TestPlacementKeepsWhatStepsAskFor(t *testing.T) {
	cases := []struct {
		name string
		step workload.Step
		want map[pointport.IncarnationID]int
	}{
		{"capacity", step(9, 1000, nil), map[pointport.IncarnationID]int{"i-0": 4, "i-1": 4, "i-2": 1}},
		{"limit per instance", step(9, 100, func(s *workload.Step) { s.MaxPerInstance = 2 }), map[pointport.IncarnationID]int{"i-0": 2, "i-1": 2, "i-2": 2, "i-3": 2}},
		{"label", step(3, 100, func(s *workload.Step) { s.Label = "r-1" }), map[pointport.IncarnationID]int{"i-1": 3}},
		{"label that no instance has", step(3, 100, func(s *workload.Step) { s.Label = "gpu" }), map[pointport.IncarnationID]int{}},
		{"data rack", step(3, 100, func(s *workload.Step) { s.DataRack = "r-1" }), map[pointport.IncarnationID]int{"i-1": 3}},
		{"gang that fits", step(8, 1000, func(s *workload.Step) { s.Gang = true }), map[pointport.IncarnationID]int{"i-0": 4, "i-1": 4}},
		{"gang in one rack", step(5, 1000, func(s *workload.Step) { s.Gang, s.SameRack = true, true }), map[pointport.IncarnationID]int{"i-0": 4, "i-2": 1}},
		{"gang that does not fit", step(17, 1000, func(s *workload.Step) { s.Gang = true }), map[pointport.IncarnationID]int{}},
		{"background tasks reserve no CPU", step(5, 4000, func(s *workload.Step) { s.Fills = true }), map[pointport.IncarnationID]int{"i-0": 5}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler()
			registerIdle(s, start, incarnation(0), incarnation(1), incarnation(2), incarnation(3))
			s.Add(start, job("a", policy, c.step))
			got := startsByIncarnation(orders(s, start))
			if fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("starts %v, want %v", got, c.want)
			}
		})
	}
}

// TestJobsThatCanEndInTimeGoFirst checks that jobs that can still meet their deadline are
// placed before those that can no longer, even if these were submitted earlier.
func TestJobsThatCanEndInTimeGoFirst(t *testing.T) {
	s := newTestScheduler()
	late := start.Add(10 * time.Second)
	whole := step(1, 4000, nil)
	s.Add(late, job("late", policy, whole)) // submitted ten seconds earlier
	s.Add(late, workload.New("fresh", "q", policy, &workload.Spec{Steps: []workload.Step{whole}}, late))
	registerIdle(s, late, incarnation(0))
	got := orders(s, late)
	if len(got) != 1 || got[0].TaskRun.Task != "fresh.0.0.0" {
		t.Errorf("orders %+v, want only the start of the job that can meet its deadline", got)
	}
}

// TestBegunJobsGoBeforeFreshOnes checks that a job that has begun and can end in time is placed
// before a fresh one, even if the fresh one has an earlier deadline.
func TestBegunJobsGoBeforeFreshOnes(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0))
	whole, second := step(1, 4000, nil), step(1, 4000, func(st *workload.Step) { st.After = []int{0} })
	patient, hasty := policy, policy
	patient.Target, hasty.Target = time.Minute, 10*time.Second
	s.Add(start, job("begun", patient, whole, second))
	first := orders(s, start)
	if len(first) != 1 {
		t.Fatalf("orders %+v, want the start of the first step", first)
	}
	s.OrderAnswered(first[0], start, 1, nil)
	s.Add(start, job("fresh", hasty, whole))
	done := start.Add(time.Second)
	s.Report(first[0].Worker, done, done, pointport.Report{Clock: pointport.InstanceTime(time.Second), Ended: []pointport.TaskEnd{{
		Number: 1, TaskRun: first[0].TaskRun, Kind: pointport.EndDone,
	}}})
	got := orders(s, done)
	if len(got) != 1 || got[0].TaskRun.Task != "begun.0.1.0" {
		t.Errorf("orders %+v, want only the start of the second step of the job that has begun", got)
	}
}

// TestUrgentJobPreemptsOthers checks that a job of priority 0 that finds no free capacity has
// tasks of a lower priority stopped.
func TestUrgentJobPreemptsOthers(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0))
	low := policy
	low.Priority = 1
	s.Add(start, job("low", low, step(1, 4000, nil)))
	first := orders(s, start)
	s.OrderAnswered(first[0], start, 1, nil)
	s.Add(start, job("high", policy, step(1, 4000, nil)))
	var stops int
	for now := start; now.Before(start.Add(2 * time.Second)); now = now.Add(100 * time.Millisecond) {
		for _, o := range orders(s, now) {
			if o.Kind == schedule.OrderStop && o.TaskRun.Task == "low.0.0.0" {
				stops++
			}
		}
	}
	if stops == 0 {
		t.Error("no task is stopped for the urgent job")
	}
}

// TestFailingInstanceIsAvoided checks that nothing is placed on an instance for a while after
// two runs in a row have failed there.
func TestFailingInstanceIsAvoided(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0), incarnation(1))
	for n := range 2 {
		id := fmt.Sprintf("job%d", n)
		s.Add(start, job(id, policy, step(1, 100, nil)))
		o := orders(s, start)[0]
		s.OrderAnswered(o, start, 1, nil)
		s.Report(o.Worker, start, start, pointport.Report{Clock: 1, Ended: []pointport.TaskEnd{{
			Number: int64(n + 1), TaskRun: o.TaskRun, Kind: pointport.EndFailed,
		}}})
		s.Cancel(start, id)
	}
	orders(s, start)
	s.Add(start, job("next", policy, step(3, 100, nil)))
	if got := startsByIncarnation(orders(s, start)); got["i-1"] != 3 {
		t.Errorf("starts %v, want all on the other instance", got)
	}
}

// TestFailedTaskGoesElsewhere checks that a task that has failed on an instance is started on
// another one, if there is any.
func TestFailedTaskGoesElsewhere(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0), incarnation(1))
	s.Add(start, job("a", policy, step(1, 100, nil)))
	o := orders(s, start)[0]
	s.OrderAnswered(o, start, 1, nil)
	s.Report(o.Worker, start, start, pointport.Report{Clock: 1, Ended: []pointport.TaskEnd{{Number: 1, TaskRun: o.TaskRun, Kind: pointport.EndFailed}}})
	next := orders(s, start)
	if len(next) != 1 || next[0].Worker == o.Worker || next[0].TaskRun.Run != 2 {
		t.Errorf("orders %+v, want run 2 on the other instance", next)
	}
}

// TestSlowRunIsRestartedOnce checks that a run that is much slower than others of its
// step is restarted on another instance once. If the task is slow there too, the task itself
// is slow, and another restart would only lose its progress.
func TestSlowRunIsRestartedOnce(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0), incarnation(1))
	s.Add(start, job("a", policy, step(2, 4000, nil)))
	first := orders(s, start)
	for _, o := range first {
		s.OrderAnswered(o, start, clockAt(start), nil)
	}
	quick, slow := first[0], first[1]
	now := start.Add(500 * time.Millisecond)
	s.Report(quick.Worker, start, now, pointport.Report{Clock: clockAt(now), Ended: []pointport.TaskEnd{{Number: 1, TaskRun: quick.TaskRun, Kind: pointport.EndDone}}})
	restarts := 0
	run, progress := slow, 0
	for range 40 {
		now = now.Add(250 * time.Millisecond)
		progress = min(99, progress+3)
		s.Report(run.Worker, now, now, pointport.Report{Clock: clockAt(now), Running: []pointport.RunningTask{{TaskRun: run.TaskRun, Progress: progress}}})
		for _, o := range orders(s, now) {
			switch o.Kind {
			case schedule.OrderStop:
				s.OrderAnswered(o, now, clockAt(now), nil)
				s.Report(o.Worker, now.Add(time.Millisecond), now, pointport.Report{Clock: clockAt(now), Ended: []pointport.TaskEnd{{Number: 2, TaskRun: o.TaskRun, Kind: pointport.EndStopped}}})
			case schedule.OrderStart:
				s.OrderAnswered(o, now, clockAt(now), nil)
				restarts++
				run, progress = o, 0
			}
		}
	}
	if restarts != 1 {
		t.Errorf("%d restarts, want one", restarts)
	}
}

// TestTaskOfSilentInstanceRestartsElsewhere checks when the task of a silent instance whose
// registration has gone is started elsewhere: after its execution lease has expired, even by a
// slow clock, or within a second if copies of the task may run.
func TestTaskOfSilentInstanceRestartsElsewhere(t *testing.T) {
	for _, copies := range []bool{false, true} {
		s := newTestScheduler()
		registerIdle(s, start, incarnation(0))
		s.Add(start, job("a", policy, step(1, 100, func(s *workload.Step) { s.Copies = copies })))
		o := orders(s, start)[0]
		o.Worker.ExtendLease(start, settings.Lease)
		s.OrderAnswered(o, start, 1, nil)
		s.SetIncarnations(start, []pointport.Incarnation{incarnation(0), incarnation(1)})
		silent := &pointport.UnavailableError{Op: "hold", Ambiguous: true}
		var again time.Duration
		for now := start; again == 0 && now.Before(start.Add(8*time.Second)); now = now.Add(50 * time.Millisecond) {
			s.PollFailed(o.Worker, now, silent)
			s.SetRegistryCoverage(schedule.RegistryCoverage{Since: start, Until: now})
			if now.Sub(start) == time.Second {
				s.SetIncarnations(now, []pointport.Incarnation{incarnation(1)})
			}
			for _, w := range s.Workers() {
				if w != o.Worker {
					s.Report(w, now, now, pointport.Report{Clock: 1})
				}
			}
			for _, next := range orders(s, now) {
				if next.Kind == schedule.OrderStart && next.Worker != o.Worker {
					again = now.Sub(start)
				}
			}
		}
		switch {
		case copies && (again == 0 || again > time.Second):
			t.Errorf("a copy starts after %v, want within a second", again)
		case !copies && (again < settings.Lease || again > settings.Lease+time.Second):
			t.Errorf("the task starts again after %v, want just after %v", again, settings.Lease)
		}
	}
}

// TestAdviceIsRequestedAndFollowed checks that the tasks of an advised step wait until the
// advisor has answered, and are started as it advises, with its ticket.
func TestAdviceIsRequestedAndFollowed(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0), incarnation(1), incarnation(2))
	advised := policy
	advised.Advised = true
	s.Add(start, job("a", advised, step(2, 100, nil)))
	if got := startsByIncarnation(orders(s, start)); len(got) != 0 {
		t.Fatalf("starts %v without advice", got)
	}
	request, ok := s.NextAdviceRequest(start, noFigures)
	if !ok || request.Step != "a.0.0" || len(request.Incarnations) != 3 {
		t.Fatalf("advice request %+v, want one for all instances", request)
	}
	if again, ok := s.NextAdviceRequest(start, noFigures); ok {
		t.Errorf("advice request %+v while one about the step is in flight", again)
	}
	s.AdviceAnswered(request, start, start, adviceFor(3*time.Second, "i-2"), nil)
	got := orders(s, start)
	if startsByIncarnation(got)["i-2"] != 2 || got[0].Ticket != "ticket" {
		t.Errorf("orders %+v, want two starts with the ticket", got)
	}
}

// TestPaceFollowsTheTail checks that background tasks are slowed down beside a serving task
// whose tail latency is over its target, and sped up again once it is below.
func TestPaceFollowsTheTail(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0))
	serve := step(1, 500, func(s *workload.Step) { s.Service, s.TailTarget = true, 40*time.Millisecond })
	fill := step(1, 500, func(s *workload.Step) { s.Fills = true })
	s.Add(start, job("serve", policy, serve))
	s.Add(start, job("fill", policy, fill))
	first := orders(s, start)
	for _, o := range first {
		s.OrderAnswered(o, start, 1, nil)
	}
	pace := 100
	report := func(now time.Time, tail int) {
		s.Report(first[0].Worker, now, now, pointport.Report{Clock: 1, Running: []pointport.RunningTask{
			{TaskRun: pointport.TaskRun{Task: "serve.0.0.0", Run: 1}, Progress: 100, Load: tail},
			{TaskRun: pointport.TaskRun{Task: "fill.0.0.0", Run: 1}, Progress: int(now.Sub(start) / time.Second)},
		}})
		for _, o := range orders(s, now) {
			if o.Kind == schedule.OrderPace {
				pace = o.Percent
			}
		}
	}
	now := start.Add(time.Second)
	report(now, 60)
	if pace != 0 {
		t.Errorf("pace %d beside a tail latency over its target, want 0", pace)
	}
	for range 12 {
		now = now.Add(700 * time.Millisecond)
		report(now, 10)
	}
	if pace != 100 {
		t.Errorf("pace %d beside a short tail latency, want 100", pace)
	}
}

// TestDrainingInstanceIsLeft checks that serving tasks and tasks that cannot end in time are
// stopped on a draining instance, and that a short task is left running.
func TestDrainingInstanceIsLeft(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0))
	s.Add(start, job("serve", policy, step(1, 500, func(s *workload.Step) { s.Service = true })))
	s.Add(start, job("short", policy, step(1, 500, func(s *workload.Step) { s.Estimate = 200 * time.Millisecond })))
	s.Add(start, job("long", policy, step(1, 500, func(s *workload.Step) { s.Estimate = 9 * time.Second })))
	for _, o := range orders(s, start) {
		s.OrderAnswered(o, start, 1, nil)
	}
	s.SetIncarnations(start, []pointport.Incarnation{incarnation(0, pointport.WithDraining(2*time.Second))})
	stopped := make(map[string]bool)
	for _, o := range orders(s, start) {
		if o.Kind == schedule.OrderStop {
			stopped[o.TaskRun.Task] = true
		}
	}
	if !stopped["serve.0.0.0"] || !stopped["long.0.0.0"] || stopped["short.0.0.0"] {
		t.Errorf("stopped %v, want the serving and the long task", stopped)
	}
}

// TestPlacementProperties checks that, whatever jobs there are, no instance is given more than
// its capacity, no step more tasks on an instance than its limit, and no gang is started in
// part.
func TestPlacementProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestScheduler()
		n := rapid.IntRange(1, 6).Draw(t, "instances")
		var all []pointport.Incarnation
		for i := range n {
			all = append(all, incarnation(i))
		}
		registerIdle(s, start, all...)
		specs := make(map[string]workload.Step)
		for i := range rapid.IntRange(1, 8).Draw(t, "jobs") {
			spec := step(rapid.IntRange(1, 9).Draw(t, "count"), int64(100*rapid.IntRange(1, 30).Draw(t, "cpu")), func(s *workload.Step) {
				s.MaxPerInstance = rapid.IntRange(0, 3).Draw(t, "most")
				s.Gang = rapid.Bool().Draw(t, "gang")
				s.SameRack = rapid.Bool().Draw(t, "sameRack")
				s.Service = !s.Gang && rapid.Bool().Draw(t, "service")
			})
			id := fmt.Sprintf("job%d", i)
			specs[id] = spec
			s.Add(start, job(id, policy, spec))
		}
		used := make(map[pointport.IncarnationID]pointport.Shape)
		perStep := make(map[string]int)
		perJob := make(map[string]int)
		for _, o := range orders(s, start) {
			id, _, err := workload.ParseTaskName(o.TaskRun.Task)
			if err != nil {
				t.Fatal(err)
			}
			at := o.Worker.Endpoint().Incarnation
			s := specs[id]
			used[at] = used[at].Plus(s.Reservation())
			perStep[id+string(at)]++
			perJob[id]++
			if most := specs[id].MaxPerInstance; most > 0 && perStep[id+string(at)] > most {
				t.Fatalf("%s has %d tasks on %s, want at most %d", id, perStep[id+string(at)], at, most)
			}
		}
		for at, shape := range used {
			if !size.Fits(shape) {
				t.Fatalf("tasks on %s reserve %+v, which exceeds its capacity %+v", at, shape, size)
			}
		}
		for id, started := range perJob {
			if specs[id].Gang && started != specs[id].Count {
				t.Fatalf("%d tasks of a gang of %d start, want all or none", started, specs[id].Count)
			}
		}
	})
}
