package schedule_test

import (
	"errors"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file tests tasks on instances that stop answering.

// silence is the error of an order or a poll without an answer.
var silence = &pointport.UnavailableError{Op: "hold", Ambiguous: true, Err: errors.New("silent")}

// TestTaskThatEndedBeforeItsInstanceExpiredIsNotRunAgain checks that a completed task is not
// run again when its end is reported after its instance expired. A start reaches an instance
// that answers nobody, the run completes, the instance expires and its tasks are requeued.
// When the instance answers again, the end that it lists must count although the run was
// replaced.
//
// In a log the failure shows as 'instance expired' and 'task returned' of run 1 half a second
// after its end, and a start of run 2 shortly after that.
func TestTaskThatEndedBeforeItsInstanceExpiredIsNotRunAgain(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0))
	s.Add(start, job("a", policy, step(1, 100, nil)))
	sent := orders(s, start)
	if len(sent) != 1 {
		t.Fatalf("orders %v, want one start", sent)
	}
	first := sent[0]
	first.Worker.ExtendLease(start, settings.Lease)
	s.OrderAnswered(first, start, 0, silence)
	now := start
	for range 60 { // well beyond the execution lease
		now = now.Add(100 * time.Millisecond)
		s.PollFailed(first.Worker, now, silence)
		for _, o := range orders(s, now) {
			s.OrderAnswered(o, now, 0, silence)
		}
	}
	if s, _ := s.Status("a"); s.Ended() {
		t.Fatalf("the job is %s before its task was reported", s)
	}
	s.Report(first.Worker, now, now, pointport.Report{Clock: 1, Ended: []pointport.TaskEnd{
		{Number: 1, TaskRun: first.TaskRun, Kind: pointport.EndDone},
	}})
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		for _, o := range orders(s, now) {
			if o.Kind == schedule.OrderStart {
				t.Fatalf("%v is started although run %d of its task is done", o.TaskRun, first.Run.TaskRun().Run)
			}
		}
	}
	if s, _ := s.Status("a"); !s.Ended() {
		t.Errorf("the job is %s, want it ended", s)
	}
}

// registrationGrace is the time within which registrations that lapsed by mistake are back,
// and known to be, while the store answers.
const registrationGrace = 3 * time.Second

// observationTime is for how long a test waits to see that a task does not start elsewhere.
const observationTime = 2 * time.Minute

