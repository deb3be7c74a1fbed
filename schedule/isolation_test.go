package schedule_test

import (
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file tests an owner to which few registered instances answer, so that it may itself be
// isolated.
//
// The failure behind it: after a load that exceeds what entry instances with 0.12 of a core
// can handle, the owner of a pool is late. It takes half of its 102 instances for silent at
// once, and soon all. It starts their tasks elsewhere at 60 to 90 starts a second, none of
// which is answered in time, and polls each silent instance every 0.55 s. That load keeps it
// from reading the answers, so its jobs stand still for twenty seconds while its instances are
// idle.
//
// In a log the failure shows as 'instance silent' of 51 instances within a second, by an owner
// that is 1.7 s late, and as many 'start unanswered' as its limit of starts in flight allows,
// while other owners get answers all the time.

// schedulerWithSilent returns a scheduler with a number of instances, and the workers of those
// that have been silent for a second.
func schedulerWithSilent(all, silent int) (*schedule.Scheduler, []*schedule.Worker) {
	s := newTestScheduler()
	var incs []pointport.Incarnation
	for n := range all {
		incs = append(incs, incarnation(n))
	}
	registerIdle(s, start, incs...)
	workers := s.Workers()[:silent]
	for _, w := range workers {
		s.PollFailed(w, start, silence)
	}
	s.Plan(start)
	s.Plan(start.Add(time.Second))
	return s, workers
}

// TestOwnerWithFewAnswersSuspectsIsolation checks that an owner suspects that it is isolated when
// two thirds of its instances give no answer, but neither when one of two has crashed nor when
// an availability zone with half of them is cut off.
func TestOwnerWithFewAnswersSuspectsIsolation(t *testing.T) {
	for _, c := range []struct {
		all, silent int
		want        bool
	}{
		{2, 1, false}, {2, 2, false}, {3, 3, false}, {10, 5, false}, {11, 6, false}, {12, 8, true}, {102, 68, true}, {102, 102, true},
	} {
		if s, _ := schedulerWithSilent(c.all, c.silent); s.SuspectsIsolation() != c.want {
			t.Errorf("%d of %d instances are silent: owner suspects isolation: %v, want %v", c.silent, c.all, s.SuspectsIsolation(), c.want)
		}
	}
}

// TestSuspicionEndsOnceMostInstancesAnswer checks that an owner that suspects isolation ceases
// to do so once most instances answer, and not as soon as a few more answer than when it
// began.
func TestSuspicionEndsOnceMostInstancesAnswer(t *testing.T) {
	s, silent := schedulerWithSilent(100, 60)
	reportIdle := func(workers []*schedule.Worker) {
		for _, w := range workers {
			s.Report(w, start, start, pointport.Report{Clock: 1})
		}
		s.Plan(start)
	}
	reportIdle(silent[:20])
	if !s.SuspectsIsolation() {
		t.Error("the owner no longer suspects isolation while 40 of 100 instances are silent")
	}
	reportIdle(silent[20:40])
	if s.SuspectsIsolation() {
		t.Error("the owner suspects isolation while 20 of 100 instances are silent")
	}
}

// TestShortSilenceIsNoIsolation checks that answers that are late for less than a second
// do not make an owner suspect isolation, which would delay the starts that are possible
// meanwhile.
func TestShortSilenceIsNoIsolation(t *testing.T) {
	s := newTestScheduler()
	var all []pointport.Incarnation
	for n := range 20 {
		all = append(all, incarnation(n))
	}
	registerIdle(s, start, all...)
	now := start
	for range 10 {
		for _, w := range s.Workers() {
			s.PollFailed(w, now, silence)
		}
		for range 9 {
			s.Plan(now)
			if s.SuspectsIsolation() {
				t.Fatal("the owner suspects isolation after less than a second of silence")
			}
			now = now.Add(100 * time.Millisecond)
		}
		for _, w := range s.Workers() {
			s.Report(w, now, now, pointport.Report{Clock: pointport.InstanceTime(now.Sub(start))})
		}
		s.Plan(now)
	}
}

// TestSilenceOfUnregisteredInstancesIsNoIsolation checks that silent instances that are no longer
// registered do not make an owner suspect isolation.
func TestSilenceOfUnregisteredInstancesIsNoIsolation(t *testing.T) {
	s, _ := schedulerWithSilent(10, 8)
	s.SetIncarnations(start, []pointport.Incarnation{incarnation(8), incarnation(9)})
	s.Plan(start)
	if s.SuspectsIsolation() {
		t.Error("the owner suspects isolation although all registered instances answer")
	}
}

// TestNothingExpiresWhileIsolationIsSuspected checks that an owner that suspects isolation
// starts nothing again that was placed on a registered instance, not even serving tasks and
// tasks that may have copies. Once most instances answer again, the task of one that stays
// silent is started elsewhere as usual.
func TestNothingExpiresWhileIsolationIsSuspected(t *testing.T) {
	for name, change := range map[string]func(*workload.Step){
		"serving":     func(s *workload.Step) { s.Service = true },
		"with copies": func(s *workload.Step) { s.Copies = true },
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestScheduler()
			var all []pointport.Incarnation
			for n := range 10 {
				all = append(all, incarnation(n))
			}
			registerIdle(s, start, all...)
			s.Add(start, job("a", policy, step(1, 100, change)))
			first := orders(s, start)[0]
			first.Worker.ExtendLease(start, settings.Lease)
			s.OrderAnswered(first, start, 1, nil)
			silent := []*schedule.Worker{first.Worker}
			for _, w := range s.Workers() {
				if w != first.Worker && len(silent) < 8 {
					silent = append(silent, w)
				}
			}
			now := start
			for range 300 { // half a minute
				for _, w := range silent {
					s.PollFailed(w, now, silence)
				}
				for _, o := range orders(s, now) {
					if o.Kind == schedule.OrderStart {
						t.Fatalf("%v is started %v after most instances became silent, want no start", o.TaskRun, now.Sub(start))
					}
				}
				now = now.Add(100 * time.Millisecond)
			}
			for _, w := range silent[1:] {
				s.Report(w, now, now, pointport.Report{Clock: pointport.InstanceTime(now.Sub(start))})
			}
			again := 0
			for range 20 {
				s.PollFailed(first.Worker, now, silence)
				again += len(startsByIncarnation(orders(s, now)))
				now = now.Add(100 * time.Millisecond)
			}
			if again != 1 {
				t.Errorf("%d starts once the other instances answer again, want one", again)
			}
		})
	}
}
