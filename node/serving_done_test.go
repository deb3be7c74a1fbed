package node_test

import (
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// This file tests serving tasks that end as done by themselves, on complete nodes. The fleet checks that they
// are back in time.

// Guards against serving tasks that are never started again, or without a pause, after they have ended as done.
func TestServingTasksThatEndAsDoneAreBack(t *testing.T) {
	const watched, maxStarts = 40 * time.Second, 40 // of each task
	cases := map[string]struct {
		doneAfter func(o pointport.StartOrder) time.Duration
		gang      bool
		handover  bool
	}{
		"one once": {doneAfter: func(o pointport.StartOrder) time.Duration {
			if o.Run == 1 && o.Task == workload.TaskName(jobID(1), workload.TaskRef{}) {
				return 5 * time.Second
			}
			return 0
		}},
		"all at once":       {doneAfter: func(pointport.StartOrder) time.Duration { return 8 * time.Second }},
		"again and again":   {doneAfter: func(pointport.StartOrder) time.Duration { return time.Millisecond }},
		"a gang":            {doneAfter: func(pointport.StartOrder) time.Duration { return 8 * time.Second }, gang: true},
		"beside handovers":  {doneAfter: func(pointport.StartOrder) time.Duration { return 3 * time.Second }, handover: true},
		"a gang, handovers": {doneAfter: func(pointport.StartOrder) time.Duration { return 3 * time.Second }, gang: true, handover: true},
	}
	for name, k := range cases {
		t.Run(name, func(t *testing.T) {
			step := workload.Step{Count: 3, Need: pointport.Shape{CPUMilli: 500, MemoryMiB: 16}, Estimate: 500 * time.Millisecond, Service: true, Gang: k.gang, MaxPerInstance: 1}
			work := func(o pointport.StartOrder) testbed.Work {
				w := testbed.Work{Reservation: step.Need, Service: true, MaxPerInstance: 1, DoneAfter: k.doneAfter(o)}
				if k.gang {
					w.Gang = step.Count
				}
				return w
			}
			simulate(t, 3, func(c *cluster) {
				n := c.nodes["n0"].node
				q := queue(t, n, "shift-close")
				submit(t, n, q, jobID(1), &workload.Spec{Steps: []workload.Step{step}})
				for began := time.Now(); time.Since(began) < watched; {
					time.Sleep(10 * time.Second)
					if k.handover {
						name := c.owner("shift")
						c.stop(name)
						c.start(name)
					}
				}
				time.Sleep(15 * time.Second)
				c.waitForStatus(c.anyNode(0), q, jobID(1), workload.Running, 2*time.Second)
				for i := range step.Count {
					task := workload.TaskName(jobID(1), workload.TaskRef{Index: i})
					if got := c.fleet.Started(task); got > maxStarts {
						t.Errorf("%s was started %d times in %v, want at most %d", task, got, watched, maxStarts)
					}
				}
			}, withWork(work), withoutSteward())
		})
	}
}
