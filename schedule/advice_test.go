package schedule_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// advisedPolicy is the policy of jobs that need advice.
var advisedPolicy = func() workload.Policy {
	p := policy
	p.Advised = true
	return p
}()

// noFigures are the figures of an advisor that answers at once.
func noFigures(string) workload.Advice { return workload.Advice{} }

// figures are those of an advisor that takes 0.1 s for each instance.
func figures(string) workload.Advice {
	return workload.Advice{Base: 50 * time.Millisecond, PerInstance: 100 * time.Millisecond, ValidFor: 3 * time.Second}
}

// adviceFor returns an answer with a ticket "ticket" for some incarnations.
func adviceFor(validFor time.Duration, ids ...pointport.IncarnationID) pointport.Advice {
	a := pointport.Advice{Tickets: make(map[pointport.IncarnationID]string), ValidFor: validFor}
	for _, id := range ids {
		a.Tickets[id] = "ticket"
	}
	return a
}

// adviceScheduler returns a scheduler with n idle instances.
func adviceScheduler(n int) *schedule.Scheduler {
	s := newTestScheduler()
	all := make([]pointport.Incarnation, n)
	for i := range all {
		all[i] = incarnation(i)
	}
	registerIdle(s, start, all...)
	return s
}

// nextRequest returns the next request for advice, and fails the test if there is none.
func nextRequest(t *testing.T, s *schedule.Scheduler, now time.Time) schedule.AdviceRequest {
	t.Helper()
	q, ok := s.NextAdviceRequest(now, figures)
	if !ok {
		t.Fatal("there is no request for advice")
	}
	return q
}

// Guards against jobs that wait behind others at the advisor although they come first in the queue or their
// rivals have been cancelled.
func TestAdviceIsRequestedInOrderOfThePlan(t *testing.T) {
	s := adviceScheduler(4)
	urgent, late := advisedPolicy, advisedPolicy
	late.Priority = 1
	s.Add(start, job("late", late, step(1, 100, nil)))
	s.Add(start, job("cancelled", urgent, step(1, 100, nil)))
	s.Add(start, job("urgent", urgent, step(1, 100, nil)))
	orders(s, start)
	s.Cancel(start, "cancelled")
	for _, want := range []string{"urgent.0.0", "late.0.0"} {
		if q := nextRequest(t, s, start); q.Step != want {
			t.Errorf("the next request is about %s, want %s", q.Step, want)
		}
	}
	if q, ok := s.NextAdviceRequest(start, figures); ok {
		t.Errorf("there is a request %+v although each step has one in flight", q)
	}
}

// Guards against tickets that have expired when they arrive, because the advisor works longer on a request
// than its tickets are valid, and against requests that keep it from other steps.
func TestRequestsNameAsManyInstancesAsTheAdvisorHasTimeFor(t *testing.T) {
	for _, c := range []struct {
		jobs, want int
	}{
		{1, 14}, // all that take up to half of the validity
		{2, 1},  // the least work until one is found that may run the step, at a share of one half
	} {
		s := adviceScheduler(20)
		for n := range c.jobs {
			s.Add(start, job(fmt.Sprint(n), advisedPolicy, step(1, 100, nil)))
		}
		orders(s, start)
		q := nextRequest(t, s, start)
		if len(q.Incarnations) != c.want || q.Expected != figures("").TimeFor(c.want) {
			t.Errorf("with %d jobs, a request names %d instances and takes %v, want %d instances", c.jobs, len(q.Incarnations), q.Expected, c.want)
		}
	}
}

// Guards against a step that asks again and again while it waits for free capacity, and against one that
// does not ask once there is some.
func TestAdviceIsRenewedOnlyWhereThereIsRoom(t *testing.T) {
	s := adviceScheduler(2)
	s.Add(start, job("full", policy, step(2, 4000, nil)))
	all := orders(s, start)
	acceptAndReport(s, start, all)
	s.Add(start, job("a", advisedPolicy, step(1, 1000, nil)))
	orders(s, start)
	s.AdviceAnswered(nextRequest(t, s, start), start, start, adviceFor(3*time.Second, "i-0"), nil)
	later := start.Add(10 * time.Second)
	orders(s, later)
	if q, ok := s.NextAdviceRequest(later, figures); ok {
		t.Errorf("there is a request about %v without free capacity", q.Incarnations)
	}
	o := all[slices.IndexFunc(all, func(o schedule.Order) bool { return o.Worker.Incarnation().ID() == "i-0" })]
	s.Report(o.Worker, later, later, pointport.Report{Clock: 1, Ended: []pointport.TaskEnd{{Number: 1, TaskRun: o.TaskRun, Kind: pointport.EndDone}}})
	orders(s, later)
	if q := nextRequest(t, s, later); !slices.Equal(q.Incarnations, []pointport.IncarnationID{"i-0"}) {
		t.Errorf("the request names %v, want the instance that has room and may run the step", q.Incarnations)
	}
}

// Guards against tickets that are never used because they are valid for a short time, or for less than the
// advisor works, and against ones that are used too late.
func TestTicketsAreUsedWhileTheyAreValid(t *testing.T) {
	const expected = 150 * time.Millisecond // of a request that names one instance
	for _, c := range []struct {
		valid, took, usableFor time.Duration
	}{
		{3 * time.Second, expected, 2450 * time.Millisecond}, // less maxTicketReserve
		{3 * time.Second, 5 * time.Second, 2450 * time.Millisecond},
		{400 * time.Millisecond, expected, 187500 * time.Microsecond}, // three quarters of the rest
		{100 * time.Millisecond, expected, 75 * time.Millisecond},
	} {
		for _, late := range []bool{false, true} {
			s := adviceScheduler(1)
			s.Add(start, job("a", advisedPolicy, step(1, 1000, nil)))
			orders(s, start)
			answered := start.Add(c.took)
			s.AdviceAnswered(nextRequest(t, s, start), start, answered, adviceFor(c.valid, "i-0"), nil)
			at := answered.Add(c.usableFor)
			if !late {
				at = at.Add(-time.Millisecond)
			}
			if starts := len(startedTasks(orders(s, at))); (starts == 1) == late {
				t.Errorf("valid for %v, answered after %v: %d starts %v after the answer", c.valid, c.took, starts, at.Sub(answered))
			}
		}
	}
}

// Guards against a start that is refused for its ticket again and again.
func TestRefusedTicketIsNotUsedAgain(t *testing.T) {
	s := adviceScheduler(1)
	s.Add(start, job("a", advisedPolicy, step(1, 1000, nil)))
	orders(s, start)
	s.AdviceAnswered(nextRequest(t, s, start), start, start, adviceFor(3*time.Second, "i-0"), nil)
	o := orders(s, start)[0]
	s.OrderAnswered(o, start, 1, &pointport.RejectedError{Incarnation: "i-0", Reason: pointport.RejectTicket})
	if got := startedTasks(orders(s, start)); len(got) != 0 {
		t.Errorf("starts %v with the refused ticket", got)
	}
	s.AdviceAnswered(nextRequest(t, s, start), start, start, adviceFor(3*time.Second, "i-0"), nil)
	if got := startedTasks(orders(s, start)); len(got) != 1 {
		t.Errorf("starts %v with a new ticket, want one", got)
	}
}