// TestTasksOfSilentInstancesWaitForReports checks when tasks of a silent instance start
// elsewhere. Tasks that may have completed there wait for the report of their end while the
// instance is registered, and after that for as long as a registration that lapsed by mistake
// takes to be back. All others start elsewhere when the execution lease has expired, and tasks
// that may have copies within a second.
func TestTasksOfSilentInstancesWaitForReports(t *testing.T) {
	seconds := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
	missing := func(from, until float64) func(time.Duration) bool {
		return func(at time.Duration) bool { return at >= seconds(from) && at < seconds(until) }
	}
	cases := map[string]struct {
		unregistered func(at time.Duration) bool // reports whether the registration is missing; nil for never
		unreadable   func(at time.Duration) bool // reports whether the store gives no answer; nil for never
		laterAt      float64                     // when a later incarnation registers, in seconds; zero for never
		change       func(*workload.Step)
		least        time.Duration // from the begin of the silence to the start elsewhere
		atMost       time.Duration
		nowhere      bool // the task never starts elsewhere
	}{
		"registered":           {nowhere: true},
		"unregistered":         {unregistered: missing(3, 999), least: seconds(6), atMost: seconds(6.2)},
		"unregistered at once": {unregistered: missing(0, 999), least: seconds(4), atMost: seconds(4.5)},
		"unregistered late":    {unregistered: missing(7, 999), least: seconds(10), atMost: seconds(10.2)},
		"lapsed by mistake":    {unregistered: missing(5, 7.5), nowhere: true},
		"unregistered while the store is unreadable": {unregistered: missing(7, 999), unreadable: missing(8, 30), least: seconds(33), atMost: seconds(33.2)},
		"later incarnation":                          {unregistered: missing(3, 999), laterAt: 5, least: seconds(5), atMost: seconds(5.2)},
		"later incarnation, both registered":         {laterAt: 5, nowhere: true},
		"serving tasks":                              {change: func(s *workload.Step) { s.Service = true }, least: seconds(4), atMost: seconds(5)},
		"tasks with copies":                          {change: func(s *workload.Step) { s.Copies = true }, least: seconds(.5), atMost: seconds(1)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newTestScheduler()
			other := []pointport.Incarnation{incarnation(0), incarnation(1)}
			registerIdle(s, start, other...)
			s.Add(start, job("a", policy, step(1, 100, c.change)))
			first := orders(s, start)[0]
			first.Worker.ExtendLease(start, settings.Lease)
			s.OrderAnswered(first, start, 0, nil)
			silent := first.Worker.Incarnation()
			if silent.ID() == other[0].ID() {
				other = other[1:]
			} else {
				other = other[:1]
			}
			again := pointport.NewIncarnation("i-again", "p", "10.0.0.9:1", pointport.WithInstance(silent.Instance()), pointport.WithCapacity(size))
			coverage := schedule.RegistryCoverage{Since: start}
			for at := time.Duration(0); at < observationTime; at += 50 * time.Millisecond {
				now := start.Add(at)
				s.PollFailed(first.Worker, now, silence)
				registered := other
				if c.unregistered == nil || !c.unregistered(at) {
					registered = append(registered[:1:1], silent)
				}
				if c.laterAt > 0 && at >= seconds(c.laterAt) {
					registered = append(registered[:len(registered):len(registered)], again)
				}
				switch unreadable := c.unreadable != nil && c.unreadable(at); {
				case unreadable:
					coverage = schedule.RegistryCoverage{}
				case coverage.Since.IsZero():
					coverage = schedule.RegistryCoverage{Since: now, Until: now}
				default:
					coverage.Until = now
				}
				s.SetIncarnations(now, registered)
				s.SetRegistryCoverage(coverage)
				for _, o := range orders(s, now) {
					if o.Kind != schedule.OrderStart || o.Worker == first.Worker {
						continue
					}
					if c.nowhere || at < c.least || at > c.atMost {
						t.Errorf("the task starts elsewhere after %v, want %v to %v (never: %v)", at, c.least, c.atMost, c.nowhere)
					}
					return
				}
			}
			if !c.nowhere {
				t.Error("the task never starts elsewhere")
			}
		})
	}
}

// TestCancelledJobDoesNotWaitForSilentInstance checks that a cancelled job ends once the
// execution lease of its tasks on a silent instance has expired. None of its tasks starts
// again, so there is no need to wait for the report of their ends.
func TestCancelledJobDoesNotWaitForSilentInstance(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0))
	s.Add(start, job("a", policy, step(1, 100, nil)))
	first := orders(s, start)[0]
	first.Worker.ExtendLease(start, settings.Lease)
	s.OrderAnswered(first, start, 0, nil)
	s.Cancel(start, "a")
	now := start
	for range 60 {
		now = now.Add(100 * time.Millisecond)
		s.PollFailed(first.Worker, now, silence)
		orders(s, now)
	}
	if status, _ := s.Status("a"); status != workload.Cancelled {
		t.Errorf("the job is %s, want cancelled", status)
	}
}

// TestStartThatWaitsForSilentInstanceGoesElsewhere checks that a start that is not sent yet
// when its instance becomes silent is skipped, and that its task starts elsewhere without
// waiting until the instance expires.
func TestStartThatWaitsForSilentInstanceGoesElsewhere(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0), incarnation(1))
	s.Add(start, job("a", policy, step(1, 100, nil)))
	sent := orders(s, start)
	if len(sent) != 1 {
		t.Fatalf("orders %v, want one start", sent)
	}
	if s.SkipStart(start, sent[0]) {
		t.Fatal("the start is skipped although its instance answers")
	}
	s.PollFailed(sent[0].Worker, start, silence)
	if !s.SkipStart(start, sent[0]) {
		t.Fatal("the start is not skipped although its instance is silent")
	}
	again := orders(s, start.Add(10*time.Millisecond))
	if len(again) != 1 || again[0].Worker == sent[0].Worker {
		t.Errorf("orders %v, want one start on the other instance", again)
	}
}

