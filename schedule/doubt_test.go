package schedule_test

import (
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file tests an owner that hears little of instances that are registered.
//
// What users saw: after a load that entry instances with 0.12 of a core could not follow,
// the jobs of a pool stood still for twenty seconds while its instances were idle. The order
// of events: the pool's owner was late; it took half of 102 instances for silent at once, and
// soon all; it placed their tasks elsewhere, sent 60 to 90 starts a second of which none was
// answered in time, and looked at each silent instance every 0.55 s; what that cost kept it
// from reading the answers. The evidence: 'instance silent' of 51 instances within a second
// by an owner that was 1.7 s late, 'start unanswered' as often as its window let it start,
// and the other owners heard their instances all the time.

// silenced returns a book of so many instances of which so many give no answer, as of now.
func silenced(all, silent int) (*schedule.Scheduler, []*schedule.Worker) {
	b := newBook()
	var incs []pointport.Incarnation
	for n := range all {
		incs = append(incs, incarnation(n))
	}
	hear(b, start, incs...)
	workers := b.Workers()[:silent]
	for _, w := range workers {
		b.PollFailed(w, start, silence)
	}
	b.Plan(start)
	b.Plan(start.Add(time.Second))
	return b, workers
}

// An owner doubts itself when it hears nothing of two thirds of its instances, and neither
// when one of two has crashed nor when a zone that has half of them is cut off.
func TestOwnerThatHearsLittleDoubtsItself(t *testing.T) {
	for _, c := range []struct {
		all, silent int
		want        bool
	}{
		{2, 1, false}, {2, 2, false}, {3, 3, false}, {10, 5, false}, {11, 6, false}, {12, 8, true}, {102, 68, true}, {102, 102, true},
	} {
		if b, _ := silenced(c.all, c.silent); b.SuspectsIsolation() != c.want {
			t.Errorf("%d silent of %d: doubts itself %v, want %v", c.silent, c.all, b.SuspectsIsolation(), c.want)
		}
	}
}

// An owner that doubts itself trusts itself once it hears most instances, and not while it
// hears some more than when it began to.
func TestDoubtEndsOnceMostAreHeard(t *testing.T) {
	b, silent := silenced(100, 60)
	answer := func(workers []*schedule.Worker) {
		for _, w := range workers {
			b.Report(w, start, start, pointport.Report{Clock: 1})
		}
		b.Plan(start)
	}
	answer(silent[:20])
	if !b.SuspectsIsolation() {
		t.Error("the owner trusts itself while 40 of 100 instances are silent")
	}
	answer(silent[20:40])
	if b.SuspectsIsolation() {
		t.Error("the owner doubts itself while 20 of 100 instances are silent")
	}
}

// Answers that are late for less than a second are no reason to doubt: what could start
// meanwhile would be lost.
func TestShortSilenceIsNoReasonToDoubt(t *testing.T) {
	b := newBook()
	var all []pointport.Incarnation
	for n := range 20 {
		all = append(all, incarnation(n))
	}
	hear(b, start, all...)
	now := start
	for range 10 {
		for _, w := range b.Workers() {
			b.PollFailed(w, now, silence)
		}
		for range 9 {
			b.Plan(now)
			if b.SuspectsIsolation() {
				t.Fatal("the owner doubts itself after less than a second")
			}
			now = now.Add(100 * time.Millisecond)
		}
		for _, w := range b.Workers() {
			b.Report(w, now, now, pointport.Report{Clock: pointport.InstanceClock(now.Sub(start))})
		}
		b.Plan(now)
	}
}

// Instances that are not registered any more are no reason to doubt.
func TestInstancesThatLeftAreNoReasonToDoubt(t *testing.T) {
	b, _ := silenced(10, 8)
	b.SetIncarnations(start, []pointport.Incarnation{incarnation(8), incarnation(9)})
	b.Plan(start)
	if b.SuspectsIsolation() {
		t.Error("the owner doubts itself although it hears all that are registered")
	}
}

// An owner that doubts itself gives up nothing on an instance that is registered, serving
// tasks and copies neither. Once it hears again, they go on as before.
func TestNothingExpiresOnWordOfOwnerThatDoubts(t *testing.T) {
	for name, change := range map[string]func(*workload.Step){
		"serving":     func(s *workload.Step) { s.Service = true },
		"with copies": func(s *workload.Step) { s.Copies = true },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBook()
			var all []pointport.Incarnation
			for n := range 10 {
				all = append(all, incarnation(n))
			}
			hear(b, start, all...)
			b.Add(start, job("a", policy, step(1, 100, change)))
			first := orders(b, start)[0]
			first.Worker.ExtendLease(start, settings.Lease)
			b.OrderAnswered(first, start, 1, nil)
			silent := []*schedule.Worker{first.Worker}
			for _, w := range b.Workers() {
				if w != first.Worker && len(silent) < 8 {
					silent = append(silent, w)
				}
			}
			now := start
			for range 300 { // half a minute
				for _, w := range silent {
					b.PollFailed(w, now, silence)
				}
				for _, o := range orders(b, now) {
					if o.Kind == schedule.OrderStart {
						t.Fatalf("%v is started %v after most instances fell silent", o.TaskRun, now.Sub(start))
					}
				}
				now = now.Add(100 * time.Millisecond)
			}
			for _, w := range silent[1:] {
				b.Report(w, now, now, pointport.Report{Clock: pointport.InstanceClock(now.Sub(start))})
			}
			again := 0
			for range 20 {
				b.PollFailed(first.Worker, now, silence)
				again += len(placed(orders(b, now)))
				now = now.Add(100 * time.Millisecond)
			}
			if again != 1 {
				t.Errorf("%d starts once the others are heard again, want one", again)
			}
		})
	}
}
