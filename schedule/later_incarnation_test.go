package schedule_test

import (
	"slices"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file tests what becomes of orders to an instance that restarts and keeps its addressee.

// restarted returns the registration of the incarnation that an instance has after n restarts.
// All of them share one addressee. The clock that shows when they began is set back at each
// restart.
func restarted(n int) pointport.Incarnation {
	id := pointport.NewIncarnationID("i", time.UnixMilli(int64(1000-n)))
	return pointport.NewIncarnation(id, "p", "10.0.0.1:1", pointport.WithInstance("m"), pointport.WithCapacity(size), pointport.WithRack("r"))
}

// crashAvoidance is for how long a task waits for another instance than the one that crashed
// under it.
const crashAvoidance = 2 * time.Second

// replacedBy returns the error of a poll of a former incarnation that a later one has
// answered.
func replacedBy(former, by pointport.Incarnation) error {
	return &pointport.GoneError{Incarnation: former.ID(), AnsweredBy: by.ID()}
}

// workerOf returns the worker of an incarnation.
func workerOf(t *testing.T, s *schedule.Scheduler, inc pointport.Incarnation) *schedule.Worker {
	t.Helper()
	for _, w := range s.Workers() {
		if w.Incarnation().ID() == inc.ID() {
			return w
		}
	}
	t.Fatalf("no worker for %s", inc.ID())
	return nil
}

// schedulerWithStart returns a scheduler in which the start of a task on the first incarnation
// of an instance was sent at start.
func schedulerWithStart(t *testing.T) (*schedule.Scheduler, schedule.Order, *workload.Job) {
	t.Helper()
	return schedulerWithStartOn(t, restarted(0), nil)
}

// schedulerWithStartOn returns a scheduler in which the start of a task on an incarnation was
// sent at start; change modifies the step of the task and may be nil.
func schedulerWithStartOn(t *testing.T, inc pointport.Incarnation, change func(*workload.Step)) (*schedule.Scheduler, schedule.Order, *workload.Job) {
	t.Helper()
	s := newTestScheduler()
	registerIdle(s, start, inc)
	j := job("a", policy, step(1, 100, change))
	s.Add(start, j)
	all := orders(s, start)
	if len(all) != 1 || all[0].Kind != schedule.OrderStart {
		t.Fatalf("orders %v, want a start", all)
	}
	s.MarkSending(all[0])
	all[0].Worker.ExtendLease(start, settings.Lease)
	return s, all[0], j
}

// reportOfRun returns a report that lists a running task.
func reportOfRun(run pointport.TaskRun) pointport.Report {
	return pointport.Report{Clock: 5, Running: []pointport.RunningTask{{TaskRun: run}}}
}

// TestLaterIncarnationDeletesNoUnreportedEnd checks that no poll lets a later incarnation
// delete ends that it has not reported. An instance restarts with the same addressee and
// completes runs whose starts were meant for the earlier incarnation. It numbers its ends from
// one, so an acknowledgement of the highest number of the earlier incarnation would delete
// their ends, and the tasks would run again.
//
// In a log the failure shows as an end that no poll lists and the reason "its instance does
// not list it".
func TestLaterIncarnationDeletesNoUnreportedEnd(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, restarted(0))
	w := workerOf(t, s, restarted(0))
	now := start.Add(time.Second)
	s.Report(w, now, now, pointport.Report{Clock: 2, Ended: []pointport.TaskEnd{{Number: 9, TaskRun: pointport.TaskRun{Task: "b.0.0.0", Run: 1}, Kind: pointport.EndDone}}})
	orders(s, now)
	s.Add(now, job("a", policy, step(1, 100, nil)))
	first := orders(s, now)[0]
	s.MarkSending(first)
	if got := w.NextPoll(); got.Acknowledged != 0 {
		t.Errorf("with a start in flight, the poll acknowledges ends up to %d, want none", got.Acknowledged)
	}
	s.OrderAnswered(first, now, 3, nil)
	if got := w.NextPoll(); got.Acknowledged != 0 {
		t.Errorf("with a start that any incarnation may have answered, the poll acknowledges ends up to %d, want none", got.Acknowledged)
	}
	s.Report(w, now, now, reportOfRun(first.TaskRun))
	poll := w.NextPoll()
	if poll != (schedule.Poll{Acknowledged: 9}) || !w.AckInFlight(now) {
		t.Errorf("once the run is listed, the poll is %+v and starts are held back: %v, want an acknowledgement of 9 that does not wait, and starts held back", poll, w.AckInFlight(now))
	}
	if again := w.NextPoll(); again.Acknowledged != 0 || !again.MayWait {
		t.Errorf("beside that poll, the next one is %+v, want one that waits and acknowledges nothing", again)
	}
	if !w.PollDone(poll, now, true) || w.AckInFlight(now) {
		t.Error("once the acknowledging poll is answered, starts are still held back, or no poll is due at once")
	}
	if after := w.NextPoll(); after != (schedule.Poll{MayWait: true}) {
		t.Errorf("after it, the poll is %+v, want one that waits for an end and acknowledges nothing", after)
	}
}

