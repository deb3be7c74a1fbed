package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file tests where tasks go under which instances have crashed.

// crashedJob returns a job of one step whose tasks have seen so many crashes.
func crashedJob(id string, crashes int, s workload.Step) *workload.Job {
	j := job(id, policy, s)
	j.BeginDue(start)
	for i := range s.Count {
		for range crashes {
			j.Crash(workload.TaskRef{Index: i}, workload.CrashShared)
		}
	}
	return j
}

// answer carries out starts: each is answered and reported as running from now on.
func answer(b *schedule.Scheduler, all []schedule.Order, now time.Time) {
	for _, o := range all {
		if o.Kind == schedule.OrderStart {
			b.MarkSending(o)
			b.OrderAnswered(o, now, 1, nil)
		}
	}
}

// report has a worker say at now that it runs what was started there, at some progress.
func report(b *schedule.Scheduler, all []schedule.Order, w *schedule.Worker, now time.Time, progress int) {
	r := pointport.Report{Clock: 1}
	for _, o := range all {
		if o.Kind == schedule.OrderStart && o.Worker == w {
			r.Running = append(r.Running, pointport.RunningTask{TaskRun: o.TaskRun, Progress: progress})
		}
	}
	b.Report(w, now, now, r)
}

// Tasks that were on one instance when it crashed go to instances of their own where there
// are any, although one would hold them all: in 1,500 drawn pools a task that crashes its
// instances took 3.4 runs of others with it in place of 4.9.
func TestTasksOfCrashedInstanceArePlacedApart(t *testing.T) {
	b := newBook()
	hear(b, start, incarnation(0))
	b.Add(start, job("a", policy, step(3, 500, nil)))
	answer(b, orders(b, start), start)
	b.EndIncarnation(start, incarnation(0).ID())
	hear(b, start, incarnation(1), incarnation(2), incarnation(3))
	got := placed(orders(b, start))
	if len(got) != 3 {
		t.Errorf("starts %v, want one on each instance", got)
	}
}

// A task under which two instances have crashed waits for an empty instance, for a while;
// nothing joins it there until it has run for a while.
func TestSuspectedTaskRunsAlone(t *testing.T) {
	b := newBook()
	hear(b, start, incarnation(0), incarnation(1))
	busy := func(s *workload.Step) { s.Service, s.MaxPerInstance = true, 1 }
	b.Add(start, job("serving", policy, step(2, 500, busy)))
	before := orders(b, start)
	answer(b, before, start)
	b.Add(start, crashedJob("suspect", 2, step(1, 500, nil)))
	if got := placed(orders(b, start.Add(time.Second))); len(got) != 0 {
		t.Fatalf("starts %v beside serving tasks after 1 s, want none yet", got)
	}
	x, _ := b.Explain(start.Add(time.Second), "suspect")
	if want := "1 tasks wait: after crashes, tasks are kept apart on all of 2 instances"; x.Steps[0].Waits != want {
		t.Errorf("it is explained by %q, want %q", x.Steps[0].Waits, want)
	}
	b.SetIncarnations(start.Add(time.Second), []pointport.Incarnation{incarnation(0), incarnation(1), incarnation(2)})
	for _, w := range b.Workers() {
		report(b, before, w, start.Add(time.Second), 100)
	}
	alone := orders(b, start.Add(time.Second))
	if got := placed(alone); got["i-2"] != 1 || len(got) != 1 {
		t.Fatalf("starts %v, want one on the empty instance", got)
	}
	answer(b, alone, start.Add(time.Second))
	b.Add(start, job("others", policy, step(12, 500, nil)))
	beside := orders(b, start.Add(1100*time.Millisecond))
	if got := placed(beside); got["i-2"] != 0 || got["i-0"] == 0 {
		t.Fatalf("starts %v, want none beside the suspect", got)
	}
	answer(b, beside, start.Add(1100*time.Millisecond))
	b.Add(start, job("later", policy, step(16, 500, nil)))
	for _, w := range b.Workers() {
		if w.Incarnation().ID() == "i-2" {
			report(b, alone, w, start.Add(3100*time.Millisecond), 10)
		}
	}
	if got := placed(orders(b, start.Add(3100*time.Millisecond))); got["i-2"] == 0 {
		t.Errorf("starts %v, want some beside a suspect that has run for 2 s", got)
	}
}

// Where no instance is empty for a while, a suspected task runs beside others, where few
// are. Its third crash there does not say whose doing it is, so only a fourth decides.
func TestSuspectedTaskTakesCompanyAtLast(t *testing.T) {
	b := newBook()
	hear(b, start, incarnation(0))
	b.Add(start, job("serving", policy, step(1, 500, func(s *workload.Step) { s.Service = true })))
	answer(b, orders(b, start), start)
	suspect := crashedJob("suspect", 2, step(1, 500, nil))
	b.Add(start, suspect)
	now := start.Add(1600 * time.Millisecond)
	beside := orders(b, now)
	if got := placed(beside); got["i-0"] != 1 {
		t.Fatalf("starts %v after 1.6 s, want one beside the serving task", got)
	}
	answer(b, beside, now)
	b.EndIncarnation(now, "i-0")
	if status, _ := b.Status("suspect"); status != workload.Running || suspect.Failed() {
		t.Fatalf("the job is %q after a third crash in company, want it to go on", status)
	}
	hear(b, now, incarnation(1), incarnation(2))
	answer(b, orders(b, now), now)
	for _, w := range b.Workers() {
		b.EndIncarnation(now, w.Incarnation().ID())
	}
	if !suspect.Failed() {
		t.Errorf("the job goes on after a fourth crash")
	}
}

