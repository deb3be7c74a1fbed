package schedule_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/schedule"
)

// This file tests how much memory a scheduler uses.

// heapInUse returns the bytes of the heap that are in use.
func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// runJobs runs count jobs to their end, one after the other, and returns the time after that.
func runJobs(s *schedule.Scheduler, now time.Time, first, count int) time.Time {
	for n := range count {
		now = now.Add(20 * time.Millisecond)
		s.Add(now, job(fmt.Sprintf("%016x", first+n), policy, step(4, 100, nil)))
		for _, o := range orders(s, now) {
			s.OrderAnswered(o, now, pointport.InstanceTime(now.Sub(start)), nil)
			end := pointport.TaskEnd{Number: o.Worker.NextPoll().Acknowledged + 1, TaskRun: o.TaskRun, Kind: pointport.EndDone}
			s.Report(o.Worker, now, now, pointport.Report{Clock: pointport.InstanceTime(now.Sub(start)), Ended: []pointport.TaskEnd{end}})
			s.Stored(s.TakeBatch(everything), now)
		}
	}
	return now
}

// TestEndedJobsLeaveMemory checks that jobs that have ended and are stored are freed: the jobs
// of a day must not make the heap grow.
func TestEndedJobsLeaveMemory(t *testing.T) {
	s := newTestScheduler()
	registerIdle(s, start, incarnation(0), incarnation(1))
	const warm, day = 4000, 40_000
	now := runJobs(s, start, 0, warm)
	before := heapInUse()
	runJobs(s, now, warm, day)
	const slack = 1 << 20 // bytes
	if grown := heapInUse() - before; grown > slack {
		t.Errorf("%d ended jobs still use %d bytes, %d each", day, grown, grown/day)
	}
	runtime.KeepAlive(s)
}

// BenchmarkMemory reports the bytes that a worker, an open job and a task of it use.
func BenchmarkMemory(bench *testing.B) {
	for range bench.N {
		const workers, jobs, tasks = 1000, 1000, 16
		before := heapInUse()
		s := newTestScheduler()
		var all []pointport.Incarnation
		for n := range workers {
			all = append(all, incarnation(n))
		}
		registerIdle(s, start, all...)
		withWorkers := heapInUse()
		for n := range jobs {
			s.Add(start, job(fmt.Sprintf("%016x", n), policy, step(1, 100, nil)))
		}
		withJobs := heapInUse()
		for n := range jobs {
			s.Add(start, job(fmt.Sprintf("%016x", jobs+n), policy, step(1+tasks, 100, nil)))
		}
		withTasks := heapInUse()
		bench.ReportMetric(float64(withWorkers-before)/workers, "B/worker")
		bench.ReportMetric(float64(withJobs-withWorkers)/jobs, "B/job")
		bench.ReportMetric(float64(withTasks-2*withJobs+withWorkers)/(jobs*tasks), "B/task")
		runtime.KeepAlive(s)
	}
}
