package schedule_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
)

// This file tests what a book holds in memory.

// inUse returns the bytes of the heap that are in use.
func inUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// runJobs takes some jobs to their end, one after the other, and returns when.
func runJobs(b *schedule.Scheduler, now time.Time, first, count int) time.Time {
	for n := range count {
		now = now.Add(20 * time.Millisecond)
		b.Add(now, job(fmt.Sprintf("%016x", first+n), policy, step(4, 100, nil)))
		for _, o := range orders(b, now) {
			b.OrderAnswered(o, now, pointport.InstanceClock(now.Sub(start)), nil)
			end := pointport.TaskEnd{Number: o.Worker.NextPoll().Acknowledged + 1, TaskRun: o.TaskRun, Kind: pointport.EndDone}
			b.Report(o.Worker, now, now, pointport.Report{Clock: pointport.InstanceClock(now.Sub(start)), Ended: []pointport.TaskEnd{end}})
			b.Stored(b.TakeBatch(everything), now)
		}
	}
	return now
}

// What is done and stored leaves memory: a day's worth of jobs that have ended leaves the
// heap where it was.
func TestEndedJobsLeaveMemory(t *testing.T) {
	b := newBook()
	hear(b, start, incarnation(0), incarnation(1))
	const warm, day = 4000, 40_000
	now := runJobs(b, start, 0, warm)
	before := inUse()
	runJobs(b, now, warm, day)
	const slack = 1 << 20 // bytes
	if grown := inUse() - before; grown > slack {
		t.Errorf("%d jobs that have ended hold %d bytes, %d each", day, grown, grown/day)
	}
	runtime.KeepAlive(b)
}

// BenchmarkHeld states what a worker, an open job and a task of it hold.
func BenchmarkHeld(bench *testing.B) {
	for range bench.N {
		const workers, jobs, tasks = 1000, 1000, 16
		before := inUse()
		b := newBook()
		var all []pointport.Incarnation
		for n := range workers {
			all = append(all, incarnation(n))
		}
		hear(b, start, all...)
		withWorkers := inUse()
		for n := range jobs {
			b.Add(start, job(fmt.Sprintf("%016x", n), policy, step(1, 100, nil)))
		}
		withJobs := inUse()
		for n := range jobs {
			b.Add(start, job(fmt.Sprintf("%016x", jobs+n), policy, step(1+tasks, 100, nil)))
		}
		withTasks := inUse()
		bench.ReportMetric(float64(withWorkers-before)/workers, "B/worker")
		bench.ReportMetric(float64(withJobs-withWorkers)/jobs, "B/job")
		bench.ReportMetric(float64(withTasks-2*withJobs+withWorkers)/(jobs*tasks), "B/task")
		runtime.KeepAlive(b)
	}
}