// TestPollOfIncarnationWithItsOwnAddressee checks that each poll acknowledges all ends that are
// stored, and waits for the next one, where no two incarnations share an addressee.
func TestPollOfIncarnationWithItsOwnAddressee(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0))
	w := s.Workers()[0]
	s.Report(w, start, start, pointport.Report{Clock: 2, Ended: []pointport.TaskEnd{{Number: 9, TaskRun: pointport.TaskRun{Task: "b.0.0.0", Run: 1}, Kind: pointport.EndDone}}})
	s.Add(start, job("a", policy, step(1, 100, nil)))
	s.MarkSending(orders(s, start)[0])
	if got := w.NextPoll(); got != (schedule.Poll{Acknowledged: 9, MayWait: true}) || w.AckInFlight(start) {
		t.Errorf("the poll is %+v and starts are held back: %v, want an acknowledgement of 9 that waits, and no start held back", got, w.AckInFlight(start))
	}
}

// TestRunOnLaterIncarnationGoesOn checks that a task whose incarnation has ended waits for
// the report of the later incarnation, which may have received its start, and goes on there if
// it is listed.
func TestRunOnLaterIncarnationGoesOn(t *testing.T) {
	for _, answered := range []bool{true, false} {
		s, first, _ := schedulerWithStart(t)
		if answered {
			s.OrderAnswered(first, start, 3, nil)
		}
		now := start.Add(time.Second)
		s.PollFailed(first.Worker, now, replacedBy(restarted(0), restarted(1)))
		if !first.Worker.Ended() {
			t.Fatal("the earlier incarnation does not count as ended")
		}
		if got := startsByIncarnation(orders(s, now)); len(got) != 0 {
			t.Fatalf("starts %v before the later incarnation was polled", got)
		}
		if !slices.ContainsFunc(s.TakePolls(), func(w *schedule.Worker) bool { return w.Incarnation().ID() == restarted(1).ID() }) {
			t.Error("the later incarnation, which has not registered yet, is not polled")
		}
		later := workerOf(t, s, restarted(1))
		now = now.Add(10 * time.Millisecond)
		s.Report(later, now, now, reportOfRun(first.TaskRun))
		s.SetIncarnations(now, []pointport.Incarnation{restarted(1)})
		now = now.Add(time.Second)
		s.Report(later, now, now, pointport.Report{Clock: 6, Ended: []pointport.TaskEnd{{Number: 1, TaskRun: first.TaskRun, Kind: pointport.EndDone}}})
		orders(s, now)
		if status, _ := s.Status("a"); status != workload.Completed {
			t.Errorf("start answered: %v: the job is %s, want completed by the run on the later incarnation", answered, status)
		}
	}
}

