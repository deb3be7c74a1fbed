package schedule_test

import (
	"testing"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file checks that the first runs that an owner assumes at the end of a hold are stored.

// restoredJob returns job a, with two steps of one task, from its stored progress.
func restoredJob(t *testing.T, progress []byte) *workload.Job {
	t.Helper()
	j := job("a", policy, step(1, 100, nil), step(1, 100, nil))
	if err := j.RestoreProgress(progress); err != nil {
		t.Fatal(err)
	}
	return j
}

// TestAssumedRunIsStored checks that an owner counts as one with unrecorded starts until the run that
// it assumed at the end of the hold is stored by a batch taken after that: the next owner would
// otherwise start run 1 again.
func TestAssumedRunIsStored(t *testing.T) {
	j := begunJob("a", policy, step(1, 100000, nil))
	s := newSuccessor()
	s.Add(start, j)
	s.SetIncarnations(start, []pointport.Incarnation{incarnation(0)})
	s.Report(polledWorker(t, s, "i-0"), start, start, pointport.Report{Clock: 1})
	readable(s, start, expired)
	s.Plan(expired)
	if s.HoldsBack() {
		t.Fatal("still holds back")
	}
	if !s.Unrecorded() {
		t.Error("Unrecorded is false before the assumed run is stored")
	}
	b := s.TakeBatch(everything)
	if len(b.Records) != 1 {
		t.Errorf("%d records, want that of the job with the assumed run", len(b.Records))
	}
	if !s.Unrecorded() {
		t.Error("Unrecorded is false while the assumed run is being stored")
	}
	s.Stored(b, expired)
	if s.Unrecorded() {
		t.Error("Unrecorded is true after the assumed run is stored")
	}
}

// TestTwoFirstRuns checks that a task does not run on two instances at once: run 1 of the first owner
// ended on i-0, which was cut off. The second owner's hold ended. The third owner, which is not told
// of unrecorded starts, may start the task unrecorded on i-1, and the fourth hears first of i-0.
func TestTwoFirstRuns(t *testing.T) {
	stored := begunJob("a", policy, step(1, 100, nil)).EncodeProgress()
	// The second owner's hold ends while it has no instance to place the task on.
	second := newSuccessor()
	second.Add(start, restoredJob(t, stored))
	second.SetIncarnations(start, nil)
	readable(second, start, expired)
	second.Plan(expired)
	if second.HoldsBack() {
		t.Fatal("still holds back")
	}
	if b := second.TakeBatch(everything); len(b.Records) > 0 {
		stored = b.Records[0].Progress
	}
	third := newTestScheduler()
	registerIdle(third, start, incarnation(1))
	third.Add(start, restoredJob(t, stored))
	third.SetPeerLeased(true)
	third.Plan(start)
	released := startedTasks(releaseUnrecorded(third, &schedule.Batch{}, start))
	t.Logf("third owner sends unrecorded %v", released)
	fourth := newSuccessor()
	fourth.Add(start, restoredJob(t, stored))
	fourth.SetIncarnations(start, []pointport.Incarnation{incarnation(0), incarnation(1)})
	fourth.Report(polledWorker(t, fourth, "i-0"), start, start, endOf("a.0.1.0", pointport.EndLeaseExpired))
	if got := startedTasks(orders(fourth, start)); len(released) > 0 && len(got) > 0 {
		t.Errorf("fourth owner starts %v while i-1, which has not reported, runs %v", got, released)
	}
}

// TestLateFailureAfterNextOwner checks that a failure of run 1 that is listed late, to the owner after
// the one whose hold ended, counts against the task's attempts.
func TestLateFailureAfterNextOwner(t *testing.T) {
	stored := begunJob("a", policy, step(1, 100, nil)).EncodeProgress()
	second := newSuccessor()
	second.Add(start, restoredJob(t, stored))
	second.SetIncarnations(start, nil)
	readable(second, start, expired)
	second.Plan(expired)
	if b := second.TakeBatch(everything); len(b.Records) > 0 {
		stored = b.Records[0].Progress
	}
	third := newTestScheduler()
	j := restoredJob(t, stored)
	third.Add(start, j)
	third.SetIncarnations(start, []pointport.Incarnation{incarnation(0)})
	third.Report(polledWorker(t, third, "i-0"), start, start, endOf("a.0.1.0", pointport.EndFailed))
	if got := j.Task(workload.TaskRef{Step: 1}).Failures; got != 1 {
		t.Errorf("%d failures, want 1", got)
	}
}

// TestAssumedRunIsNotStoredByEarlierBatch checks that the storage of a batch that was taken before the
// hold ended does not count as that of the assumed run, which it does not contain.
func TestAssumedRunIsNotStoredByEarlierBatch(t *testing.T) {
	s := newSuccessor()
	j := begunJob("a", policy, step(1, 100000, nil), step(1, 100, nil)) // the first of them fits nowhere
	s.Add(start, j)
	s.SetIncarnations(start, []pointport.Incarnation{incarnation(0)})
	s.Report(polledWorker(t, s, "i-0"), start, start, runsOf("a.0.2.0"))
	earlier := s.TakeBatch(everything)
	if len(earlier.Records) != 1 {
		t.Fatalf("%d records, want that of the adopted run", len(earlier.Records))
	}
	readable(s, start, expired)
	s.Plan(expired)
	s.Stored(earlier, expired)
	if s.HoldsBack() || !s.Unrecorded() {
		t.Errorf("holds back %t, unrecorded %t before the assumed run is stored; want false and true", s.HoldsBack(), s.Unrecorded())
	}
	s.Stored(s.TakeBatch(everything), expired)
	if s.Unrecorded() {
		t.Error("Unrecorded is true after the assumed run is stored")
	}
}
