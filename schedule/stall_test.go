package schedule_test

import (
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
)

// This file tests how runs are found that stand still.

// progressed returns a report of a run, some time after the start by the instance's clock.
func progressed(o schedule.Order, after time.Duration, progress int) pointport.Report {
	return pointport.Report{Clock: clockAt(start.Add(after)), Running: []pointport.RunningTask{{TaskRun: o.TaskRun, Progress: progress}}}
}

// startedRun returns a book with a run that an instance has started.
func startedRun() (*schedule.Scheduler, schedule.Order) {
	b := newBook()
	hear(b, start, incarnation(0), incarnation(1))
	b.Add(start, job("a", policy, step(1, 100, nil)))
	o := orders(b, start)[0]
	b.MarkSending(o)
	b.OrderAnswered(o, start, clockAt(start), nil)
	return b, o
}

// What users saw: on a busy machine, tasks that were at work were stopped and started anew.
// The order of events: two looks were answered 0.1 s apart; the owner's loop stood still for
// 2 s between taking in the first answer and the second; the run counted as one that had
// shown no progress for 2 s. The cause: time was counted by when answers were taken in.
func TestRunIsNotStuckBecauseItsOwnerWasLate(t *testing.T) {
	b, o := startedRun()
	b.Report(o.Worker, start.Add(100*time.Millisecond), start.Add(101*time.Millisecond), progressed(o, 100*time.Millisecond, 10))
	late := start.Add(2200 * time.Millisecond)
	b.Report(o.Worker, start.Add(110*time.Millisecond), late, progressed(o, 200*time.Millisecond, 10))
	if stops := kindOf(orders(b, late), schedule.OrderStop, o.TaskRun); len(stops) != 0 {
		t.Error("the run is stopped although it stood still for 0.1 s at most")
	}
}

// An answer that was passed by a newer one says nothing of how far a run is now.
func TestRunIsNotStuckByAnAnswerThatWasPassed(t *testing.T) {
	b, o := startedRun()
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	b.Report(o.Worker, start.Add(at(100)), start.Add(at(101)), progressed(o, at(100), 10))
	b.Report(o.Worker, start.Add(at(1500)), start.Add(at(1501)), progressed(o, at(1500), 50))
	b.Report(o.Worker, start.Add(at(110)), start.Add(at(1502)), progressed(o, at(200), 10))
	b.Report(o.Worker, start.Add(at(1510)), start.Add(at(1800)), progressed(o, at(1790), 58))
	if stops := kindOf(orders(b, start.Add(at(1800))), schedule.OrderStop, o.TaskRun); len(stops) != 0 {
		t.Error("the run is stopped although it has gone on all the time")
	}
}

// A run that stands still is stopped, also while its owner is late.
func TestRunThatStandsStillIsStopped(t *testing.T) {
	b, o := startedRun()
	now := start
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		b.Report(o.Worker, now, now, progressed(o, now.Sub(start), 10))
	}
	if stops := kindOf(orders(b, now), schedule.OrderStop, o.TaskRun); len(stops) != 1 {
		t.Errorf("%d stops of a run that stood still for 1.9 s, want one", len(stops))
	}
}

// What users saw: on a busy machine, a task that was at work was stopped and started anew
// beside others that took as long. The order of events: the run was two thirds done 0.7 s
// after its start, and its owner's loop took that in 4 s after it; the run counted as one
// that would take 6 s, where others of its step had taken one. The cause: time was counted
// by when answers were taken in.
func TestRunDoesNotCrawlBecauseItsOwnerWasLate(t *testing.T) {
	b := newBook()
	hear(b, start, incarnation(0), incarnation(1))
	b.Add(start, job("a", policy, step(2, 4000, nil)))
	both := orders(b, start)
	for _, o := range both {
		b.MarkSending(o)
		b.OrderAnswered(o, start, clockAt(start), nil)
	}
	quick, other := both[0], both[1]
	second := start.Add(time.Second)
	b.Report(quick.Worker, start, second, pointport.Report{Clock: clockAt(second), Ended: []pointport.TaskEnd{{Number: 1, TaskRun: quick.TaskRun, Kind: pointport.EndDone}}})
	b.Report(other.Worker, start, start.Add(200*time.Millisecond), progressed(other, 200*time.Millisecond, 20))
	late := start.Add(4 * time.Second)
	b.Report(other.Worker, start, late, progressed(other, 700*time.Millisecond, 66))
	if stops := kindOf(orders(b, late), schedule.OrderStop, other.TaskRun); len(stops) != 0 {
		t.Error("the run is stopped although it is as fast as the other one")
	}
}