// TestEndListedByLaterIncarnationCounts checks that the end of a run counts if the later
// incarnation has received its start and completed it before it is polled for the first time.
func TestEndListedByLaterIncarnationCounts(t *testing.T) {
	s, first, _ := schedulerWithStart(t)
	s.OrderAnswered(first, start, 3, nil)
	now := start.Add(2 * time.Second)
	s.SetIncarnations(now, []pointport.Incarnation{restarted(1)})
	s.Report(workerOf(t, s, restarted(1)), now, now, pointport.Report{Clock: 6, Ended: []pointport.TaskEnd{{Number: 1, TaskRun: first.TaskRun, Kind: pointport.EndDone}}})
	if got := startsByIncarnation(orders(s, now)); len(got) != 0 {
		t.Errorf("starts %v of a task that is done, want none", got)
	}
	if status, _ := s.Status("a"); status != workload.Completed {
		t.Errorf("the job is %s, want completed", status)
	}
}

// TestRunOnNoIncarnationRestartsOnceRuledOut checks when a task starts again whose run
// the later incarnation does not list. If its start was answered, the run was lost with the
// earlier incarnation. If not, the start may still reach the later incarnation, and is ruled
// out there first.
func TestRunOnNoIncarnationRestartsOnceRuledOut(t *testing.T) {
	for _, answered := range []bool{true, false} {
		s, first, _ := schedulerWithStart(t)
		if answered {
			s.OrderAnswered(first, start, 3, nil)
		} else {
			s.OrderAnswered(first, start.Add(400*time.Millisecond), 0, silence)
		}
		now := start.Add(time.Second)
		s.SetIncarnations(now, []pointport.Incarnation{restarted(1)})
		later := workerOf(t, s, restarted(1))
		s.Report(later, now, now, pointport.Report{Clock: 5})
		all := orders(s, now)
		if !answered {
			stops := ordersFor(all, schedule.OrderStop, first.TaskRun)
			if len(startsByIncarnation(all)) != 0 || len(stops) != 1 || stops[0].Worker != later {
				t.Fatalf("orders %+v, want only a stop to the later incarnation", all)
			}
			s.OrderAnswered(stops[0], now.Add(time.Millisecond), 0, nil)
			now = now.Add(10 * time.Millisecond)
			s.Report(later, now, now, pointport.Report{Clock: 6})
		}
		all = orders(s, now.Add(crashAvoidance))
		again := startsByIncarnation(all)
		if again[restarted(1).ID()] != 1 || all[len(all)-1].TaskRun.Run != 2 {
			t.Errorf("start answered: %v: starts %v, want the task once more as run 2", answered, again)
		}
	}
}

// TestRestartInPlaceCountsAsACrashOnce checks that the crash of an incarnation counts once
// against a task that no poll has listed there, after the later incarnation has reported
// without its run, whether or not its start was answered.
func TestRestartInPlaceCountsAsACrashOnce(t *testing.T) {
	for _, answered := range []bool{true, false} {
		s, first, j := schedulerWithStart(t)
		if answered {
			s.OrderAnswered(first, start, 3, nil)
		} else {
			s.OrderAnswered(first, start.Add(400*time.Millisecond), 0, silence)
		}
		now := start.Add(time.Second)
		s.PollFailed(first.Worker, now, replacedBy(restarted(0), restarted(1)))
		if got := j.Task(workload.TaskRef{}).Crashes; got != 0 {
			t.Errorf("start answered: %v: %d crashes before it is known whether the run is on the later incarnation", answered, got)
		}
		later := workerOf(t, s, restarted(1))
		for range 3 {
			now = now.Add(10 * time.Millisecond)
			s.Report(later, now, now, pointport.Report{Clock: 5})
			for _, stop := range ordersFor(orders(s, now), schedule.OrderStop, first.TaskRun) {
				s.OrderAnswered(stop, now.Add(time.Millisecond), 0, nil)
			}
		}
		if got := j.Task(workload.TaskRef{}).Crashes; got != 1 {
			t.Errorf("start answered: %v: %d crashes, want 1", answered, got)
		}
	}
}

