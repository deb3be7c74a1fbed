package schedule_test

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file checks what a new owner holds back, and adopts, after an owner that may have started
// tasks unrecorded.

// newSuccessor returns the scheduler of an owner whose predecessor may have started tasks
// unrecorded.
func newSuccessor() *schedule.Scheduler {
	kept := settings
	kept.PredecessorUnrecorded = true
	return schedule.NewScheduler(start, kept, slog.New(slog.DiscardHandler))
}

// expired is when everything that the previous owner has started on unregistered instances has ended.
var expired = start.Add(settings.PredecessorBound + time.Millisecond)

// readable reports to a scheduler that the registrations were readable from since to until.
func readable(s *schedule.Scheduler, since, until time.Time) {
	s.SetRegistryCoverage(schedule.RegistryCoverage{Since: since, Until: until})
}

// polledWorker returns the worker of an incarnation that is polled.
func polledWorker(t *testing.T, s *schedule.Scheduler, id pointport.IncarnationID) *schedule.Worker {
	t.Helper()
	for _, w := range s.Workers() {
		if w.Incarnation().ID() == id {
			return w
		}
	}
	t.Fatalf("%s is not polled", id)
	return nil
}

// runsOf returns a report that lists runs with number 1 of the given tasks as running.
func runsOf(tasks ...string) pointport.Report {
	r := pointport.Report{Clock: 1}
	for _, task := range tasks {
		r.Running = append(r.Running, pointport.RunningTask{TaskRun: pointport.TaskRun{Task: task, Run: 1}, Progress: 10})
	}
	return r
}

// endOf returns a report that lists the end of run 1 of a task.
func endOf(task string, kind pointport.EndKind) pointport.Report {
	return pointport.Report{Clock: 1, Ended: []pointport.TaskEnd{{Number: 1, TaskRun: pointport.TaskRun{Task: task, Run: 1}, Kind: kind}}}
}

// startedTasks returns the runs that orders start, as task and run number.
func startedTasks(all []schedule.Order) []string {
	var out []string
	for _, o := range all {
		if o.Kind == schedule.OrderStart {
			out = append(out, fmt.Sprint(o.TaskRun.Task, " ", o.TaskRun.Run))
		}
	}
	return out
}

// TestTasksAreHeldBackUntilEveryRunIsKnown checks that a task that the previous owner may have
// started waits for each of these: all registered instances have reported, the registrations have
// been readable for 2 s since the takeover, and what runs on unregistered instances has ended. Without
// any of them a run may go on where this owner does not see it. It then starts as run 2.
func TestTasksAreHeldBackUntilEveryRunIsKnown(t *testing.T) {
	cases := map[string]struct {
		now, since, until time.Time
		unreported        bool
		full              bool
		want              string
	}{
		"all known":              {now: expired, since: start, until: expired, want: "[a.0.1.0 2]"},
		"instance silent":        {now: expired, since: start, until: expired, unreported: true, want: "[]"},
		"instance omits ends":    {now: expired, since: start, until: expired, full: true, want: "[]"},
		"registrations unread":   {now: expired, since: time.Time{}, until: expired, want: "[]"},
		"registrations just":     {now: expired, since: expired.Add(-1900 * time.Millisecond), until: expired, want: "[]"},
		"readable before":        {now: expired, since: start.Add(-time.Minute), until: start.Add(1900 * time.Millisecond), want: "[]"},
		"unregistered may run":   {now: start.Add(settings.PredecessorBound), since: start, until: expired, want: "[]"},
		"readable long enough 2": {now: expired, since: expired.Add(-2 * time.Second), until: expired, want: "[a.0.1.0 2]"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSuccessor()
			s.Add(start, begunJob("a", policy, step(1, 100, nil)))
			s.SetIncarnations(start, []pointport.Incarnation{incarnation(0), incarnation(1)})
			s.Report(polledWorker(t, s, "i-0"), start, start, pointport.Report{Clock: 1})
			switch other := polledWorker(t, s, "i-1"); {
			case c.full:
				r := pointport.Report{Clock: 1}
				for n := range 500 {
					r.Ended = append(r.Ended, pointport.TaskEnd{Number: int64(n + 1), TaskRun: pointport.TaskRun{Task: fmt.Sprintf("z.0.0.%d", n), Run: 1}, Kind: pointport.EndDone})
				}
				s.Report(other, start, start, r)
			case c.unreported:
				s.PollFailed(other, start, &pointport.UnavailableError{Op: "hold", Ambiguous: true})
			default:
				s.Report(other, start, start, pointport.Report{Clock: 1})
			}
			readable(s, c.since, c.until)
			if got := fmt.Sprint(startedTasks(orders(s, c.now))); got != c.want {
				t.Errorf("starts %s, want %s", got, c.want)
			}
			if s.HoldsBack() != (c.want == "[]") || s.Unrecorded() != s.HoldsBack() {
				t.Errorf("holds back %t, unrecorded %t", s.HoldsBack(), s.Unrecorded())
			}
		})
	}
}

