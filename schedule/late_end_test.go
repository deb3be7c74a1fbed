package schedule_test

import (
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file tests ends of replaced runs that are reported late.

// schedulerWithExpiredGang returns a scheduler whose two instances ran a gang and were cut
// off, together with their registrations, until their execution leases had expired, so that
// the gang waits again. It also returns the starts that were carried out and the time.
func schedulerWithExpiredGang(t *testing.T) (*schedule.Scheduler, []schedule.Order, time.Time) {
	t.Helper()
	s := newTestScheduler()
	both := []pointport.Incarnation{incarnation(0), incarnation(1)}
	registerIdle(s, start, both...)
	s.Add(start, job("a", policy, step(2, 3000, func(s *workload.Step) { s.Gang = true })))
	sent := orders(s, start)
	if len(startsByIncarnation(sent)) != 2 {
		t.Fatalf("orders %v, want a start on each instance", sent)
	}
	for _, o := range sent {
		s.MarkSending(o)
		o.Worker.ExtendLease(start, settings.Lease)
		s.OrderAnswered(o, start, 1, nil)
	}
	now := start
	for range 50 { // well beyond the execution lease
		now = now.Add(100 * time.Millisecond)
		s.SetIncarnations(now, nil)
		for _, o := range sent {
			s.PollFailed(o.Worker, now, silence)
		}
		for _, o := range orders(s, now) {
			s.OrderAnswered(o, now, 0, silence)
		}
	}
	s.SetIncarnations(now, both)
	return s, sent, now
}

// reportOfEnd returns a report that lists the end of a run.
func reportOfEnd(run pointport.TaskRun, kind pointport.EndKind) pointport.Report {
	return pointport.Report{Clock: 1, Ended: []pointport.TaskEnd{{Number: 1, TaskRun: run, Kind: kind}}}
}

// TestGangThatEndedBeforeItsInstancesExpiredIsNotRunAgain checks that a completed gang is not
// run again when its instances were cut off until their execution leases had expired, so that
// the gang was requeued, and report its ends once the network is back. The late end of a run
// counts for a gang as it does for a single task.
func TestGangThatEndedBeforeItsInstancesExpiredIsNotRunAgain(t *testing.T) {
	s, sent, now := schedulerWithExpiredGang(t)
	for _, w := range s.Workers() {
		for _, o := range sent {
			if o.Worker.Incarnation().ID() == w.Incarnation().ID() {
				s.Report(w, now, now, reportOfEnd(o.TaskRun, pointport.EndDone))
			}
		}
	}
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		if got := startsByIncarnation(orders(s, now)); len(got) != 0 {
			t.Fatalf("starts %v although the gang is done", got)
		}
	}
	if s, _ := s.Status("a"); s != workload.Completed {
		t.Errorf("the job is %s, want completed", s)
	}
}

// TestGangIsStoppedOnceAnEarlierRunOfItIsDone checks that the second run of a gang is
// stopped when the completed end of its first run is reported late. The end of one member
// stands for the whole gang.
func TestGangIsStoppedOnceAnEarlierRunOfItIsDone(t *testing.T) {
	s, sent, now := schedulerWithExpiredGang(t)
	for _, w := range s.Workers() {
		s.Report(w, now, now, pointport.Report{Clock: 1})
	}
	again := orders(s, now)
	if len(startsByIncarnation(again)) != 2 {
		t.Fatalf("orders %v, want the gang started again", again)
	}
	for _, o := range again {
		s.MarkSending(o)
		s.OrderAnswered(o, now, 1, nil)
	}
	now = now.Add(time.Second)
	late := again[0].Worker
	for _, o := range sent {
		if o.Worker.Incarnation().ID() == late.Incarnation().ID() {
			s.Report(late, now, now, reportOfEnd(o.TaskRun, pointport.EndDone))
		}
	}
	stopped := orders(s, now)
	for _, o := range again {
		if o.Kind == schedule.OrderStart && len(ordersFor(stopped, schedule.OrderStop, o.TaskRun)) == 0 {
			t.Errorf("%v is not stopped although an earlier run of its gang is done", o.TaskRun)
		}
	}
	if s, _ := s.Status("a"); s != workload.Completed {
		t.Errorf("the job is %s, want completed", s)
	}
}

// TestInstanceIsNotEmptyBeforeALateEndIsStored checks that an instance does not count as empty
// before the late end of a replaced run there is stored. Otherwise the instance can be removed
// as empty while the store gives no answer, the end is lost when the pool gets a new owner,
// and a completed task runs again.
func TestInstanceIsNotEmptyBeforeALateEndIsStored(t *testing.T) {
	for name, how := range map[string]pointport.EndKind{"done": pointport.EndDone, "failed": pointport.EndFailed} {
		t.Run(name, func(t *testing.T) {
			s, sent, now := schedulerWithExpiredGang(t)
			at := sent[0].Worker.Incarnation().ID()
			for _, w := range s.Workers() {
				if w.Incarnation().ID() == at {
					s.Report(w, now, now, reportOfEnd(sent[0].TaskRun, how))
				}
			}
			if countsAsEmpty(t, s, now, at) {
				t.Error("the instance counts as empty although the end that it has reported is not stored")
			}
			s.Stored(s.TakeBatch(everything), now)
			if !countsAsEmpty(t, s, now, at) {
				t.Error("the instance does not count as empty once the end is stored")
			}
		})
	}
}

// countsAsEmpty reports whether an instance counts as empty, so that it may be moved or
// maintained.
func countsAsEmpty(t *testing.T, s *schedule.Scheduler, now time.Time, id pointport.IncarnationID) bool {
	t.Helper()
	for _, l := range s.Survey(now, schedule.SurveyRequest{}).Instances {
		if l.Incarnation == id {
			return l.Empty()
		}
	}
	t.Fatalf("the survey does not contain incarnation %s", id)
	return false
}
