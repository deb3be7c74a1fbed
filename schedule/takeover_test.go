package schedule_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file checks what a new owner may conclude about an instance on which an earlier owner
// has placed a task.

// inheritingScheduler returns the scheduler of a new owner with one job. An earlier owner has
// placed its only task on incarnation(0), which has not reported yet. Another instance,
// incarnation(1), is registered too. The worker of incarnation(0) is returned as well.
func inheritingScheduler(t interface{ Fatal(args ...any) }) (*schedule.Scheduler, *schedule.Worker) {
	s := newTestScheduler()
	j := job("a", policy, step(1, 100, nil))
	j.BeginDue(start)
	j.Place(workload.TaskRef{}, incarnation(0).ID(), 1)
	s.Add(start, j)
	s.SetIncarnations(start, []pointport.Incarnation{incarnation(0), incarnation(1)})
	var old *schedule.Worker
	for _, w := range s.Workers() {
		if w.Incarnation().ID() == incarnation(0).ID() {
			old = w
		}
	}
	if old == nil {
		t.Fatal("the scheduler does not know the instance of the inherited task")
	}
	return s, old
}

// reportOthersIdle handles a report from every worker but one, unless it has reported before,
// that it runs nothing.
func reportOthersIdle(s *schedule.Scheduler, but *schedule.Worker, now time.Time) {
	for _, w := range s.Workers() {
		if w != but && !w.HasAnswered() {
			s.Report(w, now, now, pointport.Report{Clock: 1})
		}
	}
}

// stopOfUnknownRun returns an order to stop a run that the scheduler does not know.
func stopOfUnknownRun(w *schedule.Worker) schedule.Order {
	return schedule.Order{Kind: schedule.OrderStop, Worker: w, TaskRun: pointport.TaskRun{Task: "b.0.0.0", Run: 1}}
}

// TestAnswerToOrderDoesNotExpireInheritedRun checks that the answer to an order does not make
// an inherited run expire early. An instance is silent when its pool gets a new owner, and
// answers an order before its first report. That answer shows its clock, but not how far the
// earlier owner has extended the execution lease.
func TestAnswerToOrderDoesNotExpireInheritedRun(t *testing.T) {
	s, old := inheritingScheduler(t)
	s.PollFailed(old, start.Add(500*time.Millisecond), &pointport.UnavailableError{Op: "hold", Ambiguous: true})
	answered := start.Add(2 * time.Second)
	s.OrderAnswered(stopOfUnknownRun(old), answered, pointport.InstanceTime(time.Hour), nil)
	for now := answered; now.Before(start.Add(settings.PredecessorBound)); now = now.Add(50 * time.Millisecond) {
		reportOthersIdle(s, old, now)
		if got := startsByIncarnation(orders(s, now)); len(got) != 0 {
			t.Fatalf("the task is started on %v, %v after the change of owner; the earlier owner may have extended its execution lease to %v", got, now.Sub(start), settings.PredecessorBound)
		}
	}
	now := start.Add(settings.PredecessorBound + 100*time.Millisecond)
	s.SetIncarnations(now, []pointport.Incarnation{incarnation(1)})
	now = now.Add(registrationGrace) // the instance will no longer report how the task ended
	s.SetRegistryCoverage(schedule.RegistryCoverage{Since: start, Until: now})
	if got := startsByIncarnation(orders(s, now)); got[incarnation(1).ID()] != 1 {
		t.Errorf("starts %v once the bound for the earlier owner has passed, want one on the other instance", got)
	}
}

// An inheritedInstance models the instance on which an earlier owner has placed a task: its
// clock, and the time on that clock until which the task may run.
type inheritedInstance struct {
	booted time.Time
	rate   float64 // speed of its clock, at most 2% slow
	until  pointport.InstanceTime
	fenced bool // has seen the fencing token of the new owner
}

// clock returns what the clock of the instance shows.
func (i *inheritedInstance) clock(now time.Time) pointport.InstanceTime {
	return pointport.InstanceTime(float64(now.Sub(i.booted)) * i.rate)
}

