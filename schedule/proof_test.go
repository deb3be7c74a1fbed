package schedule_test

import (
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
)

// This file tests what proves that an incarnation is over.

// lives returns the book of an owner with one task on the former life of an instance, and
// that life and its successor.
func lives(t *testing.T) (b *schedule.Scheduler, former, later *schedule.Worker) {
	t.Helper()
	b = newBook()
	instance := pointport.WithInstance("m")
	first, second := incarnation(0, instance), incarnation(1, instance)
	hear(b, start, first)
	b.Add(start, job("a", policy, step(1, 100, nil)))
	sent := orders(b, start)
	if len(sent) != 1 {
		t.Fatalf("orders %v, want one start", sent)
	}
	former = sent[0].Worker
	former.ExtendLease(start, settings.Lease)
	b.OrderAnswered(sent[0], start, 0, nil)
	b.SetIncarnations(start, []pointport.Incarnation{first, second})
	for _, w := range b.Workers() {
		if w != former {
			later = w
		}
	}
	return b, former, later
}

// Whoever reads the list of machines saw an instance silent and its life gone; until that
// arrives at the owner, the instance has answered. Its own word is newer.
func TestHearsayDoesNotOverruleAnAnswer(t *testing.T) {
	b, former, _ := lives(t)
	now := start.Add(time.Second)
	b.PollFailed(former, now, silence)
	b.Report(former, now, now.Add(10*time.Millisecond), pointport.Report{Clock: 1, Running: []pointport.RunningTask{{TaskRun: pointport.TaskRun{Task: "a.0.0.0", Run: 1}}}})
	b.Survey(now.Add(20*time.Millisecond), schedule.SurveyRequest{Over: []pointport.IncarnationID{former.Incarnation().ID()}})
	if former.Ended() {
		t.Error("an incarnation that has answered since counts as over")
	}
	b.PollFailed(former, now.Add(time.Second), silence)
	b.Survey(now.Add(time.Second), schedule.SurveyRequest{Over: []pointport.IncarnationID{former.Incarnation().ID()}})
	if !former.Ended() {
		t.Error("an incarnation that is silent and shown to be over does not count as over")
	}
}

// A machine has one life at a time, so a life that answers proves that those before it are
// over, and their tasks wait no longer for their time to pass.
func TestLaterLifeProvesTheFormerOver(t *testing.T) {
	b, former, later := lives(t)
	b.PollFailed(former, start.Add(time.Second), silence)
	asked := start.Add(1200 * time.Millisecond)
	b.Report(later, asked, asked.Add(time.Millisecond), pointport.Report{Clock: 1})
	if !former.Ended() {
		t.Error("the former life does not count as over although a later one has answered")
	}
	again := asked.Add(2 * time.Second) // its instance has crashed under it, so it waits for another one first
	if got := placed(orders(b, again)); got[later.Incarnation().ID()] != 1 {
		t.Errorf("starts %v, want one on the later life", got)
	}
}

// An answer that was handled long after it came may be that of the life before: it proves
// nothing about one that has answered since it was asked for.
func TestOldAnswerProvesNothing(t *testing.T) {
	b, running, other := lives(t)
	asked := start.Add(100 * time.Millisecond)
	heard := start.Add(200 * time.Millisecond)
	b.Report(running, heard, heard, pointport.Report{Clock: 1, Running: []pointport.RunningTask{{TaskRun: pointport.TaskRun{Task: "a.0.0.0", Run: 1}}}})
	b.Report(other, asked, start.Add(3*time.Second), pointport.Report{Clock: 1})
	if running.Ended() {
		t.Error("an incarnation that has answered later counts as over")
	}
}

// An instance that refuses a look because it is not well has answered, so it is alive: it is
// not given up because the list of machines shows it to be over.
func TestInstanceThatRefusesALookLives(t *testing.T) {
	b := newBook()
	hear(b, start, incarnation(0))
	b.Add(start, job("a", policy, step(1, 100, nil)))
	answer(b, orders(b, start), start)
	w := b.Workers()[0]
	now := start.Add(time.Second)
	b.PollFailed(w, now, &pointport.RejectedError{Incarnation: w.Incarnation().ID(), Reason: pointport.RejectUnhealthy})
	b.Survey(now.Add(100*time.Millisecond), schedule.SurveyRequest{Over: []pointport.IncarnationID{w.Incarnation().ID()}})
	if w.Ended() {
		t.Error("an instance that has just refused a look counts as over")
	}
}