// TestHoldEndsWithoutInstanceThatIsOver checks that the hold waits neither for an incarnation that
// has ended nor for one whose registration is gone, which may never answer.
func TestHoldEndsWithoutInstanceThatIsOver(t *testing.T) {
	for _, how := range []string{"ended", "gone"} {
		s := newSuccessor()
		s.Add(start, begunJob("a", policy, step(1, 100, nil)))
		s.SetIncarnations(start, []pointport.Incarnation{incarnation(0), incarnation(1)})
		s.Report(polledWorker(t, s, "i-0"), start, start, pointport.Report{Clock: 1})
		s.PollFailed(polledWorker(t, s, "i-1"), start, &pointport.UnavailableError{Op: "hold", Ambiguous: true})
		if how == "ended" {
			s.EndIncarnation(start, "i-1")
		} else {
			s.SetIncarnations(start, []pointport.Incarnation{incarnation(0)})
		}
		readable(s, start, expired)
		if got := startedTasks(orders(s, expired)); len(got) != 1 {
			t.Errorf("%s: starts %v, want one", how, got)
		}
	}
}

// TestHoldWaitsForLaterInstances checks that the hold waits for instances that register after the
// takeover, and for a later incarnation that takes over an addressee: an order of the previous owner
// may reach it before this owner's fencing token does.
func TestHoldWaitsForLaterInstances(t *testing.T) {
	former := pointport.NewIncarnationID("i-1", start.Add(-time.Hour))
	later := pointport.NewIncarnationID("i-1", start.Add(time.Second))
	at := func(id pointport.IncarnationID) pointport.Incarnation {
		return pointport.NewIncarnation(id, "p", "10.0.0.1:1", pointport.WithInstance("m-1"), pointport.WithCapacity(size))
	}
	long := start.Add(time.Minute)
	for _, next := range []pointport.Incarnation{incarnation(2), at(later)} {
		s := newSuccessor()
		s.Add(start, begunJob("a", policy, step(1, 100, nil)))
		s.SetIncarnations(start, []pointport.Incarnation{incarnation(0), at(former)})
		for _, w := range s.Workers() {
			s.Report(w, start, start, pointport.Report{Clock: 1})
		}
		s.SetIncarnations(start.Add(2*time.Second), []pointport.Incarnation{incarnation(0), next})
		readable(s, start, long)
		if got := startedTasks(orders(s, long)); len(got) != 0 {
			t.Fatalf("starts %v although %s has not reported, want none", got, next.ID())
		}
		s.Report(polledWorker(t, s, next.ID()), long, long, runsOf("a.0.1.0"))
		if all := orders(s, long); len(all) != 0 {
			t.Errorf("orders %+v once %s has reported the run, want none", all, next.ID())
		}
	}
}