// A start that waited to be sent when its instance crashed has not crashed it.
func TestStartNotSentCountsNoCrash(t *testing.T) {
	b := newBook()
	j := job("a", policy, step(1, 500, nil))
	b.Add(start, j)
	hear(b, start, incarnation(0))
	if got := placed(orders(b, start)); got["i-0"] != 1 {
		t.Fatalf("starts %v, want one", got)
	}
	b.EndIncarnation(start, "i-0")
	if got := j.Task(workload.TaskRef{}).Crashes; got != 0 {
		t.Errorf("%d crashes are counted against a task that was never sent", got)
	}
}

// While it is not known what became of a silent instance, a task of which copies may run
// gets one more start and no third: each may be the crash of one more instance.
func TestOneCopyWhileACrashIsInDoubt(t *testing.T) {
	b := newBook()
	hear(b, start, incarnation(0), incarnation(1), incarnation(2), incarnation(3))
	b.Add(start, job("a", policy, step(1, 500, func(s *workload.Step) { s.Copies = true })))
	silence := &pointport.UnavailableError{Op: "start", Ambiguous: true}
	starts := make(map[pointport.IncarnationID]bool)
	for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(100 * time.Millisecond) {
		for _, o := range orders(b, now) {
			b.MarkSending(o)
			if o.Kind == schedule.OrderStart {
				o.Worker.ExtendLease(now, settings.Lease)
				starts[o.Worker.Endpoint().Incarnation] = true
			}
			b.OrderAnswered(o, now, 0, silence)
		}
		for _, w := range b.Workers() {
			if starts[w.Incarnation().ID()] {
				b.PollFailed(w, now, silence)
			}
		}
	}
	if len(starts) != 2 {
		t.Errorf("the task was started on %d instances in 3 s without any answer, want 2", len(starts))
	}
}

// A serving task that has been at work for long is not held responsible any more for the
// crashes before that.
func TestServingTaskAtWorkIsExonerated(t *testing.T) {
	b := newBook()
	j := crashedJob("a", 2, step(1, 500, func(s *workload.Step) { s.Service = true }))
	b.Add(start, j)
	hear(b, start, incarnation(0))
	started := orders(b, start)
	answer(b, started, start)
	for second := range 11 {
		for _, w := range b.Workers() {
			report(b, started, w, start.Add(time.Duration(second)*time.Second), 100)
		}
	}
	b.EndIncarnation(start.Add(11*time.Second), "i-0")
	if got := j.Task(workload.TaskRef{}).Crashes; got != 1 || j.Failed() {
		t.Errorf("%d crashes count after 11 s at work, want 1", got)
	}
}

// A serving task that has been at work for seconds loses its instance again and again, each
// time beside a task that was just started there. It is started again each time.
func TestServingTaskBesideOthersIsNotGivenUp(t *testing.T) {
	b := newBook()
	j := job("serving", policy, step(1, 500, func(s *workload.Step) { s.Service = true }))
	b.Add(start, j)
	now := start
	for life := range 6 {
		hear(b, now, incarnation(life))
		now = now.Add(2 * time.Second) // it has waited for an empty instance
		started := orders(b, now)
		if len(started) != 1 {
			t.Fatalf("orders %v in life %d, want one start: given up after %d crashes", started, life, j.Task(workload.TaskRef{}).Crashes)
		}
		answer(b, started, now)
		w := b.Workers()[0]
		other, joined := string(rune('a'+life)), false
		for second := 0; second < 40 && !joined; second++ {
			now = now.Add(time.Second)
			report(b, started, w, now, 100)
			if second < 4 {
				continue
			}
			b.Add(now, job(other, policy, step(1, 500, nil)))
			for _, o := range orders(b, now) {
				b.MarkSending(o)
				joined = true
			}
		}
		if !joined {
			t.Fatalf("nothing joins the task in life %d", life)
		}
		b.EndIncarnation(now.Add(100*time.Millisecond), w.Incarnation().ID())
		b.Cancel(now, other)
	}
}

// A task that crashes its instance four seconds after its start, beside what has joined it
// there by then, is alone there in the end and given up.
func TestTaskThatCrashesItsInstanceLateIsGivenUp(t *testing.T) {
	b := newBook()
	late := job("late", policy, step(1, 500, func(s *workload.Step) { s.Service = true }))
	b.Add(start, late)
	now, crashes := start, 0
	for life := 0; life < 20 && !late.Failed(); life++ {
		hear(b, now, incarnation(life))
		now = now.Add(2 * time.Second)
		started := orders(b, now)
		answer(b, started, now)
		w := b.Workers()[0]
		joined := false
		for range 4 {
			now = now.Add(time.Second)
			report(b, started, w, now, 100)
			if !joined {
				b.Add(now, job(fmt.Sprintf("j%d", life), policy, step(1, 500, nil)))
				more := orders(b, now)
				answer(b, more, now)
				started, joined = append(started, more...), len(placed(more)) > 0
			}
		}
		crashes++
		b.EndIncarnation(now, w.Incarnation().ID())
	}
	if !late.Failed() || crashes > 6 {
		t.Errorf("after %d crashes the task is given up: %v; want that after 6 at most", crashes, late.Failed())
	}
}