// TestSuspectedTaskStaysAloneOnLaterIncarnation checks that a task that is kept alone because
// of earlier crashes is also kept alone on the later incarnation.
func TestSuspectedTaskStaysAloneOnLaterIncarnation(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, restarted(0))
	s.Add(start, crashedJob("a", 2, step(1, 100, nil)))
	first := orders(s, start)[0]
	s.MarkSending(first)
	s.OrderAnswered(first, start, 3, nil)
	now := start.Add(10 * time.Millisecond)
	s.SetIncarnations(now, []pointport.Incarnation{restarted(1)})
	s.PollFailed(first.Worker, now, replacedBy(restarted(0), restarted(1)))
	s.Report(workerOf(t, s, restarted(1)), now, now, reportOfRun(first.TaskRun))
	s.Add(now, job("b", policy, step(1, 100, nil)))
	if got := startsByIncarnation(orders(s, now)); len(got) != 0 {
		t.Errorf("starts %v beside a task that is kept alone, want none", got)
	}
}

// TestRunOnLaterIncarnationCountsNoCrash checks that no crash counts against a task whose run
// goes on on the later incarnation.
func TestRunOnLaterIncarnationCountsNoCrash(t *testing.T) {
	s, first, j := schedulerWithStart(t)
	s.OrderAnswered(first, start, 3, nil)
	now := start.Add(time.Second)
	s.PollFailed(first.Worker, now, replacedBy(restarted(0), restarted(1)))
	now = now.Add(10 * time.Millisecond)
	s.Report(workerOf(t, s, restarted(1)), now, now, reportOfRun(first.TaskRun))
	if got := j.Task(workload.TaskRef{}).Crashes; got != 0 {
		t.Errorf("%d crashes of a run that goes on, want 0", got)
	}
}

// TestClockInAnswerToStartIsIgnored checks that the clock in the answer to a start is
// ignored, because the answer may come from a later incarnation. Taken for the clock of the
// earlier one, it makes the execution lease expire at once or far too late.
func TestClockInAnswerToStartIsIgnored(t *testing.T) {
	for _, clock := range []pointport.InstanceTime{0, pointport.InstanceTime(time.Hour)} {
		s, first, _ := schedulerWithStart(t)
		now := start.Add(time.Second)
		before := first.Worker.ExtendLease(now, settings.Lease)
		s.OrderAnswered(first, now, clock, nil)
		if got := first.Worker.ExtendLease(now, settings.Lease); got != before {
			t.Errorf("after an answer whose clock shows %v, the execution lease is extended to %v, want %v", clock, got, before)
		}
	}
}

// TestStartInFlightIsRuledOutOnEachLaterIncarnation checks that a start in flight that is no
// longer wanted is ruled out on each later incarnation, since a new incarnation knows nothing
// of earlier stops.
func TestStartInFlightIsRuledOutOnEachLaterIncarnation(t *testing.T) {
	s, first, _ := schedulerWithStart(t)
	s.OrderAnswered(first, start.Add(400*time.Millisecond), 0, silence)
	now := start.Add(500 * time.Millisecond)
	s.Cancel(now, "a")
	stop := ordersFor(orders(s, now), schedule.OrderStop, first.TaskRun)[0]
	s.OrderAnswered(stop, now, 0, nil)
	now = now.Add(time.Millisecond)
	s.Report(first.Worker, now, now, pointport.Report{Clock: 4})
	s.Add(now, job("b", policy, step(1, 100, nil)))
	for n := 1; n <= 2; n++ {
		now = now.Add(time.Second)
		s.SetIncarnations(now, []pointport.Incarnation{restarted(n)})
		later := workerOf(t, s, restarted(n))
		s.Report(later, now, now, pointport.Report{Clock: 1})
		all := orders(s, now)
		again := ordersFor(all, schedule.OrderStop, first.TaskRun)
		if len(again) != 1 || again[0].Worker != later || startsByIncarnation(all)[restarted(n).ID()] != 0 || later.ExtendLease(now, settings.Lease) != 0 {
			t.Fatalf("incarnation %d: orders %+v, execution lease extended to %v, want the start ruled out before anything else", n, all, later.ExtendLease(now, settings.Lease))
		}
		s.OrderAnswered(again[0], now, 0, nil)
	}
	if got := startsByIncarnation(orders(s, now)); got[restarted(2).ID()] != 1 {
		t.Errorf("starts %v once the start is ruled out, want one", got)
	}
}

