package schedule_test

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file tests what the log states about serving tasks that are away.

// TestLogStatesWhyServingTaskIsAway checks that a serving task that is away for a while is logged
// with the reason, and again once it runs. Without these lines, a task that waits for proof that its
// last run has ended looks like one that runs.
func TestLogStatesWhyServingTaskIsAway(t *testing.T) {
	silence := &pointport.UnavailableError{Op: "hold", Ambiguous: true}
	cases := []struct {
		name   string
		begin  func(s *schedule.Scheduler, j *workload.Job)
		reason string
		back   bool
	}{
		{"its instance is silent", func(s *schedule.Scheduler, _ *workload.Job) {
			s.PollFailed(s.Workers()[0], start.Add(time.Second), silence)
		}, "unproven", false},
		{"it finds no place", func(s *schedule.Scheduler, _ *workload.Job) {
			s.EndIncarnation(start.Add(time.Second), incarnation(0).ID())
		}, "waiting", true},
		{"it was given up", func(s *schedule.Scheduler, j *workload.Job) {
			s.EndIncarnation(start.Add(time.Second), incarnation(0).ID())
			j.Task(workload.TaskRef{}).Phase = workload.GivenUp
		}, "givenUp", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			s := schedule.NewScheduler(start, settings, slog.New(slog.NewJSONHandler(&out, nil)))
			registerIdle(s, start, incarnation(0))
			j := job("a", policy, step(1, 100, func(s *workload.Step) { s.Service = true }))
			s.Add(start, j)
			acceptStarts(s, orders(s, start), start)
			orders(s, start.Add(time.Second)) // the task runs
			c.begin(s, j)
			for now := start.Add(2 * time.Second); now.Before(start.Add(5 * time.Second)); now = now.Add(awayStep) {
				orders(s, now)
			}
			away := linesOf(t, &out, "serving task away")
			if len(away) != 1 || away[0]["reason"] != c.reason || away[0]["task"] != taskName(0) {
				t.Fatalf("log lines %v, want one with reason %q", away, c.reason)
			}
			if want := c.reason == "unproven"; s.AwaitsProof() != want {
				t.Errorf("awaits proof %t, want %t", s.AwaitsProof(), want)
			}
			if !c.back {
				return
			}
			registerIdle(s, start.Add(5*time.Second), incarnation(0), incarnation(1))
			acceptStarts(s, orders(s, start.Add(5*time.Second)), start.Add(5*time.Second))
			orders(s, start.Add(6*time.Second))
			if back := linesOf(t, &out, "serving task back"); len(back) != 1 || back[0]["incarnation"] != "i-1" {
				t.Errorf("log lines %v, want one on incarnation i-1", back)
			}
		})
	}
}

// awayStep is the time between two plans.
const awayStep = 100 * time.Millisecond

// Guards against a pool that is handed over while tasks that end wait for proof that their runs have ended, so
// that the wait begins anew and a job stands still for longer than it may.
func TestTasksThatEndAwaitProofOnSilentInstance(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0))
	s.Add(start, job("a", policy, step(1, 100, nil)))
	acceptStarts(s, orders(s, start), start)
	check := func(at time.Duration, want bool) {
		t.Helper()
		orders(s, start.Add(at))
		if s.AwaitsProof() != want {
			t.Errorf("after %v: awaits proof %t, want %t", at, s.AwaitsProof(), want)
		}
	}
	check(time.Second, false)
	s.PollFailed(s.Workers()[0], start.Add(time.Second), &pointport.UnavailableError{Op: "hold", Ambiguous: true})
	check(2*time.Second, true)
	s.EndIncarnation(start.Add(2*time.Second), incarnation(0).ID())
	check(3*time.Second, false)
}

// Guards against a pool that is handed over while tasks are held back that the previous owner may have started,
// so that the wait begins anew and jobs stand still for longer than they may.
func TestTasksHeldBackAwaitProof(t *testing.T) {
	s := newSuccessor()
	s.Add(start, begunJob("a", policy, step(1, 100, nil)))
	registerIdle(s, start, incarnation(0))
	readable(s, start, expired)
	orders(s, start)
	if !s.AwaitsProof() {
		t.Error("awaits no proof while tasks are held back")
	}
	orders(s, expired) // ends the hold
	orders(s, expired.Add(time.Second))
	if s.HoldsBack() || s.AwaitsProof() {
		t.Errorf("holds back %t, awaits proof %t after the wait, want neither", s.HoldsBack(), s.AwaitsProof())
	}
}
