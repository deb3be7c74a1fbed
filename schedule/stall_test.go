package schedule_test

import (
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
)

// This file tests how stuck and slow runs are detected.

// progressed returns a report of a run's progress, with the clock of the instance at some time
// after start.
func progressed(o schedule.Order, after time.Duration, progress int) pointport.Report {
	return pointport.Report{Clock: clockAt(start.Add(after)), Running: []pointport.RunningTask{{TaskRun: o.TaskRun, Progress: progress}}}
}

// schedulerWithRun returns a scheduler with one run that was started at start, and the order
// that started it.
func schedulerWithRun() (*schedule.Scheduler, schedule.Order) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0), incarnation(1))
	s.Add(start, job("a", policy, step(1, 100, nil)))
	o := orders(s, start)[0]
	s.MarkSending(o)
	s.OrderAnswered(o, start, clockAt(start), nil)
	return s, o
}

// TestRunIsNotStuckBecauseItsOwnerWasLate checks that a run does not count as stuck because
// its owner was late. Two polls are answered 0.1 s apart, but the owner stands still for 2 s
// between handling the two answers. Progress must be timed by the instance's clock and not by
// when answers are handled.
func TestRunIsNotStuckBecauseItsOwnerWasLate(t *testing.T) {
	s, o := schedulerWithRun()
	s.Report(o.Worker, start.Add(100*time.Millisecond), start.Add(101*time.Millisecond), progressed(o, 100*time.Millisecond, 10))
	late := start.Add(2200 * time.Millisecond)
	s.Report(o.Worker, start.Add(110*time.Millisecond), late, progressed(o, 200*time.Millisecond, 10))
	if stops := ordersFor(orders(s, late), schedule.OrderStop, o.TaskRun); len(stops) != 0 {
		t.Error("the run is stopped although it made no progress for at most 0.1 s")
	}
}

// TestRunIsNotStuckByOutOfOrderAnswer checks that an answer that arrives after a newer
// one does not change the known progress of a run.
func TestRunIsNotStuckByOutOfOrderAnswer(t *testing.T) {
	s, o := schedulerWithRun()
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	s.Report(o.Worker, start.Add(at(100)), start.Add(at(101)), progressed(o, at(100), 10))
	s.Report(o.Worker, start.Add(at(1500)), start.Add(at(1501)), progressed(o, at(1500), 50))
	s.Report(o.Worker, start.Add(at(110)), start.Add(at(1502)), progressed(o, at(200), 10))
	s.Report(o.Worker, start.Add(at(1510)), start.Add(at(1800)), progressed(o, at(1790), 58))
	if stops := ordersFor(orders(s, start.Add(at(1800))), schedule.OrderStop, o.TaskRun); len(stops) != 0 {
		t.Error("the run is stopped although it has made progress all the time")
	}
}

// TestStuckRunIsStopped checks that a run without progress is stopped.
func TestStuckRunIsStopped(t *testing.T) {
	s, o := schedulerWithRun()
	now := start
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		s.Report(o.Worker, now, now, progressed(o, now.Sub(start), 10))
	}
	if stops := ordersFor(orders(s, now), schedule.OrderStop, o.TaskRun); len(stops) != 1 {
		t.Errorf("%d stops of a run without progress for 1.9 s, want one", len(stops))
	}
}

// TestRunIsNotSlowBecauseItsOwnerWasLate checks that a run does not count as slow because
// its owner was late. A run is two thirds done 0.7 s after its start, but its owner handles
// that report 4 s after the start. By that time the run would seem to take 6 s, where others
// of its step took one. Progress must be timed by the instance's clock and not by when answers
// are handled.
func TestRunIsNotSlowBecauseItsOwnerWasLate(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0), incarnation(1))
	s.Add(start, job("a", policy, step(2, 4000, nil)))
	both := orders(s, start)
	for _, o := range both {
		s.MarkSending(o)
		s.OrderAnswered(o, start, clockAt(start), nil)
	}
	quick, other := both[0], both[1]
	second := start.Add(time.Second)
	s.Report(quick.Worker, start, second, pointport.Report{Clock: clockAt(second), Ended: []pointport.TaskEnd{{Number: 1, TaskRun: quick.TaskRun, Kind: pointport.EndDone}}})
	s.Report(other.Worker, start, start.Add(200*time.Millisecond), progressed(other, 200*time.Millisecond, 20))
	late := start.Add(4 * time.Second)
	s.Report(other.Worker, start, late, progressed(other, 700*time.Millisecond, 66))
	if stops := ordersFor(orders(s, late), schedule.OrderStop, other.TaskRun); len(stops) != 0 {
		t.Error("the run is stopped although it is as fast as the other run of its step")
	}
}
