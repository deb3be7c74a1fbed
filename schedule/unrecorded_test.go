package schedule_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file checks which starts are sent before they are stored.

// begunJob returns a job that was stored as begun: its first step is done, and the given steps
// follow.
func begunJob(id string, p workload.Policy, steps ...workload.Step) *workload.Job {
	j := job(id, p, append([]workload.Step{step(1, 100, nil)}, steps...)...)
	finishFirstStep(j)
	return j
}

func finishFirstStep(j *workload.Job) {
	j.BeginDue(start)
	j.Place(workload.TaskRef{}, "i-9", 1)
	j.Finish(workload.TaskRef{})
}

// releaseUnrecorded returns the starts that are released before they are stored; writing is the
// batch that is being written.
func releaseUnrecorded(s *schedule.Scheduler, writing *schedule.Batch, now time.Time) []schedule.Order {
	may := s.MayReleaseUnrecorded(writing)
	s.ReleaseUnrecorded(writing, now)
	out := s.TakeOrders()
	if may != (len(out) > 0) {
		panic("MayReleaseUnrecorded and ReleaseUnrecorded disagree")
	}
	return out
}

// TestUnrecordedStartIsStoredOnce checks that a task that may start unrecorded starts although its
// start is not stored, whether or not a write of it is pending, and that its storage neither starts
// it again nor is forgotten.
func TestUnrecordedStartIsStoredOnce(t *testing.T) {
	for _, writing := range []bool{false, true} {
		s := newTestScheduler()
		registerIdle(s, start, incarnation(0))
		s.Add(start, begunJob("a", policy, step(2, 100, nil)))
		s.SetPeerLeased(true)
		s.Plan(start)
		var batch schedule.Batch
		if writing {
			batch = s.TakeBatch(everything)
		}
		all := releaseUnrecorded(s, &batch, start)
		if len(all) != 2 || all[0].TaskRun.Run != 1 {
			t.Fatalf("writing %t: orders %+v, want the starts of both first runs", writing, all)
		}
		if again := releaseUnrecorded(s, &batch, start); len(again) != 0 {
			t.Errorf("writing %t: orders %+v the second time, want none", writing, again)
		}
		if batch.Starts() != 0 {
			t.Errorf("writing %t: the batch has %d starts to be sent once it is stored, want none", writing, batch.Starts())
		}
		if !writing {
			batch = s.TakeBatch(everything)
		}
		if len(batch.Records) != 1 || !s.Unrecorded() {
			t.Errorf("writing %t: records %+v, unrecorded %t; want that of the job, and true until it is stored", writing, batch.Records, s.Unrecorded())
		}
		s.SetPeerLeased(false)
		s.Stored(batch, start)
		if again := s.TakeOrders(); len(again) != 0 || s.Unrecorded() {
			t.Errorf("writing %t: orders %+v, unrecorded %t once it is stored; want none and false", writing, again, s.Unrecorded())
		}
	}
}