// extend extends the execution lease, unless it has expired.
func (i *inheritedInstance) extend(now time.Time, until pointport.InstanceTime) {
	if i.runs(now) {
		i.until = max(i.until, until)
	}
}

// runs reports whether the task may still run.
func (i *inheritedInstance) runs(now time.Time) bool { return i.clock(now) < i.until }

// report returns a report that lists the task as running or as expired.
func (i *inheritedInstance) report(now time.Time) pointport.Report {
	r := pointport.Report{Clock: i.clock(now)}
	run := pointport.TaskRun{Task: "a.0.0.0", Run: 1}
	if i.runs(now) {
		r.Running = []pointport.RunningTask{{TaskRun: run, Progress: 10}}
	} else {
		r.Ended = []pointport.TaskEnd{{Number: 1, TaskRun: run, Kind: pointport.EndLeaseExpired}}
	}
	return r
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// TestInheritedRunIsNotReplacedEarly checks that a task is not started again while an instance
// may still run it because of an extension by an earlier owner, in whatever order and however
// late answers and reports arrive after the change of owner.
func TestInheritedRunIsNotReplacedEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, old := inheritingScheduler(t)
		i := &inheritedInstance{
			booted: start.Add(-time.Duration(rapid.IntRange(0, 100).Draw(t, "up")) * time.Second),
			rate:   rapid.Float64Range(0.98, 1.0).Draw(t, "rate"),
		}
		// The earlier owner extends by the same lease, and only for as long after its last proof of
		// ownership as the bound allows. The instance refuses its orders once it has seen the new
		// fencing token.
		i.until = i.clock(start) + pointport.InstanceTime(settings.Lease)
		last := start.Add(time.Duration(rapid.IntRange(0, 1300).Draw(t, "lastOrderMs")) * time.Millisecond)
		cutFrom := start.Add(time.Duration(rapid.IntRange(0, 14000).Draw(t, "cutFromMs")) * time.Millisecond)
		type answer struct {
			due     time.Time
			deliver func(now time.Time)
		}
		var late []answer
		for now := start; now.Before(start.Add(14 * time.Second)); {
			now = now.Add(time.Duration(rapid.IntRange(20, 700).Draw(t, "gapMs")) * time.Millisecond)
			if !i.fenced {
				i.extend(now, i.clock(earlier(now, last))+pointport.InstanceTime(settings.Lease))
			}
			event := rapid.IntRange(0, 3).Draw(t, "event")
			if now.After(cutFrom) {
				event = 3
			}
			i.fenced = i.fenced || event < 3
			due := now
			if rapid.IntRange(0, 3).Draw(t, "late") == 0 {
				due = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "delayMs")) * time.Millisecond)
			}
			sent := now
			switch event {
			case 0: // an order is answered, at once or late
				clock := i.clock(now)
				late = append(late, answer{due, func(now time.Time) { s.OrderAnswered(stopOfUnknownRun(old), now, clock, nil) }})
			case 1: // a poll is answered, at once or late
				i.extend(now, old.ExtendLease(now, settings.Lease))
				report := i.report(now)
				late = append(late, answer{due, func(now time.Time) { s.Report(old, sent, now, report) }})
			case 2: // a poll is carried out and its answer lost
				i.extend(now, old.ExtendLease(now, settings.Lease))
				s.PollFailed(old, now, &pointport.UnavailableError{Op: "hold", Ambiguous: true})
			case 3: // a poll does not reach the instance
				s.PollFailed(old, now, &pointport.UnavailableError{Op: "hold", Ambiguous: true})
			}
			rest := late[:0]
			for _, a := range late {
				if a.due.After(now) {
					rest = append(rest, a)
					continue
				}
				a.deliver(now)
			}
			late = rest
			reportOthersIdle(s, old, now)
			for _, o := range orders(s, now) {
				if o.Kind == schedule.OrderStart && i.runs(now) {
					t.Fatalf("the task is started again %v after the change of owner, while its earlier run may go on for %v", now.Sub(start), time.Duration(i.until-i.clock(now)))
				}
			}
		}
	})
}
