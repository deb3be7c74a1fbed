package schedule_test

import (
	"slices"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file tests what becomes of orders to an instance that comes back under its addressee.

// life returns the registration of the nth life of an instance, all of which have one addressee.
// The clock by which they tell when they began is set back each time.
func life(n int) pointport.Incarnation {
	id := pointport.NewIncarnationID("i", time.UnixMilli(int64(1000-n)))
	return pointport.NewIncarnation(id, "p", "10.0.0.1:1", pointport.WithInstance("m"), pointport.WithCapacity(size), pointport.WithRack("r"))
}

// crashRest is for how long a task waits for another instance than the one that has crashed under it.
const crashRest = 2 * time.Second

// replacedBy is the error that a life has answered in place of another one.
func replacedBy(former, by pointport.Incarnation) error {
	return &pointport.GoneError{Incarnation: former.ID(), By: by.ID()}
}

// workerOf returns the worker for an incarnation.
func workerOf(t *testing.T, b *schedule.Scheduler, inc pointport.Incarnation) *schedule.Worker {
	t.Helper()
	for _, w := range b.Workers() {
		if w.Incarnation().ID() == inc.ID() {
			return w
		}
	}
	t.Fatalf("no worker for %s", inc.ID())
	return nil
}

// started returns a book in which a task was ordered to the first life of an instance, at start.
func started(t *testing.T) (*schedule.Scheduler, schedule.Order, *workload.Job) {
	t.Helper()
	return startedOn(t, life(0), nil)
}

// startedOn returns a book in which a task of a step was ordered to an incarnation, at start.
func startedOn(t *testing.T, inc pointport.Incarnation, change func(*workload.Step)) (*schedule.Scheduler, schedule.Order, *workload.Job) {
	t.Helper()
	b := newBook()
	hear(b, start, inc)
	j := job("a", policy, step(1, 100, change))
	b.Add(start, j)
	all := orders(b, start)
	if len(all) != 1 || all[0].Kind != schedule.OrderStart {
		t.Fatalf("orders %v, want a start", all)
	}
	b.MarkSending(all[0])
	all[0].Worker.ExtendLease(start, settings.Lease)
	return b, all[0], j
}

// listing is a report of a life that has a run.
func listing(run pointport.TaskRun) pointport.Report {
	return pointport.Report{Clock: 5, Running: []pointport.RunningTask{{TaskRun: run}}}
}

// What users saw: two tasks ran again after a run of each was done. The order of events: an
// instance crashed and came back under the addressee that it had; it took starts that were meant for
// the life before, and they were done there; the next look was sent with the highest number of an end
// that the life before had had. The cause: the new life numbers its ends from one, and forgot at
// once, unheard, what the number covered. The evidence: no look ever listed those ends, and the owner
// noted "its instance does not list it".
func TestNothingIsForgottenUnheardByALaterLife(t *testing.T) {
	b := newBook()
	hear(b, start, life(0))
	w := workerOf(t, b, life(0))
	now := start.Add(time.Second)
	b.Report(w, now, now, pointport.Report{Clock: 2, Ended: []pointport.TaskEnd{{Number: 9, TaskRun: pointport.TaskRun{Task: "b.0.0.0", Run: 1}, Kind: pointport.EndDone}}})
	orders(b, now)
	b.Add(now, job("a", policy, step(1, 100, nil)))
	first := orders(b, now)[0]
	b.MarkSending(first)
	if got := w.NextPoll(); got.Acknowledged != 0 {
		t.Errorf("with a start under way, whoever takes the look may forget ends up to %d", got.Acknowledged)
	}
	b.OrderAnswered(first, now, 3, nil)
	if got := w.NextPoll(); got.Acknowledged != 0 {
		t.Errorf("with a start that was answered by whoever was there, whoever takes the look may forget ends up to %d", got.Acknowledged)
	}
	b.Report(w, now, now, listing(first.TaskRun))
	look := w.NextPoll()
	if look != (schedule.Poll{Acknowledged: 9}) || !w.AckInFlight(now) {
		t.Errorf("once it has listed the run, the look is %+v and starts are held back: %v, want an acknowledgement of 9 that waits for nothing", look, w.AckInFlight(now))
	}
	if again := w.NextPoll(); again.Acknowledged != 0 || !again.MayWait {
		t.Errorf("beside it, the look is %+v", again)
	}
	if !w.PollDone(look, now, true) || w.AckInFlight(now) {
		t.Error("once it is answered, starts are held back")
	}
	if after := w.NextPoll(); after != (schedule.Poll{MayWait: true}) {
		t.Errorf("after it, the look is %+v, want one that waits for an end and acknowledges nothing", after)
	}
}

// Where no two lives have one addressee, each look acknowledges all that is stored and waits.
func TestLookAtALifeWithAnAddresseeOfItsOwn(t *testing.T) {
	b := newBook()
	hear(b, start, incarnation(0))
	w := b.Workers()[0]
	b.Report(w, start, start, pointport.Report{Clock: 2, Ended: []pointport.TaskEnd{{Number: 9, TaskRun: pointport.TaskRun{Task: "b.0.0.0", Run: 1}, Kind: pointport.EndDone}}})
	b.Add(start, job("a", policy, step(1, 100, nil)))
	b.MarkSending(orders(b, start)[0])
	if got := w.NextPoll(); got != (schedule.Poll{Acknowledged: 9, MayWait: true}) || w.AckInFlight(start) {
		t.Errorf("the look is %+v, starts held back: %v", got, w.AckInFlight(start))
	}
}

// A start is answered, the life that it was meant for is over, and a later one has taken it: the task
// waits for what that one says.
func TestRunThatALaterLifeHasGoesOnThere(t *testing.T) {
	for _, answered := range []bool{true, false} {
		b, first, _ := started(t)
		if answered {
			b.OrderAnswered(first, start, 3, nil)
		}
		now := start.Add(time.Second)
		b.PollFailed(first.Worker, now, replacedBy(life(0), life(1)))
		if !first.Worker.Ended() {
			t.Fatal("the life before does not count as over")
		}
		if got := placed(orders(b, now)); len(got) != 0 {
			t.Fatalf("starts %v before the later life was asked", got)
		}
		if !slices.ContainsFunc(b.TakePolls(), func(w *schedule.Worker) bool { return w.Incarnation().ID() == life(1).ID() }) {
			t.Error("the later life is not asked, which has not registered yet")
		}
		later := workerOf(t, b, life(1))
		now = now.Add(10 * time.Millisecond)
		b.Report(later, now, now, listing(first.TaskRun))
		b.SetIncarnations(now, []pointport.Incarnation{life(1)})
		now = now.Add(time.Second)
		b.Report(later, now, now, pointport.Report{Clock: 6, Ended: []pointport.TaskEnd{{Number: 1, TaskRun: first.TaskRun, Kind: pointport.EndDone}}})
		orders(b, now)
		if status, _ := b.Status("a"); status != workload.Completed {
			t.Errorf("answered %v: the job is %s, want completed by the run on the later life", answered, status)
		}
	}
}

// The later life has ended the run by the time it is asked.
func TestEndThatALaterLifeListsCounts(t *testing.T) {
	b, first, _ := started(t)
	b.OrderAnswered(first, start, 3, nil)
	now := start.Add(2 * time.Second)
	b.SetIncarnations(now, []pointport.Incarnation{life(1)})
	b.Report(workerOf(t, b, life(1)), now, now, pointport.Report{Clock: 6, Ended: []pointport.TaskEnd{{Number: 1, TaskRun: first.TaskRun, Kind: pointport.EndDone}}})
	if got := placed(orders(b, now)); len(got) != 0 {
		t.Errorf("starts %v of a task that is done", got)
	}
	if status, _ := b.Status("a"); status != workload.Completed {
		t.Errorf("the job is %s, want completed", status)
	}
}

// The later life does not have the run. A start that was answered died with the life before; one
// that was not may still reach the later life, and is ruled out there before the task starts again.
func TestRunThatNoLifeHasStartsAgainOnceItIsRuledOut(t *testing.T) {
	for _, answered := range []bool{true, false} {
		b, first, _ := started(t)
		if answered {
			b.OrderAnswered(first, start, 3, nil)
		} else {
			b.OrderAnswered(first, start.Add(400*time.Millisecond), 0, silence)
		}
		now := start.Add(time.Second)
		b.SetIncarnations(now, []pointport.Incarnation{life(1)})
		later := workerOf(t, b, life(1))
		b.Report(later, now, now, pointport.Report{Clock: 5})
		all := orders(b, now)
		if !answered {
			stops := kindOf(all, schedule.OrderStop, first.TaskRun)
			if len(placed(all)) != 0 || len(stops) != 1 || stops[0].Worker != later {
				t.Fatalf("orders %+v, want a stop by the later life alone", all)
			}
			b.OrderAnswered(stops[0], now.Add(time.Millisecond), 0, nil)
			now = now.Add(10 * time.Millisecond)
			b.Report(later, now, now, pointport.Report{Clock: 6})
		}
		all = orders(b, now.Add(crashRest))
		again := placed(all)
		if again[life(1).ID()] != 1 || all[len(all)-1].TaskRun.Run != 2 {
			t.Errorf("answered %v: starts %v, want the task once more as run 2", answered, again)
		}
	}
}

// A life that ends with its start unanswered, and one that crashes by the task before any look could
// list it: the crash counts, once, when the later life does not have the run.
func TestRestartInPlaceCountsAsACrashOnce(t *testing.T) {
	for _, answered := range []bool{true, false} {
		b, first, j := started(t)
		if answered {
			b.OrderAnswered(first, start, 3, nil)
		} else {
			b.OrderAnswered(first, start.Add(400*time.Millisecond), 0, silence)
		}
		now := start.Add(time.Second)
		b.PollFailed(first.Worker, now, replacedBy(life(0), life(1)))
		if got := j.Task(workload.TaskRef{}).Crashes; got != 0 {
			t.Errorf("answered %v: %d crashes before it is known whether the run is on the later life", answered, got)
		}
		later := workerOf(t, b, life(1))
		for range 3 {
			now = now.Add(10 * time.Millisecond)
			b.Report(later, now, now, pointport.Report{Clock: 5})
			for _, stop := range kindOf(orders(b, now), schedule.OrderStop, first.TaskRun) {
				b.OrderAnswered(stop, now.Add(time.Millisecond), 0, nil)
			}
		}
		if got := j.Task(workload.TaskRef{}).Crashes; got != 1 {
			t.Errorf("answered %v: %d crashes, want 1", answered, got)
		}
	}
}

// A task under which instances have crashed is kept apart on the later life as it was before.
func TestRunIsKeptApartOnALaterLife(t *testing.T) {
	b := newBook()
	hear(b, start, life(0))
	b.Add(start, crashedJob("a", 2, step(1, 100, nil)))
	first := orders(b, start)[0]
	b.MarkSending(first)
	b.OrderAnswered(first, start, 3, nil)
	now := start.Add(10 * time.Millisecond)
	b.SetIncarnations(now, []pointport.Incarnation{life(1)})
	b.PollFailed(first.Worker, now, replacedBy(life(0), life(1)))
	b.Report(workerOf(t, b, life(1)), now, now, listing(first.TaskRun))
	b.Add(now, job("b", policy, step(1, 100, nil)))
	if got := placed(orders(b, now)); len(got) != 0 {
		t.Errorf("starts %v beside a task that is kept apart", got)
	}
}

// The run is on the later life, so nothing died that the crash could count against.
func TestRunOnALaterLifeDidNotCrash(t *testing.T) {
	b, first, j := started(t)
	b.OrderAnswered(first, start, 3, nil)
	now := start.Add(time.Second)
	b.PollFailed(first.Worker, now, replacedBy(life(0), life(1)))
	now = now.Add(10 * time.Millisecond)
	b.Report(workerOf(t, b, life(1)), now, now, listing(first.TaskRun))
	if got := j.Task(workload.TaskRef{}).Crashes; got != 0 {
		t.Errorf("%d crashes of a run that goes on", got)
	}
}

// The clock of whoever answers a start may be that of a later life. Taken for the one of the life that
// was meant, the time of what runs there was over at once, or far ahead.
func TestClockOfWhoeverAnswersIsNotTaken(t *testing.T) {
	for _, clock := range []pointport.InstanceClock{0, pointport.InstanceClock(time.Hour)} {
		b, first, _ := started(t)
		now := start.Add(time.Second)
		before := first.Worker.ExtendLease(now, settings.Lease)
		b.OrderAnswered(first, now, clock, nil)
		if got := first.Worker.ExtendLease(now, settings.Lease); got != before {
			t.Errorf("after an answer whose clock shows %v, what runs is extended to %v, want %v", clock, got, before)
		}
	}
}

// A start that nothing wants any more may reach the next life, which has not ruled it out.
func TestStartUnderWayIsRuledOutByEachLaterLife(t *testing.T) {
	b, first, _ := started(t)
	b.OrderAnswered(first, start.Add(400*time.Millisecond), 0, silence)
	now := start.Add(500 * time.Millisecond)
	b.Cancel(now, "a")
	stop := kindOf(orders(b, now), schedule.OrderStop, first.TaskRun)[0]
	b.OrderAnswered(stop, now, 0, nil)
	now = now.Add(time.Millisecond)
	b.Report(first.Worker, now, now, pointport.Report{Clock: 4})
	b.Add(now, job("b", policy, step(1, 100, nil)))
	for n := 1; n <= 2; n++ {
		now = now.Add(time.Second)
		b.SetIncarnations(now, []pointport.Incarnation{life(n)})
		later := workerOf(t, b, life(n))
		b.Report(later, now, now, pointport.Report{Clock: 1})
		all := orders(b, now)
		again := kindOf(all, schedule.OrderStop, first.TaskRun)
		if len(again) != 1 || again[0].Worker != later || placed(all)[life(n).ID()] != 0 || later.ExtendLease(now, settings.Lease) != 0 {
			t.Fatalf("life %d: orders %+v, extended to %v, want the start ruled out before anything else", n, all, later.ExtendLease(now, settings.Lease))
		}
		b.OrderAnswered(again[0], now, 0, nil)
	}
	if got := placed(orders(b, now)); got[life(2).ID()] != 1 {
		t.Errorf("starts %v once the start is ruled out, want one", got)
	}
}

// A new owner finds in the store to which life a task was given, or only to which addressee, as
// earlier versions wrote it. What has become of it is told by the life that is there, which has seen
// its fence by then.
func TestNewOwnerAsksTheLaterLife(t *testing.T) {
	for name, on := range map[string]pointport.IncarnationID{"the life before": life(0).ID(), "an addressee": "i"} {
		t.Run(name, func(t *testing.T) {
			for _, has := range []bool{true, false} {
				b := newBook()
				j := job("a", policy, step(1, 100, nil))
				j.BeginDue(start)
				j.Place(workload.TaskRef{}, on, 1)
				b.Add(start, j)
				now := start.Add(time.Second)
				b.SetIncarnations(now, []pointport.Incarnation{life(1)})
				if got := placed(orders(b, now)); len(got) != 0 {
					t.Fatalf("starts %v before the later life was asked", got)
				}
				run, report := pointport.TaskRun{Task: "a.0.0.0", Run: 1}, pointport.Report{Clock: 5}
				if has {
					report = listing(run)
				}
				b.Report(workerOf(t, b, life(1)), now, now, report)
				all := orders(b, now)
				again := placed(append(all, orders(b, now.Add(crashRest))...))[life(1).ID()]
				if has && again != 0 || !has && again != 1 {
					t.Errorf("the later life has the run: %v; it starts %d times more", has, again)
				}
				if stops := kindOf(all, schedule.OrderStop, run); len(stops) != 0 {
					t.Errorf("stops %v", stops)
				}
			}
		})
	}
}

// Registrations that are behind show the life before again: it is over all the same, and what runs
// on the later one goes on.
func TestRegistrationOfALifeThatIsOverChangesNothing(t *testing.T) {
	b, first, _ := started(t)
	b.OrderAnswered(first, start, 3, nil)
	now := start.Add(time.Second)
	b.SetIncarnations(now, []pointport.Incarnation{life(1)})
	later := workerOf(t, b, life(1))
	b.Report(later, now, now, listing(first.TaskRun))
	now = now.Add(10 * time.Millisecond)
	b.SetIncarnations(now, []pointport.Incarnation{life(0)})
	for _, w := range b.Workers() {
		if w != later {
			b.PollFailed(w, now, replacedBy(life(0), life(1)))
		}
	}
	now = now.Add(10 * time.Millisecond)
	b.Report(later, now, now, listing(first.TaskRun))
	if all := orders(b, now); len(all) != 0 || later.Ended() {
		t.Errorf("orders %+v, the later life over: %v", all, later.Ended())
	}
}

// A look at the life before is answered late, after the later life is known: what it lists as done is
// done, and what it lists as running died with it.
func TestLateAnswerOfTheLifeBefore(t *testing.T) {
	b := newBook()
	hear(b, start, life(0))
	b.Add(start, job("a", policy, step(2, 100, nil)))
	all := orders(b, start)
	for _, o := range all {
		b.MarkSending(o)
		b.OrderAnswered(o, start, 3, nil)
	}
	former := all[0].Worker
	now := start.Add(time.Second)
	b.SetIncarnations(now, []pointport.Incarnation{life(1)})
	later := workerOf(t, b, life(1))
	sent := now
	now = now.Add(10 * time.Millisecond)
	b.Report(later, sent, now, pointport.Report{Clock: 1})
	b.Report(former, start, now, pointport.Report{Clock: 7,
		Running: []pointport.RunningTask{{TaskRun: all[1].TaskRun}},
		Ended:   []pointport.TaskEnd{{Number: 1, TaskRun: all[0].TaskRun, Kind: pointport.EndDone}},
	})
	again := orders(b, now.Add(crashRest))
	if len(again) != 1 || again[0].TaskRun.Task != all[1].TaskRun.Task || again[0].TaskRun.Run != 2 {
		t.Errorf("orders %+v, want the task that ran on the life before, and not the one that was done", again)
	}
}

// An instance that does not answer may be a later life that hears: it is not extended by a time on
// the clock of the life before.
func TestSilentInstanceIsNotExtendedByAClockThatMayBeAnothers(t *testing.T) {
	b, first, _ := started(t)
	now := start.Add(time.Second)
	b.PollFailed(first.Worker, now, silence)
	if got := first.Worker.ExtendLease(now, settings.Lease); got != 0 {
		t.Errorf("it is extended to %v, want nothing", got)
	}
}

// restartedAfter plays on with an instance that answers nobody, some registered and another one sound, and
// returns after how long since start the task starts on that one; zero if it does not within a minute.
func restartedAfter(b *schedule.Scheduler, from time.Time, silent []*schedule.Worker, registered ...pointport.Incarnation) time.Duration {
	other := incarnation(5)
	for now := from; now.Sub(start) < time.Minute; now = now.Add(250 * time.Millisecond) {
		for _, w := range silent {
			b.PollFailed(w, now, silence)
		}
		b.SetRegistryCoverage(schedule.RegistryCoverage{Since: start, Until: now})
		b.SetIncarnations(now, append([]pointport.Incarnation{other}, registered...))
		for _, w := range b.Workers() {
			if w.Incarnation().ID() == other.ID() {
				b.Report(w, now, now, pointport.Report{Clock: clockAt(now)})
			}
		}
		if placed(orders(b, now))[other.ID()] > 0 {
			return now.Sub(start)
		}
	}
	return 0
}

// serves has a step's tasks serve, which may start again once their time is over.
func serves(s *workload.Step) { s.Service = true }

// A life that has taken a start that was meant for another one may run it for as long as an instance
// grants, whatever the extension says to the clock of the one that was meant, and may have held it back.
func TestTaskWaitsForAsLongAsALaterLifeMayRunIt(t *testing.T) {
	const least = 20 * time.Second // 10 s that orders may be held back, 10 s that instances grant
	t.Run("that nobody knows", func(t *testing.T) {
		b, first, _ := startedOn(t, life(0), serves)
		b.OrderAnswered(first, start, 3, nil)
		if got := restartedAfter(b, start.Add(time.Second), []*schedule.Worker{first.Worker}); got < least {
			t.Errorf("it starts again after %v, want %v and more", got, least)
		}
	})
	t.Run("that has listed it", func(t *testing.T) {
		b, first, _ := startedOn(t, life(0), serves)
		b.OrderAnswered(first, start, 3, nil)
		now := start.Add(100 * time.Millisecond)
		b.PollFailed(first.Worker, now, replacedBy(life(0), life(1)))
		later := workerOf(t, b, life(1))
		b.Report(later, now, now, listing(first.TaskRun))
		later.ExtendLease(now, settings.Lease)
		if got := restartedAfter(b, now.Add(time.Second), []*schedule.Worker{later}); got < least {
			t.Errorf("it starts again after %v, want %v and more: an order to the life before may have extended it", got, least)
		}
	})
	t.Run("where no other life can take it", func(t *testing.T) {
		b, first, _ := startedOn(t, incarnation(0), serves)
		b.OrderAnswered(first, start, 3, nil)
		if got := restartedAfter(b, start.Add(time.Second), []*schedule.Worker{first.Worker}); got == 0 || got > 6*time.Second {
			t.Errorf("it starts again after %v, want a lease and some more", got)
		}
	})
}

// A later life is registered and answers nobody. It may have taken the start and be done with it, so the
// task waits for its word.
func TestTaskThatMayBeDoneOnARegisteredLaterLifeWaits(t *testing.T) {
	b, first, _ := started(t)
	b.OrderAnswered(first, start, 3, nil)
	now := start.Add(time.Second)
	b.SetIncarnations(now, []pointport.Incarnation{life(1)})
	silent := []*schedule.Worker{first.Worker, workerOf(t, b, life(1))}
	if got := restartedAfter(b, now, silent, life(1)); got != 0 {
		t.Errorf("it starts again after %v", got)
	}
}

// A run that the life before has listed died with it. A second order of its start got no answer, and may
// reach the later life: it is ruled out there before the task starts again.
func TestSecondOrderOfAStartMayReachTheLaterLife(t *testing.T) {
	b, first, _ := started(t)
	b.OrderAnswered(first, start.Add(400*time.Millisecond), 0, silence)
	now := start.Add(500 * time.Millisecond)
	b.Report(first.Worker, now, now, listing(first.TaskRun))
	now = now.Add(time.Second)
	b.SetIncarnations(now, []pointport.Incarnation{life(1)})
	later := workerOf(t, b, life(1))
	b.Report(later, now, now, pointport.Report{Clock: 1})
	all := orders(b, now)
	if stops := kindOf(all, schedule.OrderStop, first.TaskRun); len(placed(orders(b, now.Add(crashRest)))) != 0 || len(stops) != 1 || stops[0].Worker != later {
		t.Errorf("orders %+v, want a stop by the later life alone", all)
	}
}

// The later life ends as well before it is known whether the run was there: one crash counts.
func TestRunUnderWhichTwoLivesEndCountsOnce(t *testing.T) {
	b, first, j := started(t)
	b.OrderAnswered(first, start, 3, nil)
	now := start.Add(time.Second)
	b.PollFailed(first.Worker, now, replacedBy(life(0), life(1)))
	b.PollFailed(workerOf(t, b, life(1)), now, &pointport.GoneError{Incarnation: life(1).ID()})
	if got := j.Task(workload.TaskRef{}).Crashes; got != 1 {
		t.Errorf("%d crashes, want 1", got)
	}
}

// The list of machines shows a life to be over to which a start is under way. A life that nobody has
// heard of yet may have its addressee, and the start.
func TestListDoesNotEndALifeWhoseStartALaterOneMayHave(t *testing.T) {
	b, first, _ := started(t)
	b.OrderAnswered(first, start, 3, nil)
	now := start.Add(time.Second)
	b.PollFailed(first.Worker, now, silence)
	b.EndIncarnation(now, life(0).ID())
	if first.Worker.Ended() {
		t.Error("the life counts as over, and with it a run that it has never listed")
	}
	b.Report(first.Worker, now, now, listing(first.TaskRun))
	b.EndIncarnation(now, life(0).ID())
	if !first.Worker.Ended() {
		t.Error("the life does not count as over although it had listed all that it ran")
	}
}