// TestNewOwnerPollsTheLaterIncarnation checks that a new owner polls the later incarnation
// before it restarts a task. The store names the incarnation that the task was placed on, or
// only its addressee, as earlier versions stored it. When the later incarnation answers, it
// has seen the fencing token of the new owner, so no further start of the old owner can reach
// it.
func TestNewOwnerPollsTheLaterIncarnation(t *testing.T) {
	for name, on := range map[string]pointport.IncarnationID{"the earlier incarnation": restarted(0).ID(), "an addressee": "i"} {
		t.Run(name, func(t *testing.T) {
			for _, has := range []bool{true, false} {
				s := newTestScheduler()
				j := job("a", policy, step(1, 100, nil))
				j.BeginDue(start)
				j.Place(workload.TaskRef{}, on, 1)
				s.Add(start, j)
				now := start.Add(time.Second)
				s.SetIncarnations(now, []pointport.Incarnation{restarted(1)})
				if got := startsByIncarnation(orders(s, now)); len(got) != 0 {
					t.Fatalf("starts %v before the later incarnation was polled", got)
				}
				run, report := pointport.TaskRun{Task: "a.0.0.0", Run: 1}, pointport.Report{Clock: 5}
				if has {
					report = reportOfRun(run)
				}
				s.Report(workerOf(t, s, restarted(1)), now, now, report)
				all := orders(s, now)
				again := startsByIncarnation(append(all, orders(s, now.Add(crashAvoidance))...))[restarted(1).ID()]
				if has && again != 0 || !has && again != 1 {
					t.Errorf("the later incarnation has the run: %v; the task is started %d times more", has, again)
				}
				if stops := ordersFor(all, schedule.OrderStop, run); len(stops) != 0 {
					t.Errorf("stops %v, want none", stops)
				}
			}
		})
	}
}

// TestStaleRegistrationOfEndedIncarnationIsIgnored checks that a stale registration of the
// earlier incarnation, which has ended, does not disturb the run on the later one.
func TestStaleRegistrationOfEndedIncarnationIsIgnored(t *testing.T) {
	s, first, _ := schedulerWithStart(t)
	s.OrderAnswered(first, start, 3, nil)
	now := start.Add(time.Second)
	s.SetIncarnations(now, []pointport.Incarnation{restarted(1)})
	later := workerOf(t, s, restarted(1))
	s.Report(later, now, now, reportOfRun(first.TaskRun))
	now = now.Add(10 * time.Millisecond)
	s.SetIncarnations(now, []pointport.Incarnation{restarted(0)})
	for _, w := range s.Workers() {
		if w != later {
			s.PollFailed(w, now, replacedBy(restarted(0), restarted(1)))
		}
	}
	now = now.Add(10 * time.Millisecond)
	s.Report(later, now, now, reportOfRun(first.TaskRun))
	if all := orders(s, now); len(all) != 0 || later.Ended() {
		t.Errorf("orders %+v and the later incarnation ended: %v, want neither", all, later.Ended())
	}
}

// TestLateAnswerOfEarlierIncarnation checks how a late answer to a poll of the earlier
// incarnation is handled once the later one is known: what it lists as done is done, and what
// it lists as running was lost with it.
func TestLateAnswerOfEarlierIncarnation(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, restarted(0))
	s.Add(start, job("a", policy, step(2, 100, nil)))
	all := orders(s, start)
	for _, o := range all {
		s.MarkSending(o)
		s.OrderAnswered(o, start, 3, nil)
	}
	former := all[0].Worker
	now := start.Add(time.Second)
	s.SetIncarnations(now, []pointport.Incarnation{restarted(1)})
	later := workerOf(t, s, restarted(1))
	sent := now
	now = now.Add(10 * time.Millisecond)
	s.Report(later, sent, now, pointport.Report{Clock: 1})
	s.Report(former, start, now, pointport.Report{Clock: 7,
		Running: []pointport.RunningTask{{TaskRun: all[1].TaskRun}},
		Ended:   []pointport.TaskEnd{{Number: 1, TaskRun: all[0].TaskRun, Kind: pointport.EndDone}},
	})
	again := orders(s, now.Add(crashAvoidance))
	if len(again) != 1 || again[0].TaskRun.Task != all[1].TaskRun.Task || again[0].TaskRun.Run != 2 {
		t.Errorf("orders %+v, want only the task that was still running on the earlier incarnation", again)
	}
}