// TestUnrecordedRunIsAdopted checks that a run that the previous owner started unrecorded goes on as
// the run of its task: it is neither stopped nor started again, its capacity counts, and its end
// completes the job. That holds also if the end of the step before is not known yet.
func TestUnrecordedRunIsAdopted(t *testing.T) {
	s := newSuccessor()
	j := job("a", policy, step(1, 100, nil), step(1, 4000, func(s *workload.Step) { s.After = []int{0} }))
	j.BeginDue(start)
	j.Place(workload.TaskRef{}, "i-0", 1)
	s.Add(start, j)
	s.SetIncarnations(start, []pointport.Incarnation{incarnation(0), incarnation(1)})
	s.Report(polledWorker(t, s, "i-1"), start, start, runsOf("a.0.1.0"))
	s.Add(start, job("new", policy, step(1, 100, nil)))
	for _, o := range orders(s, start) {
		t.Errorf("order %+v, want none: the run goes on, and its instance has no room", o)
	}
	if s.Unrecorded() {
		t.Error("the adopted run counts as unrecorded after its job is stored")
	}
	s.Report(polledWorker(t, s, "i-0"), start, start, endOf("a.0.0.0", pointport.EndDone))
	s.Report(polledWorker(t, s, "i-1"), start.Add(time.Second), start.Add(time.Second), endOf("a.0.1.0", pointport.EndDone))
	if got := startedTasks(orders(s, start.Add(time.Second))); fmt.Sprint(got) != "[new.0.0.0 1]" {
		t.Errorf("starts %v, want that of the new job", got)
	}
	if got, _ := s.Status("a"); got != workload.Completed {
		t.Errorf("the job is %s, want completed", got)
	}
}

// TestAdoptionCountsUntilItIsStored checks that a successor of this owner is told to hold tasks back
// until the adopted run, or its end, is stored.
func TestAdoptionCountsUntilItIsStored(t *testing.T) {
	for name, report := range map[string]pointport.Report{"running": runsOf("a.0.1.0"), "ended": endOf("a.0.1.0", pointport.EndDone)} {
		s := newSuccessor()
		s.Add(start, begunJob("a", policy, step(1, 100, nil)))
		s.SetIncarnations(start, []pointport.Incarnation{incarnation(0)})
		s.Report(polledWorker(t, s, "i-0"), start, start, report)
		s.Plan(start)
		batch := s.TakeBatch(everything)
		if s.HoldsBack() || !s.Unrecorded() {
			t.Errorf("%s: holds back %t, unrecorded %t before it is stored; want false and true", name, s.HoldsBack(), s.Unrecorded())
		}
		s.Stored(batch, start)
		if s.Unrecorded() {
			t.Errorf("%s: unrecorded after it is stored", name)
		}
	}
}

// TestEndOfUnrecordedRunCounts checks that the end of an unrecorded run decides whether its task
// starts again, and that the next run has number 2: an instance refuses run 1 once it has ended.
func TestEndOfUnrecordedRunCounts(t *testing.T) {
	cases := map[pointport.EndKind]struct{ starts, status string }{
		pointport.EndDone:         {"[]", "completed"},
		pointport.EndFailed:       {"[a.0.1.0 2]", "running"},
		pointport.EndStopped:      {"[a.0.1.0 2]", "running"},
		pointport.EndLeaseExpired: {"[a.0.1.0 2]", "running"},
	}
	once := policy
	once.MaxAttempts = 1
	for kind, c := range cases {
		for _, p := range []workload.Policy{policy, once} {
			s := newSuccessor()
			s.Add(start, begunJob("a", p, step(1, 100, nil)))
			s.SetIncarnations(start, []pointport.Incarnation{incarnation(0), incarnation(1)})
			s.Report(polledWorker(t, s, "i-0"), start, start, endOf("a.0.1.0", kind))
			s.Report(polledWorker(t, s, "i-1"), start, start, pointport.Report{Clock: 1})
			got, status := startedTasks(orders(s, start)), workload.Status("")
			status, _ = s.Status("a")
			want := c
			if kind == pointport.EndFailed && p.MaxAttempts == 1 {
				want.starts, want.status = "[]", "failed"
			}
			if fmt.Sprint(got) != want.starts || string(status) != want.status {
				t.Errorf("%s, %d attempts: starts %v, job %s; want %s, %s", kind, p.MaxAttempts, got, status, want.starts, want.status)
			}
		}
	}
}

