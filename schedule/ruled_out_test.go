package schedule_test

import (
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file tests when a start that may still be under way counts as ruled out.

// refusal returns an instance's refusal of an order.
func refusal(o schedule.Order, reason pointport.RejectReason) error {
	return &pointport.RejectedError{Incarnation: o.Worker.Endpoint().Incarnation, Reason: reason}
}

// kindOf returns the orders of a kind about a run.
func kindOf(all []schedule.Order, kind schedule.OrderKind, run pointport.TaskRun) []schedule.Order {
	var out []schedule.Order
	for _, o := range all {
		if o.Kind == kind && o.TaskRun == run {
			out = append(out, o)
		}
	}
	return out
}

// What users saw: a task had two runs at once, both on instances that were up, the second
// 0.6 s after the first was ordered. The order of events: a start got no answer within
// 0.4 s; sent again, it was refused by the instance, which was not well; the stop that was
// to rule it out was refused for the same reason; a look showed nothing of the run, so the
// task was started elsewhere; the first order was carried out. The cause: a stop that was
// refused counted as one that was carried out.
func TestStopThatIsRefusedDoesNotRuleOutItsStart(t *testing.T) {
	for _, reason := range []pointport.RejectReason{pointport.RejectUnhealthy, pointport.RejectInvalid} {
		t.Run(string(reason), func(t *testing.T) {
			b := newBook()
			hear(b, start, incarnation(0), incarnation(1))
			b.Add(start, job("a", policy, step(1, 100, nil)))
			first := orders(b, start)[0]
			b.MarkSending(first)
			first.Worker.ExtendLease(start, settings.Lease)
			now := start.Add(400 * time.Millisecond)
			b.OrderAnswered(first, now, 0, silence)
			now = now.Add(200 * time.Millisecond)
			again := kindOf(orders(b, now), schedule.OrderStart, first.TaskRun)
			if len(again) != 1 {
				t.Fatalf("%d starts, want the first one again", len(again))
			}
			b.OrderAnswered(again[0], now, 0, refusal(first, pointport.RejectUnhealthy))
			stops := kindOf(orders(b, now), schedule.OrderStop, first.TaskRun)
			if len(stops) != 1 {
				t.Fatalf("%d stops, want one that rules the start out", len(stops))
			}
			b.OrderAnswered(stops[0], now, 0, refusal(first, reason))
			for range 20 { // until the stop has been ordered again
				now = now.Add(100 * time.Millisecond)
				b.Report(first.Worker, now.Add(-time.Millisecond), now, pointport.Report{Clock: pointport.InstanceClock(now.Sub(start))})
				all := orders(b, now)
				if got := placed(all); len(got) != 0 {
					t.Fatalf("starts %v, %v after a start that may still be carried out", got, now.Sub(start))
				}
				if stops = kindOf(all, schedule.OrderStop, first.TaskRun); len(stops) > 0 {
					break
				}
			}
			if len(stops) == 0 {
				t.Fatal("the stop is not ordered again")
			}
			b.OrderAnswered(stops[0], now, pointport.InstanceClock(now.Sub(start)), nil)
			now = now.Add(time.Millisecond)
			b.Report(first.Worker, now, now, pointport.Report{Clock: pointport.InstanceClock(now.Sub(start))})
			if got := placed(orders(b, now)); len(got) != 1 {
				t.Errorf("starts %v once the start is ruled out, want one", got)
			}
		})
	}
}

// lapsed returns a book in which the start of a task on the only instance got no answer
// until the instance's time was over, so that its task is put back, and the order that
// started it first. The instance is not listed then, unless it stays.
func lapsed(t *testing.T, stays bool) (*schedule.Scheduler, schedule.Order, time.Time) {
	t.Helper()
	b := newBook()
	hear(b, start, incarnation(0))
	b.Add(start, job("a", policy, step(1, 100, func(s *workload.Step) { s.Service = true })))
	first := orders(b, start)[0]
	b.MarkSending(first)
	first.Worker.ExtendLease(start, settings.Lease)
	now := start.Add(400 * time.Millisecond)
	b.OrderAnswered(first, now, 0, silence)
	if !stays {
		b.SetIncarnations(now, nil)
	}
	for range 50 { // well beyond the lease
		now = now.Add(100 * time.Millisecond)
		b.PollFailed(first.Worker, now, silence)
		for _, o := range orders(b, now) {
			b.OrderAnswered(o, now, 0, silence)
		}
	}
	return b, first, now
}

// firstWorker returns the worker of the only instance.
func firstWorker(t *testing.T, b *schedule.Scheduler) *schedule.Worker {
	t.Helper()
	all := b.Workers()
	if len(all) != 1 {
		t.Fatalf("%d workers, want one", len(all))
	}
	return all[0]
}

// mayStart reports whether an instance would take a start that is under way: what runs
// there is extended beyond now.
func mayStart(w *schedule.Worker, now time.Time) bool {
	return w.ExtendLease(now, settings.Lease) > pointport.InstanceClock(now.Sub(start))
}

// clockAt is what the instance's clock shows.
func clockAt(now time.Time) pointport.InstanceClock { return pointport.InstanceClock(now.Sub(start)) }

// What users saw: a task had two runs at once on instances that were up. The order of
// events: a start got no answer, and its instance none until its time was over, so its
// task was started elsewhere; the instance answered looks again and refused the stop that
// was to rule the start out, because it was not well; its time was extended; the order,
// under way all the time, was carried out. The cause: a stop that was refused counted as
// one that was carried out.
func TestStopThatIsRefusedDoesNotRuleOutWhatWasGivenUp(t *testing.T) {
	for _, reason := range []pointport.RejectReason{pointport.RejectUnhealthy, pointport.RejectInvalid} {
		t.Run(string(reason), func(t *testing.T) {
			b, first, now := lapsed(t, true)
			b.Report(first.Worker, now, now, pointport.Report{Clock: clockAt(now)})
			stops := kindOf(orders(b, now), schedule.OrderStop, first.TaskRun)
			if len(stops) != 1 {
				t.Fatalf("%d stops, want one that rules the start out", len(stops))
			}
			b.OrderAnswered(stops[0], now, 0, refusal(first, reason))
			now = now.Add(time.Second)
			all := orders(b, now)
			if got := placed(all); len(got) != 0 || mayStart(first.Worker, now) {
				t.Errorf("starts %v and an extension to %v at %v; the given up start may still be carried out", got, first.Worker.ExtendLease(now, settings.Lease), clockAt(now))
			}
			stops = kindOf(all, schedule.OrderStop, first.TaskRun)
			if len(stops) != 1 {
				t.Fatalf("%d stops, want it ordered again", len(stops))
			}
			b.OrderAnswered(stops[0], now, clockAt(now), nil)
			if !mayStart(first.Worker, now) {
				t.Error("nothing is extended once the start is ruled out")
			}
		})
	}
}

// What users saw: a task had two runs at once on instances that were up. The order of
// events: a start got no answer, and its instance none until its time was over, so its
// task was started elsewhere; meanwhile its registration had gone, and came back; the
// instance answered and its time was extended; the order, under way all the time, was
// carried out. The cause: with the registration the owner forgot that it was.
func TestGivenUpStartIsRuledOutOnInstanceThatWasNotRegistered(t *testing.T) {
	b, first, now := lapsed(t, false)
	b.SetIncarnations(now, []pointport.Incarnation{incarnation(0)})
	w := firstWorker(t, b)
	b.Report(w, now, now, pointport.Report{Clock: clockAt(now)})
	all := orders(b, now)
	if got := placed(all); len(got) != 0 || mayStart(w, now) {
		t.Errorf("starts %v and an extension to %v at %v; the given up start may still be carried out", got, w.ExtendLease(now, settings.Lease), clockAt(now))
	}
	stops := kindOf(all, schedule.OrderStop, first.TaskRun)
	if len(stops) != 1 {
		t.Fatalf("%d stops, want one that rules the start out", len(stops))
	}
	b.OrderAnswered(stops[0], now, clockAt(now), nil)
	if !mayStart(w, now) {
		t.Error("nothing is extended once the start is ruled out")
	}
}

// An instance that does not come back is forgotten in the end, whatever was under way to it.
func TestInstanceThatDoesNotComeBackIsForgotten(t *testing.T) {
	b, _, now := lapsed(t, false)
	for range 120 {
		now = now.Add(time.Second)
		b.Plan(now)
	}
	if n := b.WorkerCount(); n != 0 {
		t.Errorf("%d instances are remembered %v after the last was heard of", n, now.Sub(start))
	}
}

// An instance whose registration has gone is not looked at, so nothing tells that it is silent.
// It is not asked again and again to rule a start out.
func TestInstanceThatIsGoneIsNotAskedToRuleOut(t *testing.T) {
	b, first, now := lapsed(t, true)
	b.Report(first.Worker, now, now, pointport.Report{Clock: clockAt(now)})
	b.SetIncarnations(now, nil)
	stops := 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		for _, o := range kindOf(orders(b, now), schedule.OrderStop, first.TaskRun) {
			stops++
			b.OrderAnswered(o, now, 0, silence)
		}
	}
	if stops > 1 {
		t.Errorf("%d stops in 10 s to an instance that is gone", stops)
	}
}
