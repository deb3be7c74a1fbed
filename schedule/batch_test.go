package schedule_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file checks what may happen while only some of the changes are stored.

// TestPartialBatches checks the rules that hold when transactions are too small for all
// changes, whatever their size: a start is sent only once the batch with its job is stored, an
// end is acknowledged only once nothing that follows from it is unstored, an instance reports
// unstored ends exactly until their jobs are stored, and all tasks start eventually.
func TestPartialBatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestScheduler()
		var all []pointport.Incarnation
		for i := range 8 {
			all = append(all, incarnation(i))
		}
		registerIdle(s, start, all...)
		jobs := rapid.IntRange(1, 40).Draw(t, "jobs")
		for n := range jobs {
			s.Add(start, job(fmt.Sprintf("job%d", n), policy, step(rapid.IntRange(1, 3).Draw(t, "tasks"), 100, nil)))
		}
		stored := make(map[string]bool)
		ended, number := make(map[string]bool), int64(0)
		unstored := make(map[pointport.IncarnationID]map[string]bool) // the jobs that have unstored ends, by incarnation
		for round := 0; round < 400 && len(ended) < jobs; round++ {
			s.Plan(start)
			limit := rapid.IntRange(3, 12).Draw(t, "entries")
			batch := s.TakeBatch(limit)
			if used := batch.Entries(); used > limit {
				t.Fatalf("batch has %d entries, want at most %d", used, limit)
			}
			acked := make(map[*schedule.Worker]int64)
			for _, w := range s.Workers() {
				acked[w] = w.NextPoll().Acknowledged
			}
			s.Stored(batch, start)
			for _, w := range s.Workers() {
				if w.NextPoll().Acknowledged != acked[w] && !batch.Complete {
					t.Fatalf("ends are acknowledged although some jobs are not stored yet")
				}
			}
			for _, r := range batch.Records {
				stored[r.ID] = true
				for _, jobs := range unstored {
					delete(jobs, r.ID)
				}
				if r.Ended != "" {
					ended[r.ID] = true
				}
			}
			for _, l := range s.Survey(start, schedule.SurveyRequest{}).Instances {
				if l.Unstored != (len(unstored[l.Incarnation]) > 0) {
					t.Fatalf("instance %s has unstored ends: %t, but %d jobs have some", l.Incarnation, l.Unstored, len(unstored[l.Incarnation]))
				}
			}
			for _, o := range s.TakeOrders() {
				id, _, err := workload.ParseTaskName(o.TaskRun.Task)
				if err != nil {
					t.Fatal(err)
				}
				if !stored[id] {
					t.Fatalf("start of %s is sent before its job is stored", o.TaskRun.Task)
				}
				number++
				at := o.Worker.Incarnation().ID()
				if unstored[at] == nil {
					unstored[at] = make(map[string]bool)
				}
				unstored[at][id] = true
				s.OrderAnswered(o, start, 1, nil)
				s.Report(o.Worker, start, start, pointport.Report{Clock: 1, Ended: []pointport.TaskEnd{
					{Number: number, TaskRun: o.TaskRun, Kind: pointport.EndDone},
				}})
			}
		}
		if len(ended) < jobs {
			t.Fatalf("%d of %d jobs have ended, want all", len(ended), jobs)
		}
	})
}

// TestNoMoreIsPlacedThanCanBeStored checks that tasks are placed for no more jobs than the
// next transaction can store. Tasks of further jobs would reserve capacity and not start while
// the store is slow.
func TestNoMoreIsPlacedThanCanBeStored(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0), incarnation(1))
	for n := range 60 {
		s.Add(start, job(fmt.Sprintf("job%d", n), policy, step(1, 100, nil)))
	}
	const oneTransaction = 29
	s.TakeBatch(oneTransaction)
	for batch := range 2 {
		s.Plan(start)
		s.Plan(start)
		s.Stored(s.TakeBatch(oneTransaction), start)
		if got := startsByIncarnation(s.TakeOrders()); got["i-0"]+got["i-1"] != 24 {
			t.Errorf("batch %[2]d has starts %[1]v, want 24", got, batch)
		}
	}
	s.TakeBatch(everything)
	if got := startsByIncarnation(orders(s, start)); got["i-0"]+got["i-1"] != 12 {
		t.Errorf("starts %v once the transaction is large enough for all, want those of the other 12 jobs", got)
	}
}

// TestUrgentRecordsGoFirst checks that a batch that is too small for all changes contains the
// records first for which something waits.
func TestUrgentRecordsGoFirst(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0))
	for n := range 5 {
		s.Add(start, job(fmt.Sprintf("job%d", n), policy, step(2, 100, nil)))
	}
	var first schedule.Order
	for _, o := range orders(s, start) {
		s.OrderAnswered(o, start, 1, nil)
		first = o
	}
	// Storing one end of each job is not urgent; storing the end of a whole job is.
	var ends []pointport.TaskEnd
	for n := range 5 {
		ends = append(ends, pointport.TaskEnd{Number: int64(n + 1), Kind: pointport.EndDone, TaskRun: pointport.TaskRun{Task: fmt.Sprintf("job%d.0.0.0", n), Run: 1}})
	}
	ends = append(ends, pointport.TaskEnd{Number: 6, Kind: pointport.EndDone, TaskRun: pointport.TaskRun{Task: "job3.0.0.1", Run: 1}})
	s.Report(first.Worker, start, start, pointport.Report{Clock: 1, Ended: ends})
	batch := s.TakeBatch(3)
	if len(batch.Records) != 1 || batch.Records[0].ID != "job3" || batch.Complete {
		t.Errorf("batch %+v, want only the job that has ended", batch.Records)
	}
}