// TestStartsThatMustBeStoredFirst checks that a task starts unrecorded only if a successor can tell
// that it may have started. Each case breaks one condition.
func TestStartsThatMustBeStoredFirst(t *testing.T) {
	second := workload.TaskRef{Step: 1}
	advised := policy
	advised.Advised = true
	recurring := func() *workload.Job {
		j := workload.New("a", "q", policy, &workload.Spec{
			Steps: []workload.Step{step(1, 100, nil), step(1, 100, nil)}, Recur: workload.Recurrence{Times: 2, Every: time.Minute, First: start},
		}, start)
		finishFirstStep(j)
		return j
	}
	cases := map[string]func(s *schedule.Scheduler){
		"job has not begun": func(s *schedule.Scheduler) { s.Add(start, job("a", policy, step(1, 100, nil))) },
		"job is not stored as begun": func(s *schedule.Scheduler) {
			s.Add(start, job("a", policy, step(1, 100, nil), step(1, 100, nil)))
			s.Plan(start)
			s.TakeBatch(everything) // is being written
		},
		"serving": func(s *schedule.Scheduler) {
			s.Add(start, begunJob("a", policy, step(1, 100, func(s *workload.Step) { s.Service = true })))
		},
		"gang": func(s *schedule.Scheduler) {
			s.Add(start, begunJob("a", policy, step(2, 100, func(s *workload.Step) { s.Gang = true })))
		},
		"copies": func(s *schedule.Scheduler) {
			s.Add(start, begunJob("a", policy, step(1, 100, func(s *workload.Step) { s.Copies = true })))
		},
		"recurring": func(s *schedule.Scheduler) { s.Add(start, recurring()) },
		"second run": func(s *schedule.Scheduler) {
			j := begunJob("a", policy, step(1, 100, nil))
			j.Place(second, "i-9", 1)
			j.Requeue(second)
			s.Add(start, j)
		},
		"advised": func(s *schedule.Scheduler) {
			s.Add(start, begunJob("a", advised, step(1, 100, nil)))
			s.Plan(start)
			if r, ok := s.NextAdviceRequest(start, noFigures); ok {
				s.AdviceAnswered(r, start, start, adviceFor(time.Minute, "i-0"), nil)
			}
		},
	}
	for name, add := range cases {
		t.Run(name, func(t *testing.T) {
			// The tasks were placed while the store was available.
			s := newTestScheduler()
			registerIdle(s, start, incarnation(0))
			add(s)
			s.Plan(start)
			s.SetPeerLeased(true)
			writing := s.TakeBatch(everything)
			if len(writing.Records) == 0 && name != "job is not stored as begun" {
				t.Fatal("nothing is placed, so this checks nothing")
			}
			if all := releaseUnrecorded(s, &writing, start); len(all) != 0 {
				t.Errorf("orders %+v for tasks that were placed before, want none", all)
			}
			s.Stored(writing, start)

			// The store is unavailable before they are placed.
			s = newTestScheduler()
			registerIdle(s, start, incarnation(0))
			s.SetPeerLeased(true)
			add(s)
			s.Plan(start)
			if got := s.Survey(start, schedule.SurveyRequest{}).Instances[0].Runs; got != 0 {
				t.Errorf("%d tasks are placed, want none: they would reserve capacity without running", got)
			}
		})
	}
}

// TestNoUnrecordedStartBeyondCap checks that a placed task does not start unrecorded once its
// customer's cap leaves no room for it, as while the configuration is not confirmed.
func TestNoUnrecordedStartBeyondCap(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0))
	j := workload.New("a", "q", policy, &workload.Spec{Steps: []workload.Step{step(1, 100, nil), step(1, 100, nil)}}, start, workload.WithCustomer("c"))
	finishFirstStep(j)
	s.Add(start, j)
	s.SetPeerLeased(true)
	s.SetAllowed(map[string]pointport.Shape{"c": size})
	s.Plan(start)
	s.SetAllowed(map[string]pointport.Shape{"c": {}})
	if all := releaseUnrecorded(s, &schedule.Batch{}, start); len(all) != 0 {
		t.Errorf("orders %+v while the customer may use nothing, want none", all)
	}
	s.SetAllowed(map[string]pointport.Shape{"c": size})
	if all := releaseUnrecorded(s, &schedule.Batch{}, start); len(all) != 1 {
		t.Errorf("orders %+v while the customer may use all, want one", all)
	}
}

// TestNothingIsReleasedWhileStoreProves checks that no start is released unrecorded unless the owner
// is proven by peer leases: a successor would not be told that it has to hold tasks back.
func TestNothingIsReleasedWhileStoreProves(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0))
	s.Add(start, begunJob("a", policy, step(2, 100, nil)))
	s.Plan(start)
	if all := releaseUnrecorded(s, &schedule.Batch{}, start); len(all) != 0 {
		t.Errorf("orders %+v, want none", all)
	}
}

