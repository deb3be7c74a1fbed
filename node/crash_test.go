package node_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// These tests guard against a task whose start crashes its instance, which can take down a
// whole pool. If the runs that end with their instance are not counted as failures of the task,
// the owner places the task on the next instance at once, and that one crashes too: with
// instances that end 10 ms after the start, three in a second, the pool serves no other job,
// and the job of the task never ends. The log then shows 'incarnation ended' with runs, and
// 'task returned' and 'task placed' of one task with ever higher run numbers, over 200 times in
// two minutes. A new owner must not start counting anew either.

// crashingJob is the ID of a job whose first task crashes its instance, servingNeighbour that
// of a job with serving tasks in the same pool.
const (
	crashingJob      = "00000000000000dd"
	servingNeighbour = "00000000000000ee"
)

// crashingWork returns the work of tasks where the first task of crashingJob crashes its
// instance.
func crashingWork(change func(*testbed.Work)) testbed.WorkSource {
	return func(o pointport.StartOrder) testbed.Work {
		w := testbed.Work{Reservation: crashNeed, Duration: 800 * time.Millisecond, Service: strings.HasPrefix(o.Task, servingNeighbour)}
		if strings.HasPrefix(o.Task, crashingJob) {
			w.Crashes = strings.HasSuffix(o.Task, ".0")
			change(&w)
		}
		return w
	}
}

var crashNeed = pointport.Shape{CPUMilli: 500, MemoryMiB: 128}

// A task that crashes each instance on which it starts is given up after a few crashes. Its job
// fails, or continues without the task if it is a serving job, and the other jobs complete.
func TestTaskThatCrashesItsInstanceIsGivenUp(t *testing.T) {
	cases := []struct {
		name    string
		step    func(*workload.Step)
		work    func(*testbed.Work)
		options []clusterOption
		inject  func(c *cluster)
		// wantRunning is how many tasks of the job keep running; the job fails if it is zero.
		wantRunning int
	}{
		{name: "plain"},
		{name: "that may run in copies",
			step: func(s *workload.Step) { s.Copies = true }, work: func(w *testbed.Work) { w.Copies = true }},
		{name: "of a gang",
			step: func(s *workload.Step) { s.Gang = true }, work: func(w *testbed.Work) { w.Gang = crashingJobTasks }},
		{name: "that serves",
			step: func(s *workload.Step) { s.Service = true }, work: func(w *testbed.Work) { w.Service = true }, wantRunning: crashingJobTasks - 1},
		{name: "without a steward that reports ended incarnations",
			options: []clusterOption{withoutSteward()}},
		{name: "while owners are killed in turn",
			inject: func(c *cluster) {
				for range 3 {
					time.Sleep(1200 * time.Millisecond)
					name := c.owner("shift")
					c.kill(name)
					c.start(name)
					time.Sleep(time.Second)
				}
			}},
		{name: "while owners stop as planned in turn",
			inject: func(c *cluster) {
				for range 3 {
					time.Sleep(700 * time.Millisecond)
					name := c.owner("shift")
					c.stop(name)
					c.start(name)
					time.Sleep(time.Second)
				}
			}},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			step := workload.Step{Count: crashingJobTasks, Need: crashNeed, Estimate: 800 * time.Millisecond}
			if k.step != nil {
				k.step(&step)
			}
			if k.work == nil {
				k.work = func(*testbed.Work) {}
			}
			options := append([]clusterOption{withWork(crashingWork(k.work))}, k.options...)
			simulate(t, 4, func(c *cluster) { checkCrashingJobGivenUp(c, &step, k.inject, k.wantRunning) }, options...)
		})
	}
}

// crashingJobTasks is how many tasks crashingJob has.
const crashingJobTasks = 5

// checkCrashingJobGivenUp submits crashingJob and other jobs, and checks how they end.
func checkCrashingJobGivenUp(c *cluster, step *workload.Step, inject func(*cluster), wantRunning int) {
	c.t.Helper()
	n := c.nodes["n0"].node
	q := queue(c.t, n, "shift-close")
	neighbour := &workload.Spec{Steps: []workload.Step{{Count: 3, Need: crashNeed, Estimate: 800 * time.Millisecond}}}
	serving := &workload.Spec{Steps: []workload.Step{{Count: 2, Need: crashNeed, Service: true, MaxPerInstance: 1}}}
	submit(c.t, n, q, servingNeighbour, serving)
	for i := range 3 {
		submit(c.t, n, q, fmt.Sprintf("%016x", i), neighbour)
	}
	submit(c.t, n, q, crashingJob, &workload.Spec{Steps: []workload.Step{*step}})
	for i := range 3 {
		submit(c.t, n, q, fmt.Sprintf("%016x", 3+i), neighbour)
	}
	if inject != nil {
		inject(c)
	}
	n = c.nodes["n0"].node
	if wantRunning == 0 {
		c.waitForStatus(n, q, crashingJob, workload.Failed, 40*time.Second)
	}
	for i := range 6 {
		c.waitForStatus(n, q, fmt.Sprintf("%016x", i), workload.Completed, 30*time.Second)
	}
	time.Sleep(10 * time.Second)
	c.waitForStatus(n, q, servingNeighbour, workload.Running, time.Second)
	if got := c.fleet.RunsOf(servingNeighbour); got != 2 {
		c.t.Errorf("%d tasks of the other serving job run at the end, want 2", got)
	}
	if got := c.fleet.RunsOf(crashingJob); got != wantRunning {
		c.t.Errorf("%d tasks of the crashing job run at the end, want %d", got, wantRunning)
	}
	task := crashingJob + ".0.0.0"
	if got := c.fleet.Crashes(task); got < 2 || got > 4 {
		c.t.Errorf("the task has crashed %d instances, want 2 to 4\n%s", got, c.logs.containing(task))
	}
}
