package schedule_test

import (
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file tests that a start that waits to be sent is skipped once it must not be carried
// out any more.
//
// The failure behind it: a task's instance becomes silent and a copy is placed elsewhere; the
// start of the copy waits behind orders that get no answer; the first instance answers again
// and reports that the task is done or has failed for the last time; the copy is stopped, and
// its start is sent a second later. So a completed task runs again 1.0 s after its end, and a
// failed one runs more often than its policy allows.
//
// In a log the failure shows as 'task returned', 'run ended' of the first run, and a second
// run whose 'startedAfter' is 1.2 s and whose end is a stop.

// schedulerWithUnsentCopy returns a scheduler with a task whose first run is on a silent
// instance and of which a copy was placed elsewhere, the starts of both, and the time. The
// start of the copy is not sent yet.
func schedulerWithUnsentCopy(t *testing.T) (s *schedule.Scheduler, first, second schedule.Order, now time.Time) {
	t.Helper()
	s = newTestScheduler()
	s.Add(start, job("a", policy, step(1, 100, func(s *workload.Step) { s.Copies = true })))
	registerIdle(s, start, incarnation(0), incarnation(1))
	sent := orders(s, start)
	acceptStarts(s, sent, start)
	first = sent[0]
	first.Worker.ExtendLease(start, settings.Lease)
	silence := &pointport.UnavailableError{Op: "hold", Ambiguous: true}
	s.PollFailed(first.Worker, start, silence)
	now = start.Add(600 * time.Millisecond)
	s.PollFailed(first.Worker, now, silence)
	all := orders(s, now)
	if got := startsByIncarnation(all); len(all) != 1 || got[first.Worker.Incarnation().ID()] != 0 {
		t.Fatalf("starts %v, want one of a copy", got)
	}
	return s, first, all[0], now
}

// reportOfOrderEnd returns a report that lists the end of the run that an order has started.
func reportOfOrderEnd(o schedule.Order, kind pointport.EndKind) pointport.Report {
	return pointport.Report{Clock: 1, Ended: []pointport.TaskEnd{{Number: 1, TaskRun: o.TaskRun, Kind: kind}}}
}

// TestStartThatWaitsIsNotSentOnceItsTaskIsDone checks that the start of a copy is skipped once
// the task is done.
func TestStartThatWaitsIsNotSentOnceItsTaskIsDone(t *testing.T) {
	s, first, second, now := schedulerWithUnsentCopy(t)
	s.Report(first.Worker, now, now, reportOfOrderEnd(first, pointport.EndDone))
	if !s.SkipStart(now, second) {
		t.Error("the start of a copy is not skipped although the task is done")
	}
	orders(s, now)
	if status, _ := s.Status("a"); status != workload.Completed {
		t.Errorf("the job is %q, want completed without waiting for a copy that was never sent", status)
	}
}

// TestStartThatWaitsIsNotSentOnceItsJobIsCancelled checks that the start of a cancelled job is
// skipped, and that the job ends at once because nothing of it runs.
func TestStartThatWaitsIsNotSentOnceItsJobIsCancelled(t *testing.T) {
	s := newTestScheduler()
	s.Add(start, job("a", policy, step(1, 100, nil)))
	registerIdle(s, start, incarnation(0))
	waits := orders(s, start)[0]
	s.Cancel(start, "a")
	if !s.SkipStart(start, waits) {
		t.Error("the start of a cancelled job is not skipped")
	}
	orders(s, start)
	if status, _ := s.Status("a"); status != workload.Cancelled {
		t.Errorf("the job is %q, want cancelled", status)
	}
}

// TestStartThatWaitsIsNotSentOnceItsRunIsDropped checks that a start is skipped whose run was
// dropped because its incarnation has ended or its execution lease has expired. Otherwise it
// reaches whatever uses that address by then.
func TestStartThatWaitsIsNotSentOnceItsRunIsDropped(t *testing.T) {
	s := newTestScheduler()
	s.Add(start, job("a", policy, step(1, 100, nil)))
	registerIdle(s, start, incarnation(0))
	waits := orders(s, start)[0]
	s.EndIncarnation(start, incarnation(0).ID())
	if !s.SkipStart(start, waits) {
		t.Error("the start of a dropped run is not skipped")
	}
}

// TestStartIsNotSentAgainOnceItsRunIsStopped checks that a start without an answer is not sent
// again once its run was stopped: the stop rules the start out.
func TestStartIsNotSentAgainOnceItsRunIsStopped(t *testing.T) {
	s, first, second, now := schedulerWithUnsentCopy(t)
	if s.SkipStart(now, second) {
		t.Fatal("the start is skipped before it was sent once")
	}
	s.MarkSending(second)
	s.OrderAnswered(second, now, 0, &pointport.UnavailableError{Op: "start", Ambiguous: true})
	now = now.Add(200 * time.Millisecond)
	var again []schedule.Order
	for _, o := range orders(s, now) {
		if o.Kind == schedule.OrderStart {
			again = append(again, o)
		}
	}
	if len(again) != 1 || again[0].TaskRun != second.TaskRun {
		t.Fatalf("orders %v, want the start once more", again)
	}
	s.Report(first.Worker, now, now, reportOfOrderEnd(first, pointport.EndDone))
	if !s.SkipStart(now, again[0]) {
		t.Error("the repeated start is not skipped although the task is done")
	}
	stopped := false
	for _, o := range orders(s, now) {
		stopped = stopped || o.Kind == schedule.OrderStop && o.TaskRun == second.TaskRun
	}
	if !stopped {
		t.Error("the copy is not stopped although it may run")
	}
}
