package node_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// These tests guard against completed tasks that run again on an instance that restarts under
// its previous addressee. Such an instance numbers its ends anew. If the owner takes it for the
// same incarnation, its next poll acknowledges the highest end number of the previous
// incarnation. The new incarnation then forgets its own ends at once, no answer lists them, and
// the owner starts the tasks elsewhere because the instance does not list their runs.

// Each task runs once on instances that restart, half a second after a crash, under their
// previous addressee.
func TestTasksRunOnceOnInstanceWithReusedAddressee(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		work := func(pointport.StartOrder) testbed.Work {
			return testbed.Work{Reservation: crashNeed, Duration: 300 * time.Millisecond}
		}
		c := newCluster(t, withWork(work), withoutSteward(), withAddresseeReuse(100))
		defer c.close()
		r := c.start("n0")
		time.Sleep(2 * time.Second)
		for n := range 3 { // so that each instance has several ends
			submitTasks(t, r.Intake().Submit, c, jobID(n), 16)
			time.Sleep(1500 * time.Millisecond)
		}
		for _, id := range c.fleet.IDs() {
			c.fleet.Crash(id, 300*time.Millisecond)
		}
		time.Sleep(1500 * time.Millisecond)
		submitTasks(t, r.Intake().Submit, c, jobID(3), 8)
		time.Sleep(10 * time.Second)
		for n := range 8 {
			task := workload.TaskName(jobID(3), workload.TaskRef{Index: n})
			if got := c.fleet.Started(task); got != 1 {
				t.Errorf("task %s started %d times, want once\n%s", task, got, c.logs.containing(task))
			}
		}
		for _, v := range c.fleet.Violations() {
			t.Error(v)
		}
	})
}

// submitTasks submits a job with the given number of tasks.
func submitTasks(t *testing.T, submit func(context.Context, *workload.Queue, string, *workload.Spec) error, c *cluster, id string, tasks int) {
	t.Helper()
	queue := &c.nodes["n0"].node.Catalog().Queues[0]
	spec := &workload.Spec{Steps: []workload.Step{{Count: tasks, Need: crashNeed, Estimate: 300 * time.Millisecond}}}
	if err := submit(context.Background(), queue, id, spec); err != nil {
		t.Fatal(fmt.Errorf("job %s: %w", id, err))
	}
}

// The invariants of random faults also hold if most instances restart under their previous
// addressee.
func TestInvariantsWithReusedAddressees(t *testing.T) {
	t.Parallel()
	checkScriptsWith(t, drawScript, withAddresseeReuse(80))
}
