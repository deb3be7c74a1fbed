package schedule_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
	"github.com/pointport/pointport/workload"
)

// This file checks what may be done once only a part of what has changed is stored.

// Whatever room transactions have, a start is sent only once the batch with its job is
// stored, an end is acknowledged only once nothing that followed from it is left, an
// instance counts as one with unstored ends exactly until their jobs are stored, and all
// tasks start in the end.
func TestPartialBatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBook()
		var all []pointport.Incarnation
		for i := range 8 {
			all = append(all, incarnation(i))
		}
		hear(b, start, all...)
		jobs := rapid.IntRange(1, 40).Draw(t, "jobs")
		for n := range jobs {
			b.Add(start, job(fmt.Sprintf("job%d", n), policy, step(rapid.IntRange(1, 3).Draw(t, "tasks"), 100, nil)))
		}
		stored := make(map[string]bool)
		ended, number := make(map[string]bool), int64(0)
		owed := make(map[pointport.IncarnationID]map[string]bool) // jobs with unstored ends
		for round := 0; round < 400 && len(ended) < jobs; round++ {
			b.Plan(start)
			room := rapid.IntRange(3, 12).Draw(t, "entries")
			batch := b.TakeBatch(room)
			if used := batch.Entries(); used > room {
				t.Fatalf("%d entries in a batch of at most %d", used, room)
			}
			acked := make(map[*schedule.Worker]int64)
			for _, w := range b.Workers() {
				acked[w] = w.NextPoll().Acknowledged
			}
			b.Stored(batch, start)
			for _, w := range b.Workers() {
				if w.NextPoll().Acknowledged != acked[w] && !batch.Complete {
					t.Fatalf("ends are acknowledged although jobs are left to be stored")
				}
			}
			for _, r := range batch.Records {
				stored[r.ID] = true
				for _, jobs := range owed {
					delete(jobs, r.ID)
				}
				if r.Ended != "" {
					ended[r.ID] = true
				}
			}
			for _, l := range b.Survey(start, schedule.SurveyRequest{}).Instances {
				if l.Unstored != (len(owed[l.Incarnation]) > 0) {
					t.Fatalf("%s has unstored ends: %t, and %d jobs with some", l.Incarnation, l.Unstored, len(owed[l.Incarnation]))
				}
			}
			for _, o := range b.TakeOrders() {
				id, _, err := workload.ParseTaskName(o.TaskRun.Task)
				if err != nil {
					t.Fatal(err)
				}
				if !stored[id] {
					t.Fatalf("%s starts before its job is stored", o.TaskRun.Task)
				}
				number++
				at := o.Worker.Incarnation().ID()
				if owed[at] == nil {
					owed[at] = make(map[string]bool)
				}
				owed[at][id] = true
				b.OrderAnswered(o, start, 1, nil)
				b.Report(o.Worker, start, start, pointport.Report{Clock: 1, Ended: []pointport.TaskEnd{
					{Number: number, TaskRun: o.TaskRun, Kind: pointport.EndDone},
				}})
			}
		}
		if len(ended) < jobs {
			t.Fatalf("%d of %d jobs have ended", len(ended), jobs)
		}
	})
}

// Tasks are placed for no more jobs than the next transaction takes: the others would
// hold room and do nothing while the store is slow.
func TestNoMoreIsPlacedThanCanBeStored(t *testing.T) {
	b := newBook()
	hear(b, start, incarnation(0), incarnation(1))
	for n := range 60 {
		b.Add(start, job(fmt.Sprintf("job%d", n), policy, step(1, 100, nil)))
	}
	const oneTransaction = 29
	b.TakeBatch(oneTransaction)
	for batch := range 2 {
		b.Plan(start)
		b.Plan(start)
		b.Stored(b.TakeBatch(oneTransaction), start)
		if got := placed(b.TakeOrders()); got["i-0"]+got["i-1"] != 24 {
			t.Errorf("starts %v of batch %d, want 24", got, batch)
		}
	}
	b.TakeBatch(everything)
	if got := placed(orders(b, start)); got["i-0"]+got["i-1"] != 12 {
		t.Errorf("starts %v once there is room for all, want those of the other 12 jobs", got)
	}
}

// A batch that does not take everything takes first what something waits for.
func TestUrgentRecordsGoFirst(t *testing.T) {
	b := newBook()
	hear(b, start, incarnation(0))
	for n := range 5 {
		b.Add(start, job(fmt.Sprintf("job%d", n), policy, step(2, 100, nil)))
	}
	var first schedule.Order
	for _, o := range orders(b, start) {
		b.OrderAnswered(o, start, 1, nil)
		first = o
	}
	// One end in each job is to be stored some time, the end of one job soon.
	var ends []pointport.TaskEnd
	for n := range 5 {
		ends = append(ends, pointport.TaskEnd{Number: int64(n + 1), Kind: pointport.EndDone, TaskRun: pointport.TaskRun{Task: fmt.Sprintf("job%d.0.0.0", n), Run: 1}})
	}
	ends = append(ends, pointport.TaskEnd{Number: 6, Kind: pointport.EndDone, TaskRun: pointport.TaskRun{Task: "job3.0.0.1", Run: 1}})
	b.Report(first.Worker, start, start, pointport.Report{Clock: 1, Ended: ends})
	batch := b.TakeBatch(3)
	if len(batch.Records) != 1 || batch.Records[0].ID != "job3" || batch.Complete {
		t.Errorf("batch %+v, want the job that has ended and no other", batch.Records)
	}
}