// TestReleasedStartsLeaveRoomForFurtherOnes checks that starts that were released do not count
// against the limit of starts that wait to be stored: during an outage, no more would start than that
// limit.
func TestReleasedStartsLeaveRoomForFurtherOnes(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0))
	s.Add(start, begunJob("a", policy, step(6, 100, nil)))
	s.SetPeerLeased(true)
	s.LimitUnstoredStarts(1)
	started := 0
	for range 2 {
		s.Plan(start)
		started += len(releaseUnrecorded(s, &schedule.Batch{}, start))
	}
	s.Add(start, begunJob("b", policy, step(1, 100, nil)))
	s.Plan(start)
	if started += len(releaseUnrecorded(s, &schedule.Batch{}, start)); started != 7 {
		t.Errorf("%d starts, want all 7", started)
	}
	batch := s.TakeBatch(everything)
	s.Stored(batch, start)
	s.Add(start, job("c", policy, step(1, 100, nil)))
	s.SetPeerLeased(false)
	s.LimitUnstoredStarts(1)
	if got := len(orders(s, start)); got != 1 {
		t.Errorf("%d starts once the store is back, want one", got)
	}
	s.LimitUnstoredStarts(0)
	s.Add(start, job("d", policy, step(1, 100, nil)))
	if got := len(orders(s, start)); got != 0 {
		t.Errorf("%d starts beyond the limit, want none", got)
	}
}

// TestRequeuedTaskIsNotStartedUnrecordedAgain checks that a task whose unrecorded run has ended
// without a result waits for the store: its second run is one that a successor could not tell.
func TestRequeuedTaskIsNotStartedUnrecordedAgain(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0), incarnation(1))
	s.Add(start, begunJob("a", policy, step(1, 100, nil)))
	s.SetPeerLeased(true)
	s.Plan(start)
	o := releaseUnrecorded(s, &schedule.Batch{}, start)[0]
	s.MarkSending(o)
	s.OrderAnswered(o, start, 1, nil)
	later := start.Add(time.Second)
	s.Report(o.Worker, later, later, pointport.Report{Clock: 1, Ended: []pointport.TaskEnd{{Number: 1, TaskRun: o.TaskRun, Kind: pointport.EndStopped}}})
	s.Plan(later)
	if all := releaseUnrecorded(s, &schedule.Batch{}, later); len(all) != 0 {
		t.Fatalf("orders %+v before the store is back, want none", all)
	}
	s.SetPeerLeased(false)
	if all := orders(s, later); len(all) != 1 || all[0].TaskRun.Run != 2 {
		t.Errorf("orders %+v once the store is back, want the start of run 2", all)
	}
}

// TestDroppedRunIsNotReleased checks that a placed task does not start unrecorded once its job is
// cancelled.
func TestDroppedRunIsNotReleased(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0))
	s.Add(start, begunJob("a", policy, step(1, 100, nil)))
	s.SetPeerLeased(true)
	s.Plan(start)
	s.Cancel(start, "a")
	if all := releaseUnrecorded(s, &schedule.Batch{}, start); len(all) != 0 {
		t.Errorf("orders %+v, want none", all)
	}
}

// TestReleasedJobsLeaveRoomAfterSmallBatch checks that jobs whose starts were released do not count
// against the limit on jobs that wait for a small batch: no more than 24 jobs would go on during an
// outage.
func TestReleasedJobsLeaveRoomAfterSmallBatch(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0), incarnation(1))
	const oneTransaction = 29
	s.TakeBatch(oneTransaction)
	s.SetPeerLeased(true)
	for n := range 25 {
		s.Add(start, begunJob(fmt.Sprintf("job%d", n), policy, step(1, 100, nil)))
	}
	started := 0
	for range 3 {
		s.Plan(start)
		started += len(releaseUnrecorded(s, &schedule.Batch{}, start))
	}
	if started != 25 {
		t.Errorf("%d starts, want all 25", started)
	}
	// Released starts among others do not count as jobs that wait.
	s.SetPeerLeased(false)
	s.Add(start, job("new0", policy, step(26, 10, nil)))
	for n := range 30 {
		s.Add(start, job(fmt.Sprintf("new%d", n+1), policy, step(1, 100, nil)))
	}
	s.Plan(start)
	s.Stored(s.TakeBatch(everything), start)
	if got := len(s.TakeOrders()); got != 26+23 {
		t.Errorf("%d further starts, want those of 24 jobs", got)
	}
}