// TestStoppedJobsAreNotAdopted checks that a run of a cancelled job is stopped as a stray, and that
// the job is not over before all its runs can be known.
func TestStoppedJobsAreNotAdopted(t *testing.T) {
	s := newSuccessor()
	s.Add(start, begunJob("a", policy, step(1, 100, nil)))
	s.Cancel(start, "a")
	s.SetIncarnations(start, []pointport.Incarnation{incarnation(0)})
	s.Report(polledWorker(t, s, "i-0"), start, start, runsOf("a.0.1.0"))
	all := orders(s, start)
	if len(all) != 1 || all[0].Kind != schedule.OrderStop || all[0].TaskRun.Task != "a.0.1.0" {
		t.Errorf("orders %+v, want the stop of the run", all)
	}
	if got, _ := s.Status("a"); got.Ended() {
		t.Errorf("the job is %s while an unrecorded run of it may go on", got)
	}
	s.Report(polledWorker(t, s, "i-0"), expired, expired, pointport.Report{Clock: 2})
	readable(s, start, expired)
	orders(s, expired)
	if got, _ := s.Status("a"); got != workload.Cancelled {
		t.Errorf("the job is %s once all runs are known, want cancelled", got)
	}
}

// TestOnlyPossibleRunsAreAdopted checks that a run is stopped as a stray if the previous owner cannot
// have started it unrecorded, and that tasks of such kinds are not held back.
func TestOnlyPossibleRunsAreAdopted(t *testing.T) {
	second := workload.TaskRef{Step: 1}
	cases := map[string]struct {
		job *workload.Job
		run pointport.TaskRun
	}{
		"job has not begun": {dueJob("a", policy, step(1, 100, nil), step(1, 100, nil)), pointport.TaskRun{Task: "a.0.1.0", Run: 1}},
		"serving":           {begunJob("a", policy, step(1, 100, func(s *workload.Step) { s.Service = true })), pointport.TaskRun{Task: "a.0.1.0", Run: 1}},
		"run 2":             {begunJob("a", policy, step(1, 100, nil)), pointport.TaskRun{Task: "a.0.1.0", Run: 2}},
		"other task":        {begunJob("a", policy, step(1, 100, nil)), pointport.TaskRun{Task: "a.0.1.7", Run: 1}},
		"other spelling":    {begunJob("a", policy, step(1, 100, nil)), pointport.TaskRun{Task: "a.0.1.00", Run: 1}},
		"done":              {begunJob("a", policy, step(2, 100, nil)), pointport.TaskRun{Task: "a.0.0.0", Run: 1}},
	}
	pending := begunJob("a", policy, step(1, 100, nil))
	pending.Place(second, "i-9", 1)
	pending.Requeue(second)
	cases["started before"] = struct {
		job *workload.Job
		run pointport.TaskRun
	}{pending, pointport.TaskRun{Task: "a.0.1.0", Run: 1}}
	for name, c := range cases {
		s := newSuccessor()
		s.Add(start, c.job)
		s.SetIncarnations(start, []pointport.Incarnation{incarnation(0)})
		s.Report(polledWorker(t, s, "i-0"), start, start, pointport.Report{Clock: 1, Running: []pointport.RunningTask{{TaskRun: c.run}}})
		stopped := false
		for _, o := range s.TakeOrders() {
			stopped = stopped || o.Kind == schedule.OrderStop && o.TaskRun == c.run
		}
		if !stopped {
			t.Errorf("%s: the run is not stopped", name)
		}
	}
}

