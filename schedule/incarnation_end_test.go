package schedule_test

import (
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
)

// This file tests what proves that an incarnation has ended.

// schedulerWithTwoIncarnations returns a scheduler with one task on the former incarnation of
// an instance, and the workers of the former and the later incarnation.
func schedulerWithTwoIncarnations(t *testing.T) (s *schedule.Scheduler, former, later *schedule.Worker) {
	t.Helper()
	s = newTestScheduler()
	instance := pointport.WithInstance("m")
	first, second := incarnation(0, instance), incarnation(1, instance)
	registerIdle(s, start, first)
	s.Add(start, job("a", policy, step(1, 100, nil)))
	sent := orders(s, start)
	if len(sent) != 1 {
		t.Fatalf("orders %v, want one start", sent)
	}
	former = sent[0].Worker
	former.ExtendLease(start, settings.Lease)
	s.OrderAnswered(sent[0], start, 0, nil)
	s.SetIncarnations(start, []pointport.Incarnation{first, second})
	for _, w := range s.Workers() {
		if w != former {
			later = w
		}
	}
	return s, former, later
}

// TestMachineListDoesNotOverruleAnAnswer checks that an answer from an incarnation overrules an
// older observation that it has ended. The list of machines can show an incarnation as ended
// that is silent, and the owner learns of that only after the incarnation has answered again.
func TestMachineListDoesNotOverruleAnAnswer(t *testing.T) {
	s, former, _ := schedulerWithTwoIncarnations(t)
	now := start.Add(time.Second)
	s.PollFailed(former, now, silence)
	s.Report(former, now, now.Add(10*time.Millisecond), pointport.Report{Clock: 1, Running: []pointport.RunningTask{{TaskRun: pointport.TaskRun{Task: "a.0.0.0", Run: 1}}}})
	s.Survey(now.Add(20*time.Millisecond), schedule.SurveyRequest{Ended: []pointport.IncarnationID{former.Incarnation().ID()}})
	if former.Ended() {
		t.Error("an incarnation that has answered since counts as ended")
	}
	s.PollFailed(former, now.Add(time.Second), silence)
	s.Survey(now.Add(time.Second), schedule.SurveyRequest{Ended: []pointport.IncarnationID{former.Incarnation().ID()}})
	if !former.Ended() {
		t.Error("an incarnation that is silent and listed as ended does not count as ended")
	}
}

// TestLaterIncarnationProvesEndOfFormerOne checks that the answer of an incarnation proves that
// earlier ones of its instance have ended, since an instance has one incarnation at a time.
// Their tasks need not wait until their execution leases expire.
func TestLaterIncarnationProvesEndOfFormerOne(t *testing.T) {
	s, former, later := schedulerWithTwoIncarnations(t)
	s.PollFailed(former, start.Add(time.Second), silence)
	asked := start.Add(1200 * time.Millisecond)
	s.Report(later, asked, asked.Add(time.Millisecond), pointport.Report{Clock: 1})
	if !former.Ended() {
		t.Error("the former incarnation does not count as ended although a later one has answered")
	}
	again := asked.Add(2 * time.Second) // the task first waits for another instance than the one that crashed under it
	if got := startsByIncarnation(orders(s, again)); got[later.Incarnation().ID()] != 1 {
		t.Errorf("starts %v, want one on the later incarnation", got)
	}
}

// TestOldAnswerProvesNothing checks that an answer that is handled long after it arrived
// proves nothing about an incarnation that has answered since it was requested: the late
// answer may come from the earlier incarnation.
func TestOldAnswerProvesNothing(t *testing.T) {
	s, running, other := schedulerWithTwoIncarnations(t)
	asked := start.Add(100 * time.Millisecond)
	answered := start.Add(200 * time.Millisecond)
	s.Report(running, answered, answered, pointport.Report{Clock: 1, Running: []pointport.RunningTask{{TaskRun: pointport.TaskRun{Task: "a.0.0.0", Run: 1}}}})
	s.Report(other, asked, start.Add(3*time.Second), pointport.Report{Clock: 1})
	if running.Ended() {
		t.Error("an incarnation that has answered later counts as ended")
	}
}

// TestInstanceThatRefusesAPollIsAlive checks that an instance that refuses a poll because it is
// unhealthy counts as alive, even if the list of machines shows its incarnation as ended.
func TestInstanceThatRefusesAPollIsAlive(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0))
	s.Add(start, job("a", policy, step(1, 100, nil)))
	acceptStarts(s, orders(s, start), start)
	w := s.Workers()[0]
	now := start.Add(time.Second)
	s.PollFailed(w, now, &pointport.RejectedError{Incarnation: w.Incarnation().ID(), Reason: pointport.RejectUnhealthy})
	s.Survey(now.Add(100*time.Millisecond), schedule.SurveyRequest{Ended: []pointport.IncarnationID{w.Incarnation().ID()}})
	if w.Ended() {
		t.Error("the incarnation of an instance that has just refused a poll counts as ended")
	}
}