// TestServingTasksStayWhilePeerLeased checks that no serving task moves off an instance that is being
// emptied while the store is unavailable: it could not start elsewhere.
func TestServingTasksStayWhilePeerLeased(t *testing.T) {
	for _, peerLeased := range []bool{false, true} {
		s := newTestScheduler()
		registerIdle(s, start, incarnation(0))
		s.Add(start, job("a", policy, servingStep(1, 1000, nil)))
		acceptAndReport(s, start, orders(s, start))
		now := start.Add(3 * time.Second)
		registerNewIdle(s, now, incarnation(0), incarnation(1))
		s.Survey(now, schedule.SurveyRequest{Closures: []schedule.Closure{{Instance: "m-0", Evacuate: true}}})
		s.SetPeerLeased(peerLeased)
		if got := countStops(orders(s, now)); (got == 0) != peerLeased {
			t.Errorf("peer-leased %t: %d stops", peerLeased, got)
		}
	}
}

// TestStuckRunStaysWhilePeerLeased checks that a run without progress is not stopped while the store
// is unavailable: its task could not start elsewhere.
func TestStuckRunStaysWhilePeerLeased(t *testing.T) {
	for _, peerLeased := range []bool{false, true} {
		s, o := schedulerWithRun()
		s.SetPeerLeased(peerLeased)
		for at := 100 * time.Millisecond; at < 5*time.Second; at += 100 * time.Millisecond {
			s.Report(o.Worker, start.Add(at), start.Add(at), progressed(o, at, 10))
		}
		if got := countStops(s.TakeOrders()); (got == 0) != peerLeased {
			t.Errorf("peer-leased %t: %d stops", peerLeased, got)
		}
	}
}

// TestNothingIsPreemptedWhilePeerLeased checks that a job of priority 0 takes no capacity from others
// while the store is unavailable: what was stopped could not start again.
func TestNothingIsPreemptedWhilePeerLeased(t *testing.T) {
	for _, peerLeased := range []bool{false, true} {
		s := newTestScheduler()
		registerIdle(s, start, incarnation(0))
		low := policy
		low.Priority = 1
		s.Add(start, job("low", low, step(1, 4000, nil)))
		for _, o := range orders(s, start) {
			s.MarkSending(o)
			s.OrderAnswered(o, start, 1, nil)
		}
		s.Add(start, begunJob("high", policy, step(1, 4000, nil)))
		s.SetPeerLeased(peerLeased)
		stops := 0
		for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(100 * time.Millisecond) {
			stops += countStops(orders(s, now))
		}
		if (stops > 0) == peerLeased {
			t.Errorf("peer-leased %t: %d stops", peerLeased, stops)
		}
	}
}

// TestWaitForStoreIsExplained checks that the wait of a step's tasks is explained by those that are
// pending: another task of the step may be done, and its run number decides nothing.
func TestWaitForStoreIsExplained(t *testing.T) {
	cases := map[string]struct {
		change func(j *workload.Job, pending workload.TaskRef)
		want   bool
	}{
		"first run":  {func(*workload.Job, workload.TaskRef) {}, false},
		"second run": {func(j *workload.Job, pending workload.TaskRef) { j.Place(pending, "i-9", 1); j.Requeue(pending) }, true},
	}
	for name, c := range cases {
		j := begunJob("a", policy, step(2, 100000, nil)) // fits nowhere
		done, pending := workload.TaskRef{Step: 1}, workload.TaskRef{Step: 1, Index: 1}
		j.Place(done, "i-9", 1)
		j.Finish(done)
		c.change(j, pending)
		s := newTestScheduler()
		registerIdle(s, start, incarnation(0))
		s.Add(start, j)
		s.SetPeerLeased(true)
		s.Plan(start)
		x, _ := s.Explain(start, "a")
		if got := x.Steps[1].Waits; strings.Contains(got, "wait for the store") != c.want {
			t.Errorf("%s: explained as %q", name, got)
		}
	}
}