// dueJob returns a job whose tasks have been created and never given to an instance.
func dueJob(id string, p workload.Policy, steps ...workload.Step) *workload.Job {
	j := job(id, p, steps...)
	j.BeginDue(start)
	return j
}

// TestNewJobsAreNotHeldBack checks that jobs that were not stored as begun start at once on
// instances that have reported, and nowhere else: the free capacity of the others is not known, even
// if they have answered an order.
func TestNewJobsAreNotHeldBack(t *testing.T) {
	s := newSuccessor()
	s.Add(start, begunJob("a", policy, step(1, 100, nil)))
	s.Add(start, dueJob("new", policy, step(5, 1000, nil)))
	s.SetIncarnations(start, []pointport.Incarnation{incarnation(0), incarnation(1)})
	s.Report(polledWorker(t, s, "i-0"), start, start, pointport.Report{Clock: 1})
	s.OrderAnswered(stopOfUnknownRun(polledWorker(t, s, "i-1")), start, 1, nil)
	if got := startsByIncarnation(orders(s, start)); got["i-0"] != 4 || got["i-1"] != 0 {
		t.Errorf("starts %v, want 4 on i-0", got)
	}
}

// TestCapHoldsWhileRunsAreUnknown checks that nothing of a customer with a cap starts while it may
// have unrecorded runs: with these, new ones could exceed the cap.
func TestCapHoldsWhileRunsAreUnknown(t *testing.T) {
	owned := func(id string) *workload.Job {
		return workload.New(id, "q", policy, &workload.Spec{Steps: []workload.Step{step(1, 100, nil), step(1, 100, nil)}}, start, workload.WithCustomer("c"))
	}
	for _, capped := range []bool{false, true} {
		s := newSuccessor()
		if capped {
			s.SetAllowed(map[string]pointport.Shape{"c": {CPUMilli: 200, MemoryMiB: 1000}})
		}
		j := owned("a")
		finishFirstStep(j)
		s.Add(start, j)
		s.Add(start, owned("new"))
		s.SetIncarnations(start, []pointport.Incarnation{incarnation(0), incarnation(1)})
		s.Report(polledWorker(t, s, "i-0"), start, start, pointport.Report{Clock: 1})
		if got := len(startedTasks(orders(s, start))); (got == 0) != capped {
			t.Errorf("capped %t: %d starts", capped, got)
		}
		x, _ := s.Explain(start, "new")
		if capped != strings.Contains(x.Steps[0].Waits, "held back") {
			t.Errorf("capped %t: explained as %q", capped, x.Steps[0].Waits)
		}
	}
}

// TestHeldBackTasksAreExplained checks that an operator is told that tasks are held back, and which
// instances have not reported; and that such an instance is not taken for empty, which would let it
// be maintained while an unrecorded run goes on there.
func TestHeldBackTasksAreExplained(t *testing.T) {
	s := newSuccessor()
	s.Add(start, begunJob("a", policy, step(3, 100, nil)))
	s.SetIncarnations(start, []pointport.Incarnation{incarnation(0), incarnation(1)})
	s.Report(polledWorker(t, s, "i-0"), start, start, pointport.Report{Clock: 1})
	orders(s, start)
	x, _ := s.Explain(start, "a")
	if got := x.Steps[1].Waits; !strings.Contains(got, "3 tasks are held back") || !strings.Contains(got, "i-1") || strings.Contains(got, "i-0") {
		t.Errorf("explained as %q", got)
	}
	for _, l := range s.Survey(start, schedule.SurveyRequest{}).Instances {
		if l.Empty() != (l.Incarnation == "i-0") {
			t.Errorf("%s is empty: %t", l.Incarnation, l.Empty())
		}
	}
}

