package schedule_test

import (
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file tests when a start that may still be in flight counts as ruled out.

// refusal returns the error with which an instance refuses an order.
func refusal(o schedule.Order, reason pointport.RejectReason) error {
	return &pointport.RejectedError{Incarnation: o.Worker.Endpoint().Incarnation, Reason: reason}
}

// ordersFor returns the orders of a kind for a run.
func ordersFor(all []schedule.Order, kind schedule.OrderKind, run pointport.TaskRun) []schedule.Order {
	var out []schedule.Order
	for _, o := range all {
		if o.Kind == kind && o.TaskRun == run {
			out = append(out, o)
		}
	}
	return out
}

// TestRefusedStopDoesNotRuleOutItsStart checks that a refused stop does not count as carried
// out, so that a task never has two runs at once. A start gets no answer within 0.4 s; sent
// again, it is refused because the instance is unhealthy; the stop that is to rule it out is
// refused for the same reason; a poll lists no such run. If the task is started elsewhere now,
// 0.6 s after the first order, that order may still be carried out.
func TestRefusedStopDoesNotRuleOutItsStart(t *testing.T) {
	for _, reason := range []pointport.RejectReason{pointport.RejectUnhealthy, pointport.RejectInvalid} {
		t.Run(string(reason), func(t *testing.T) {
			s := newTestScheduler()
			registerIdle(s, start, incarnation(0), incarnation(1))
			s.Add(start, job("a", policy, step(1, 100, nil)))
			first := orders(s, start)[0]
			s.MarkSending(first)
			first.Worker.ExtendLease(start, settings.Lease)
			now := start.Add(400 * time.Millisecond)
			s.OrderAnswered(first, now, 0, silence)
			now = now.Add(200 * time.Millisecond)
			again := ordersFor(orders(s, now), schedule.OrderStart, first.TaskRun)
			if len(again) != 1 {
				t.Fatalf("%d starts, want the first one once more", len(again))
			}
			s.OrderAnswered(again[0], now, 0, refusal(first, pointport.RejectUnhealthy))
			stops := ordersFor(orders(s, now), schedule.OrderStop, first.TaskRun)
			if len(stops) != 1 {
				t.Fatalf("%d stops, want one that rules the start out", len(stops))
			}
			s.OrderAnswered(stops[0], now, 0, refusal(first, reason))
			for range 20 { // until the stop has been ordered again
				now = now.Add(100 * time.Millisecond)
				s.Report(first.Worker, now.Add(-time.Millisecond), now, pointport.Report{Clock: pointport.InstanceTime(now.Sub(start))})
				all := orders(s, now)
				if got := startsByIncarnation(all); len(got) != 0 {
					t.Fatalf("starts %v, %v after a start that may still be carried out, want none", got, now.Sub(start))
				}
				if stops = ordersFor(all, schedule.OrderStop, first.TaskRun); len(stops) > 0 {
					break
				}
			}
			if len(stops) == 0 {
				t.Fatal("the stop is not ordered again")
			}
			s.OrderAnswered(stops[0], now, pointport.InstanceTime(now.Sub(start)), nil)
			now = now.Add(time.Millisecond)
			s.Report(first.Worker, now, now, pointport.Report{Clock: pointport.InstanceTime(now.Sub(start))})
			if got := startsByIncarnation(orders(s, now)); len(got) != 1 {
				t.Errorf("starts %v once the start is ruled out, want one", got)
			}
		})
	}
}

// schedulerWithExpiredStart returns a scheduler in which the start of a task on the only
// instance got no answer until its execution lease expired, so that the task was requeued. It
// also returns the order of that start and the time. The instance is no longer registered
// then, unless stays is set.
func schedulerWithExpiredStart(t *testing.T, stays bool) (*schedule.Scheduler, schedule.Order, time.Time) {
	t.Helper()
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0))
	s.Add(start, job("a", policy, step(1, 100, func(s *workload.Step) { s.Service = true })))
	first := orders(s, start)[0]
	s.MarkSending(first)
	first.Worker.ExtendLease(start, settings.Lease)
	now := start.Add(400 * time.Millisecond)
	s.OrderAnswered(first, now, 0, silence)
	if !stays {
		s.SetIncarnations(now, nil)
	}
	for range 50 { // well beyond the execution lease
		now = now.Add(100 * time.Millisecond)
		s.PollFailed(first.Worker, now, silence)
		for _, o := range orders(s, now) {
			s.OrderAnswered(o, now, 0, silence)
		}
	}
	return s, first, now
}

// onlyWorker returns the worker of the only instance.
func onlyWorker(t *testing.T, s *schedule.Scheduler) *schedule.Worker {
	t.Helper()
	all := s.Workers()
	if len(all) != 1 {
		t.Fatalf("%d workers, want one", len(all))
	}
	return all[0]
}

