package schedule_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file checks what a new owner may believe of an instance on which an
// earlier owner has placed a task.

// takenOver returns the book of a new owner with one job whose only task an
// earlier owner has placed on incarnation(0), which has not reported yet, and
// another instance that has.
func takenOver(t interface{ Fatal(args ...any) }) (*schedule.Scheduler, *schedule.Worker) {
	b := newBook()
	j := job("a", policy, step(1, 100, nil))
	j.BeginDue(start)
	j.Place(workload.TaskRef{}, incarnation(0).ID(), 1)
	b.Add(start, j)
	b.SetIncarnations(start, []pointport.Incarnation{incarnation(0), incarnation(1)})
	var old *schedule.Worker
	for _, w := range b.Workers() {
		if w.Incarnation().ID() == incarnation(0).ID() {
			old = w
		}
	}
	if old == nil {
		t.Fatal("the book does not know the instance of the inherited task")
	}
	return b, old
}

// reportOther has every instance but one say that it runs nothing.
func reportOther(b *schedule.Scheduler, but *schedule.Worker, now time.Time) {
	for _, w := range b.Workers() {
		if w != but && !w.HasAnswered() {
			b.Report(w, now, now, pointport.Report{Clock: 1})
		}
	}
}

// strayStop is an order about a run that the book does not know.
func strayStop(w *schedule.Worker) schedule.Order {
	return schedule.Order{Kind: schedule.OrderStop, Worker: w, TaskRun: pointport.TaskRun{Task: "b.0.0.0", Run: 1}}
}

// An instance is silent when its pool changes hands, and answers an order before
// its first report. The order's answer tells the time there, and not for how long
// the earlier owner has extended what runs.
func TestAnswerToOrderDoesNotExpireInheritedRun(t *testing.T) {
	b, old := takenOver(t)
	b.PollFailed(old, start.Add(500*time.Millisecond), &pointport.UnavailableError{Op: "hold", Ambiguous: true})
	answered := start.Add(2 * time.Second)
	b.OrderAnswered(strayStop(old), answered, pointport.InstanceClock(time.Hour), nil)
	for now := answered; now.Before(start.Add(settings.PredecessorBound)); now = now.Add(50 * time.Millisecond) {
		reportOther(b, old, now)
		if got := placed(orders(b, now)); len(got) != 0 {
			t.Fatalf("started again on %v, %v after the take-over; the earlier owner may have extended it to %v", got, now.Sub(start), settings.PredecessorBound)
		}
	}
	now := start.Add(settings.PredecessorBound + 100*time.Millisecond)
	b.SetIncarnations(now, []pointport.Incarnation{incarnation(1)})
	now = now.Add(registrationsAreBack) // it will not say how the task ended
	b.SetRegistryCoverage(schedule.RegistryCoverage{Since: start, Until: now})
	if got := placed(orders(b, now)); got[incarnation(1).ID()] != 1 {
		t.Errorf("starts %v once the bound has passed, want one on the other instance", got)
	}
}

// inheritedInstance models the instance that an earlier owner has given a task:
// its clock, and until when the task lives by it.
type inheritedInstance struct {
	booted time.Time
	rate   float64 // of its clock: at most 2% slow
	until  pointport.InstanceClock
	fenced bool // it has seen the new owner's fence
}

func (i *inheritedInstance) clock(now time.Time) pointport.InstanceClock {
	return pointport.InstanceClock(float64(now.Sub(i.booted)) * i.rate)
}

// extend carries an order to extend out.
func (i *inheritedInstance) extend(now time.Time, until pointport.InstanceClock) {
	if i.runs(now) {
		i.until = max(i.until, until)
	}
}

func (i *inheritedInstance) runs(now time.Time) bool { return i.clock(now) < i.until }

// report says what the instance runs.
func (i *inheritedInstance) report(now time.Time) pointport.Report {
	r := pointport.Report{Clock: i.clock(now)}
	run := pointport.TaskRun{Task: "a.0.0.0", Run: 1}
	if i.runs(now) {
		r.Running = []pointport.RunningTask{{TaskRun: run, Progress: 10}}
	} else {
		r.Ended = []pointport.TaskEnd{{Number: 1, TaskRun: run, Kind: pointport.EndLapsed}}
	}
	return r
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Whatever order answers, reports and silence come in after a take-over, early or
// late: while an instance may run a task that an earlier owner extended, the task
// is not started again.
func TestNothingInheritedIsGivenUpEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, old := takenOver(t)
		i := &inheritedInstance{
			booted: start.Add(-time.Duration(rapid.IntRange(0, 100).Draw(t, "up")) * time.Second),
			rate:   rapid.Float64Range(0.98, 1.0).Draw(t, "rate"),
		}
		// The earlier owner extends by the same lease, and is proven for no longer than
		// the bound counts for it. The instance refuses it once it has seen the fence.
		i.until = i.clock(start) + pointport.InstanceClock(settings.Lease)
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
				i.extend(now, i.clock(earlier(now, last))+pointport.InstanceClock(settings.Lease))
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
			case 0: // an order is answered, now or late
				clock := i.clock(now)
				late = append(late, answer{due, func(now time.Time) { b.OrderAnswered(strayStop(old), now, clock, nil) }})
			case 1: // a look is answered, now or late
				i.extend(now, old.ExtendLease(now, settings.Lease))
				report := i.report(now)
				late = append(late, answer{due, func(now time.Time) { b.Report(old, sent, now, report) }})
			case 2: // a look is carried out and its answer lost
				i.extend(now, old.ExtendLease(now, settings.Lease))
				b.PollFailed(old, now, &pointport.UnavailableError{Op: "hold", Ambiguous: true})
			case 3: // a look gets nowhere
				b.PollFailed(old, now, &pointport.UnavailableError{Op: "hold", Ambiguous: true})
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
			reportOther(b, old, now)
			for _, o := range orders(b, now) {
				if o.Kind == schedule.OrderStart && i.runs(now) {
					t.Fatalf("started again %v after the take-over, while it runs for %v more", now.Sub(start), time.Duration(i.until-i.clock(now)))
				}
			}
		}
	})
}