// TestLateEndsOfUnrecordedRunsCount checks that an instance that registers after the hold is over
// still decides about the tasks of which it lists ends.
func TestLateEndsOfUnrecordedRunsCount(t *testing.T) {
	s := newSuccessor()
	s.Add(start, begunJob("a", policy, step(1, 100, nil)))
	s.SetIncarnations(start, []pointport.Incarnation{incarnation(0)})
	s.Report(polledWorker(t, s, "i-0"), start, start, pointport.Report{Clock: 1})
	readable(s, start, expired)
	if got := fmt.Sprint(startedTasks(orders(s, expired))); got != "[a.0.1.0 2]" {
		t.Fatalf("starts %s, want run 2", got)
	}
	s.SetIncarnations(expired, []pointport.Incarnation{incarnation(0), incarnation(1)})
	s.Report(polledWorker(t, s, "i-1"), expired, expired, endOf("a.0.1.0", pointport.EndDone))
	orders(s, expired)
	if got, _ := s.Status("a"); got != workload.Completed {
		t.Errorf("the job is %s, want completed: its task was done on the instance that came late", got)
	}
}

// TestNothingIsHeldBackAfterRecordingOwner checks that the setting is off without its cause.
func TestNothingIsHeldBackAfterRecordingOwner(t *testing.T) {
	s := newTestScheduler()
	s.Add(start, begunJob("a", policy, step(1, 100, nil)))
	s.SetIncarnations(start, []pointport.Incarnation{incarnation(0), incarnation(1)})
	s.Report(polledWorker(t, s, "i-0"), start, start, pointport.Report{Clock: 1})
	if got := fmt.Sprint(startedTasks(orders(s, start))); got != "[a.0.1.0 1]" {
		t.Errorf("starts %s, want run 1 at once", got)
	}
}

// TestSilentInstanceDoesNotFreezeCaps checks that a registered instance that answers nobody keeps the
// tasks of a customer with a cap from starting, and shares of caps from moving, only until its
// execution lease has expired: nothing of the customer would start for as long as it is registered.
// The tasks that may have run on the instance go on waiting for it.
func TestSilentInstanceDoesNotFreezeCaps(t *testing.T) {
	s := newSuccessor()
	j := workload.New("a", "q", policy, &workload.Spec{Steps: []workload.Step{step(1, 100, nil), step(1, 100, nil)}}, start, workload.WithCustomer("c"))
	finishFirstStep(j)
	s.Add(start, j)
	s.Add(start, workload.New("b", "q", policy, &workload.Spec{Steps: []workload.Step{step(1, 100, nil)}}, start, workload.WithCustomer("c")))
	s.SetAllowed(map[string]pointport.Shape{"c": {CPUMilli: 3000, MemoryMiB: 3000}})
	s.SetIncarnations(start, []pointport.Incarnation{incarnation(0), incarnation(1)})
	s.PollFailed(polledWorker(t, s, "i-1"), start, &pointport.UnavailableError{Op: "hold", Ambiguous: true})
	var started []string
	for now := start; now.Before(start.Add(10 * time.Minute)); now = now.Add(100 * time.Millisecond) {
		s.Report(polledWorker(t, s, "i-0"), now, now, pointport.Report{Clock: pointport.InstanceTime(1 + now.Sub(start))})
		readable(s, start, now)
		all := startedTasks(orders(s, now))
		started = append(started, all...)
		past := now.After(start.Add(settings.PredecessorBound))
		if len(all) > 0 && !past {
			t.Errorf("starts %v after %v, when the silent instance may still run others", all, now.Sub(start))
		}
		if s.UsageKnown() != past {
			t.Fatalf("usage known %t after %v, want %t", s.UsageKnown(), now.Sub(start), past)
		}
	}
	if fmt.Sprint(started) != "[b.0.0.0 1]" {
		t.Errorf("starts %v, want only the task that cannot have run on the silent instance", started)
	}
	if !s.HoldsBack() || !s.Unrecorded() {
		t.Errorf("holds back %t, unrecorded %t while the silent instance is registered; want true and true", s.HoldsBack(), s.Unrecorded())
	}
}