// TestSilentInstanceWithSharedAddresseeIsNotExtended checks that the execution lease of
// a silent instance is not extended where incarnations share an addressee. The order may reach
// a later incarnation, for whose clock the time means something else.
func TestSilentInstanceWithSharedAddresseeIsNotExtended(t *testing.T) {
	s, first, _ := schedulerWithStart(t)
	now := start.Add(time.Second)
	s.PollFailed(first.Worker, now, silence)
	if got := first.Worker.ExtendLease(now, settings.Lease); got != 0 {
		t.Errorf("the execution lease is extended to %v, want no extension", got)
	}
}

// delayUntilRestart continues with an instance that does not answer, some registered
// incarnations and another, sound instance. It returns how long after start the task starts on
// the sound one, zero if it does not within a minute.
func delayUntilRestart(s *schedule.Scheduler, from time.Time, silent []*schedule.Worker, registered ...pointport.Incarnation) time.Duration {
	other := incarnation(5)
	for now := from; now.Sub(start) < time.Minute; now = now.Add(250 * time.Millisecond) {
		for _, w := range silent {
			s.PollFailed(w, now, silence)
		}
		s.SetRegistryCoverage(schedule.RegistryCoverage{Since: start, Until: now})
		s.SetIncarnations(now, append([]pointport.Incarnation{other}, registered...))
		for _, w := range s.Workers() {
			if w.Incarnation().ID() == other.ID() {
				s.Report(w, now, now, pointport.Report{Clock: clockAt(now)})
			}
		}
		if startsByIncarnation(orders(s, now))[other.ID()] > 0 {
			return now.Sub(start)
		}
	}
	return 0
}

// asService makes the tasks of a step serving tasks, which may start again once their
// execution lease has expired.
func asService(s *workload.Step) { s.Service = true }

// TestTaskWaitsWhileALaterIncarnationMayRunIt checks that a task waits until a later
// incarnation that received its start cannot run it any longer. Such an incarnation may have
// got the start late, and may run it for the maximum time that an instance grants, because the
// requested time means something else on its clock.
func TestTaskWaitsWhileALaterIncarnationMayRunIt(t *testing.T) {
	const least = 20 * time.Second // orders may be delayed by 10 s, and instances grant up to 10 s
	t.Run("later incarnation is unknown", func(t *testing.T) {
		s, first, _ := schedulerWithStartOn(t, restarted(0), asService)
		s.OrderAnswered(first, start, 3, nil)
		if got := delayUntilRestart(s, start.Add(time.Second), []*schedule.Worker{first.Worker}); got < least {
			t.Errorf("the task restarts after %v, want at least %v", got, least)
		}
	})
	t.Run("later incarnation has listed the run", func(t *testing.T) {
		s, first, _ := schedulerWithStartOn(t, restarted(0), asService)
		s.OrderAnswered(first, start, 3, nil)
		now := start.Add(100 * time.Millisecond)
		s.PollFailed(first.Worker, now, replacedBy(restarted(0), restarted(1)))
		later := workerOf(t, s, restarted(1))
		s.Report(later, now, now, reportOfRun(first.TaskRun))
		later.ExtendLease(now, settings.Lease)
		if got := delayUntilRestart(s, now.Add(time.Second), []*schedule.Worker{later}); got < least {
			t.Errorf("the task restarts after %v, want at least %v: an order to the earlier incarnation may have extended its execution lease", got, least)
		}
	})
	t.Run("no later incarnation can have the addressee", func(t *testing.T) {
		s, first, _ := schedulerWithStartOn(t, incarnation(0), asService)
		s.OrderAnswered(first, start, 3, nil)
		if got := delayUntilRestart(s, start.Add(time.Second), []*schedule.Worker{first.Worker}); got == 0 || got > 6*time.Second {
			t.Errorf("the task restarts after %v, want a little more than the lease", got)
		}
	})
}

