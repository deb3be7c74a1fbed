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

// What users saw: two queues of one pool were not served for seconds, again and again, and
// a customer's job never ended. The order of events: a task started and its instance was
// gone 10 ms later with all that ran there; the owner of the pool heard that the instance
// was over, put all its tasks back to wait and placed them on the next instance, which went
// the same way; three instances within a second were the whole pool, each new one followed
// as it came, and a later owner went on like the first. The cause: the budget of a task
// counted the runs that an instance had listed as failed, and a run that died with its
// instance was put back without a trace. The evidence: 'incarnation ended' with runs,
// 'task returned' and 'task placed' of one task, over 200 times in two minutes with rising
// run numbers, and in the instances' own account each run's start 10 ms before its
// instance's end.

// poison names the job whose first task crashes its instance, besideServing a job beside it
// whose tasks serve.
const (
	poison        = "00000000000000dd"
	besideServing = "00000000000000ee"
)

// crashing is what tasks do where the first one of the poison job crashes its instance.
func crashing(change func(*testbed.Work)) testbed.WorkSource {
	return func(o pointport.StartOrder) testbed.Work {
		w := testbed.Work{Reservation: crashRoom, Duration: 800 * time.Millisecond, Service: strings.HasPrefix(o.Task, besideServing)}
		if strings.HasPrefix(o.Task, poison) {
			w.Crashes = strings.HasSuffix(o.Task, ".0")
			change(&w)
		}
		return w
	}
}

var crashRoom = pointport.Shape{CPUMilli: 500, MemoryMiB: 128}

// A task that crashes each instance on which it starts is given up after a few of them:
// its job is shown as failed, or goes on without it if it serves, and the jobs beside it
// end well.
func TestTaskThatCrashesItsInstanceIsGivenUp(t *testing.T) {
	cases := []struct {
		name    string
		step    func(*workload.Step)
		work    func(*testbed.Work)
		options []clusterOption
		trouble func(c *cluster)
		// left is how many of its tasks go on to run; its job fails if that is none.
		left int
	}{
		{name: "plain"},
		{name: "of which copies may run",
			step: func(s *workload.Step) { s.Copies = true }, work: func(w *testbed.Work) { w.Copies = true }},
		{name: "of a gang",
			step: func(s *workload.Step) { s.Gang = true }, work: func(w *testbed.Work) { w.Gang = crashTasks }},
		{name: "that serves",
			step: func(s *workload.Step) { s.Service = true }, work: func(w *testbed.Work) { w.Service = true }, left: crashTasks - 1},
		{name: "where nobody says that an instance is over",
			options: []clusterOption{withoutSteward()}},
		{name: "whose owners die in turn",
			trouble: func(c *cluster) {
				for range 3 {
					time.Sleep(1200 * time.Millisecond)
					name := c.owner("shift")
					c.kill(name)
					c.start(name)
					time.Sleep(time.Second)
				}
			}},
		{name: "whose owners stop in turn",
			trouble: func(c *cluster) {
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
			step := workload.Step{Count: crashTasks, Need: crashRoom, Estimate: 800 * time.Millisecond}
			if k.step != nil {
				k.step(&step)
			}
			if k.work == nil {
				k.work = func(*testbed.Work) {}
			}
			options := append([]clusterOption{withWork(crashing(k.work))}, k.options...)
			bubble(t, 4, func(c *cluster) { giveUp(c, &step, k.trouble, k.left) }, options...)
		})
	}
}

// crashTasks is how many tasks the poison job has.
const crashTasks = 5

// giveUp submits the poison job and others beside it, and checks what becomes of them.
func giveUp(c *cluster, step *workload.Step, trouble func(*cluster), left int) {
	c.t.Helper()
	n := c.nodes["n0"].node
	q := queue(c.t, n, "shift-close")
	beside := &workload.Spec{Steps: []workload.Step{{Count: 3, Need: crashRoom, Estimate: 800 * time.Millisecond}}}
	serving := &workload.Spec{Steps: []workload.Step{{Count: 2, Need: crashRoom, Service: true, MaxPerInstance: 1}}}
	submit(c.t, n, q, besideServing, serving)
	for i := range 3 {
		submit(c.t, n, q, fmt.Sprintf("%016x", i), beside)
	}
	submit(c.t, n, q, poison, &workload.Spec{Steps: []workload.Step{*step}})
	for i := range 3 {
		submit(c.t, n, q, fmt.Sprintf("%016x", 3+i), beside)
	}
	if trouble != nil {
		trouble(c)
	}
	n = c.nodes["n0"].node
	if left == 0 {
		c.eventually(n, q, poison, workload.Failed, 40*time.Second)
	}
	for i := range 6 {
		c.eventually(n, q, fmt.Sprintf("%016x", i), workload.Completed, 30*time.Second)
	}
	time.Sleep(10 * time.Second)
	c.eventually(n, q, besideServing, workload.Running, time.Second)
	if got := c.fleet.RunsOf(besideServing); got != 2 {
		c.t.Errorf("%d serving tasks run beside it at the end, want 2", got)
	}
	if got := c.fleet.RunsOf(poison); got != left {
		c.t.Errorf("%d tasks of its job run at the end, want %d", got, left)
	}
	task := poison + ".0.0.0"
	if got := c.fleet.Crashes(task); got < 2 || got > 4 {
		c.t.Errorf("the task has crashed %d instances, want 2 to 4\n%s", got, c.logs.about(task))
	}
}