// TestUsageIsUnknownWhileInstanceMayRun checks that the use of a customer with a cap does not count as
// known while unrecorded runs may go on: without any of the conditions the cap could be exceeded.
func TestUsageIsUnknownWhileInstanceMayRun(t *testing.T) {
	cases := map[string]struct {
		now, since time.Time
		other      string
		want       bool
	}{
		"silent and expired":     {now: expired, since: start, other: "silent", want: true},
		"silent, not expired":    {now: start.Add(settings.PredecessorBound), since: start, other: "silent"},
		"ends omitted":           {now: expired, since: start, other: "full"},
		"registrations unread":   {now: expired, other: "silent"},
		"registered only now":    {now: expired, since: start, other: "new"},
		"silent, then answers":   {now: expired, since: start, other: "answers"},
		"silent after extension": {now: expired, since: start, other: "extended"},
		"unregistered, expired":  {now: expired, since: start, other: "unregistered", want: true},
	}
	full := pointport.Report{Clock: 1}
	for n := range 500 {
		full.Ended = append(full.Ended, pointport.TaskEnd{Number: int64(n + 1), TaskRun: pointport.TaskRun{Task: fmt.Sprintf("z.0.0.%d", n), Run: 1}, Kind: pointport.EndDone})
	}
	for name, c := range cases {
		s := newSuccessor()
		s.Add(start, begunJob("a", policy, step(1, 100, nil)))
		both := []pointport.Incarnation{incarnation(0), incarnation(1)}
		s.SetIncarnations(start, both)
		s.Report(polledWorker(t, s, "i-0"), start, start, pointport.Report{Clock: 1})
		other := polledWorker(t, s, "i-1")
		if c.other != "full" {
			s.PollFailed(other, start, &pointport.UnavailableError{Op: "hold", Ambiguous: true})
		}
		switch c.other {
		case "full":
			s.Report(other, start, start, full)
		case "answers":
			s.Report(other, c.now, c.now, full)
		case "extended":
			s.Report(other, c.now, c.now, full)
			other.ExtendLease(c.now, settings.Lease)
			s.PollFailed(other, c.now, &pointport.UnavailableError{Op: "hold", Ambiguous: true})
		case "new":
			s.SetIncarnations(c.now, append(both, incarnation(2)))
		case "unregistered":
			s.SetIncarnations(start, both[:1])
		}
		readable(s, c.since, c.now)
		s.Plan(c.now)
		if got := s.UsageKnown(); got != c.want {
			t.Errorf("%s: usage known %t, want %t", name, got, c.want)
		}
	}
}

// TestHoldEndsWithoutUnregisteredInstance checks that the hold does not wait for an instance that is not
// registered and whose execution lease has expired, although the owner still remembers it for a run
// that is stored. It may be remembered for a minute.
func TestHoldEndsWithoutUnregisteredInstance(t *testing.T) {
	s := newSuccessor()
	s.Add(start, begunJob("a", policy, step(1, 100, nil)))
	other := begunJob("b", policy, step(1, 100, nil))
	other.Place(workload.TaskRef{Step: 1}, "i-1", 1)
	s.Add(start, other)
	s.SetIncarnations(start, []pointport.Incarnation{incarnation(0)})
	s.Report(polledWorker(t, s, "i-0"), start, start, pointport.Report{Clock: 1})
	readable(s, expired.Add(-2*time.Second), expired) // too short for i-1 to count as gone
	if got := fmt.Sprint(startedTasks(orders(s, expired))); got != "[a.0.1.0 2]" {
		t.Errorf("starts %s, want the task that was held back", got)
	}
}