// TestTaskThatMayBeDoneOnRegisteredLaterIncarnationWaits checks that a task does not restart
// while a later incarnation is registered that does not answer. It may have received the start
// and completed the task.
func TestTaskThatMayBeDoneOnRegisteredLaterIncarnationWaits(t *testing.T) {
	s, first, _ := schedulerWithStart(t)
	s.OrderAnswered(first, start, 3, nil)
	now := start.Add(time.Second)
	s.SetIncarnations(now, []pointport.Incarnation{restarted(1)})
	silent := []*schedule.Worker{first.Worker, workerOf(t, s, restarted(1))}
	if got := delayUntilRestart(s, now, silent, restarted(1)); got != 0 {
		t.Errorf("the task restarts after %v, want no restart", got)
	}
}

// TestRepeatedStartIsRuledOutOnLaterIncarnation checks that a repeated start is ruled out on the
// later incarnation before its task restarts. The run that the earlier incarnation listed was
// lost with it, but the second order of the start got no answer and may still reach the later
// one.
func TestRepeatedStartIsRuledOutOnLaterIncarnation(t *testing.T) {
	s, first, _ := schedulerWithStart(t)
	s.OrderAnswered(first, start.Add(400*time.Millisecond), 0, silence)
	now := start.Add(500 * time.Millisecond)
	s.Report(first.Worker, now, now, reportOfRun(first.TaskRun))
	now = now.Add(time.Second)
	s.SetIncarnations(now, []pointport.Incarnation{restarted(1)})
	later := workerOf(t, s, restarted(1))
	s.Report(later, now, now, pointport.Report{Clock: 1})
	all := orders(s, now)
	if stops := ordersFor(all, schedule.OrderStop, first.TaskRun); len(startsByIncarnation(orders(s, now.Add(crashAvoidance)))) != 0 || len(stops) != 1 || stops[0].Worker != later {
		t.Errorf("orders %+v, want only a stop to the later incarnation", all)
	}
}

// TestEndOfTwoIncarnationsCountsAsOneCrash checks that one crash counts when the later
// incarnation also ends before it is known whether it had the run.
func TestEndOfTwoIncarnationsCountsAsOneCrash(t *testing.T) {
	s, first, j := schedulerWithStart(t)
	s.OrderAnswered(first, start, 3, nil)
	now := start.Add(time.Second)
	s.PollFailed(first.Worker, now, replacedBy(restarted(0), restarted(1)))
	s.PollFailed(workerOf(t, s, restarted(1)), now, &pointport.GoneError{Incarnation: restarted(1).ID()})
	if got := j.Task(workload.TaskRef{}).Crashes; got != 1 {
		t.Errorf("%d crashes, want 1", got)
	}
}

// TestListDoesNotEndIncarnationWithStartInFlight checks that the list of machines does not
// end an incarnation while a start to it is in flight. An unknown later incarnation may share
// its addressee and have received the start.
func TestListDoesNotEndIncarnationWithStartInFlight(t *testing.T) {
	s, first, _ := schedulerWithStart(t)
	s.OrderAnswered(first, start, 3, nil)
	now := start.Add(time.Second)
	s.PollFailed(first.Worker, now, silence)
	s.EndIncarnation(now, restarted(0).ID())
	if first.Worker.Ended() {
		t.Error("the incarnation counts as ended although it has not listed its run")
	}
	s.Report(first.Worker, now, now, reportOfRun(first.TaskRun))
	s.EndIncarnation(now, restarted(0).ID())
	if !first.Worker.Ended() {
		t.Error("the incarnation does not count as ended although it has listed all its runs")
	}
}