// TestStartThatMayHaveArrivedIsNotSkipped checks that a start that may have reached its
// instance by an earlier order is not skipped.
func TestStartThatMayHaveArrivedIsNotSkipped(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0))
	s.Add(start, job("a", policy, step(1, 100, nil)))
	sent := orders(s, start)
	sent[0].Worker.ExtendLease(start, settings.Lease)
	s.OrderAnswered(sent[0], start, 0, silence)
	s.PollFailed(sent[0].Worker, start, silence)
	if s.SkipStart(start, sent[0]) {
		t.Error("the start is skipped although an earlier order of it may have arrived")
	}
}

// TestPlacementRespectsUnstoredStartLimit checks that no more tasks are placed than the limit
// of starts that wait to be stored and sent allows.
func TestPlacementRespectsUnstoredStartLimit(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0), incarnation(1))
	for _, id := range []string{"a", "b", "c", "d"} {
		s.Add(start, job(id, policy, step(4, 100, nil)))
	}
	s.LimitUnstoredStarts(8)
	if n := len(startsByIncarnation(orders(s, start))); n == 0 {
		t.Fatal("nothing is placed below the limit")
	}
	s.LimitUnstoredStarts(0)
	s.Add(start, job("e", policy, step(1, 100, nil)))
	if got := orders(s, start); len(got) != 0 {
		t.Errorf("%d orders with a limit of 0, want none", len(got))
	}
}

// TestEndHandledAfterItsIncarnationEndedCounts checks that a completed task is not run
// again when the report of its end is handled only after the owner has learned that the
// incarnation has ended since. An answer of an ended incarnation must still be evaluated.
func TestEndHandledAfterItsIncarnationEndedCounts(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0), incarnation(1))
	s.Add(start, job("a", policy, step(1, 100, nil)))
	first := orders(s, start)[0]
	s.MarkSending(first)
	s.OrderAnswered(first, start, clockAt(start), nil)
	s.EndIncarnation(start, first.Worker.Incarnation().ID())
	s.Report(first.Worker, start, start, reportOfOrderEnd(first, pointport.EndDone))
	if got := startsByIncarnation(orders(s, start)); len(got) != 0 {
		t.Errorf("starts %v although the task is done", got)
	}
	if s, _ := s.Status("a"); s != workload.Completed {
		t.Errorf("the job is %q, want completed", s)
	}
}

// TestGangThatEndedBeforeItWasRequeuedIsNotRunAgain checks that a completed gang is not run
// again when its ends are reported after its tasks were requeued, because their instance was
// silent until its execution lease expired or was known to have ended. The completed end of a
// replaced run must count for a gang too.
func TestGangThatEndedBeforeItWasRequeuedIsNotRunAgain(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0))
	s.Add(start, job("a", policy, step(2, 100, func(s *workload.Step) { s.Gang = true })))
	both := orders(s, start)
	for _, o := range both {
		s.MarkSending(o)
		s.OrderAnswered(o, start, clockAt(start), nil)
	}
	s.SetIncarnations(start, []pointport.Incarnation{incarnation(0), incarnation(1)})
	for _, w := range s.Workers() {
		if w != both[0].Worker {
			s.Report(w, start, start, pointport.Report{Clock: 1})
		}
	}
	s.EndIncarnation(start, incarnation(0).ID())
	again := orders(s, start) // on the other instance, before the first one has reported
	if got := startsByIncarnation(again); got[incarnation(1).ID()] != 2 {
		t.Fatalf("starts %v, want the gang on the other instance", got)
	}
	s.Report(both[0].Worker, start, start, pointport.Report{Clock: 1, Ended: []pointport.TaskEnd{
		{Number: 1, TaskRun: both[0].TaskRun, Kind: pointport.EndDone}, {Number: 2, TaskRun: both[1].TaskRun, Kind: pointport.EndDone},
	}})
	for _, o := range again {
		if o.Kind == schedule.OrderStart && !s.SkipStart(start, o) {
			t.Errorf("the start of %v is not skipped although its gang is done", o.TaskRun)
		}
	}
	if got := startsByIncarnation(orders(s, start)); len(got) != 0 {
		t.Errorf("starts %v although the gang is done", got)
	}
	if s, _ := s.Status("a"); s != workload.Completed {
		t.Errorf("the job is %q, want completed", s)
	}
}