// leaseExtended reports whether an instance would carry out a start in flight, because its
// execution lease reaches beyond now.
func leaseExtended(w *schedule.Worker, now time.Time) bool {
	return w.ExtendLease(now, settings.Lease) > pointport.InstanceTime(now.Sub(start))
}

// clockAt returns what the clock of an instance shows at a time.
func clockAt(now time.Time) pointport.InstanceTime { return pointport.InstanceTime(now.Sub(start)) }

// TestRefusedStopDoesNotRuleOutReplacedRun checks that a refused stop does not count
// as carried out where the run was replaced, so that a task never has two runs at once. A
// start and its instance give no answer until the execution lease expires, so the task starts
// elsewhere; the instance answers polls again and refuses the stop, because it is unhealthy.
// If its execution lease is extended now, the start, still in flight, may be carried out.
func TestRefusedStopDoesNotRuleOutReplacedRun(t *testing.T) {
	for _, reason := range []pointport.RejectReason{pointport.RejectUnhealthy, pointport.RejectInvalid} {
		t.Run(string(reason), func(t *testing.T) {
			s, first, now := schedulerWithExpiredStart(t, true)
			s.Report(first.Worker, now, now, pointport.Report{Clock: clockAt(now)})
			stops := ordersFor(orders(s, now), schedule.OrderStop, first.TaskRun)
			if len(stops) != 1 {
				t.Fatalf("%d stops, want one that rules the start out", len(stops))
			}
			s.OrderAnswered(stops[0], now, 0, refusal(first, reason))
			now = now.Add(time.Second)
			all := orders(s, now)
			if got := startsByIncarnation(all); len(got) != 0 || leaseExtended(first.Worker, now) {
				t.Errorf("starts %v and an execution lease until %v at %v; the replaced start may still be carried out", got, first.Worker.ExtendLease(now, settings.Lease), clockAt(now))
			}
			stops = ordersFor(all, schedule.OrderStop, first.TaskRun)
			if len(stops) != 1 {
				t.Fatalf("%d stops, want the refused one again", len(stops))
			}
			s.OrderAnswered(stops[0], now, clockAt(now), nil)
			if !leaseExtended(first.Worker, now) {
				t.Error("the execution lease is not extended although the start is ruled out")
			}
		})
	}
}

// TestReplacedStartIsRuledOutOnReregisteredInstance checks that an owner remembers a
// start in flight when the registration of its instance goes and comes back, so that a task
// never has two runs at once. A start and its instance give no answer until the execution
// lease expires, so the task starts elsewhere; the registration goes meanwhile, and comes
// back. If the execution lease is extended before the start is ruled out, the start may be
// carried out.
func TestReplacedStartIsRuledOutOnReregisteredInstance(t *testing.T) {
	s, first, now := schedulerWithExpiredStart(t, false)
	s.SetIncarnations(now, []pointport.Incarnation{incarnation(0)})
	w := onlyWorker(t, s)
	s.Report(w, now, now, pointport.Report{Clock: clockAt(now)})
	all := orders(s, now)
	if got := startsByIncarnation(all); len(got) != 0 || leaseExtended(w, now) {
		t.Errorf("starts %v and an execution lease until %v at %v; the replaced start may still be carried out", got, w.ExtendLease(now, settings.Lease), clockAt(now))
	}
	stops := ordersFor(all, schedule.OrderStop, first.TaskRun)
	if len(stops) != 1 {
		t.Fatalf("%d stops, want one that rules the start out", len(stops))
	}
	s.OrderAnswered(stops[0], now, clockAt(now), nil)
	if !leaseExtended(w, now) {
		t.Error("the execution lease is not extended although the start is ruled out")
	}
}

// TestInstanceThatDoesNotComeBackIsForgotten checks that an instance that does not come back
// is eventually forgotten, even with a start in flight to it.
func TestInstanceThatDoesNotComeBackIsForgotten(t *testing.T) {
	s, _, now := schedulerWithExpiredStart(t, false)
	for range 120 {
		now = now.Add(time.Second)
		s.Plan(now)
	}
	if n := s.WorkerCount(); n != 0 {
		t.Errorf("%d instances are still remembered after %v, want none", n, now.Sub(start))
	}
}

// TestUnregisteredInstanceIsNotSentRepeatedStops checks that an instance whose registration is
// gone is not sent one stop after the other to rule a start out. It is not polled, so nothing
// shows that it is silent.
func TestUnregisteredInstanceIsNotSentRepeatedStops(t *testing.T) {
	s, first, now := schedulerWithExpiredStart(t, true)
	s.Report(first.Worker, now, now, pointport.Report{Clock: clockAt(now)})
	s.SetIncarnations(now, nil)
	stops := 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		for _, o := range ordersFor(orders(s, now), schedule.OrderStop, first.TaskRun) {
			stops++
			s.OrderAnswered(o, now, 0, silence)
		}
	}
	if stops > 1 {
		t.Errorf("%d stops in 10 s to an unregistered instance, want at most one", stops)
	}
}
