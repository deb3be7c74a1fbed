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

// What users saw: two tasks of one job ran again although a run of each had ended as done and
// those ends had been taken note of. The order of events: an instance crashed and was back half
// a second later under the addressee that it had; its pool's owner went on with it, placed the
// tasks there, and they were done; the look that told of it had the owner start both elsewhere.
// The cause: an incarnation was its addressee. The look acknowledged the highest number of an end
// of the life before, so the later life, which numbers its ends anew, forgot them at once, and the
// runs were not there. The evidence: "its instance does not list it" for each, of instances whose
// clock had not been taken in since the crash, and no answer in which the ends were listed.

// Tasks run once each on an instance that comes back under the addressee that it had.
func TestTasksOnAnInstanceThatComesBackRunOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		work := func(pointport.StartOrder) testbed.Work {
			return testbed.Work{Reservation: crashRoom, Duration: 300 * time.Millisecond}
		}
		c := newCluster(t, withWork(work), withoutSteward(), withReturns(100))
		defer c.close()
		r := c.start("n0")
		time.Sleep(2 * time.Second)
		for n := range 3 { // several ends on each instance
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
				t.Errorf("task %s started %d times, want once\n%s", task, got, c.logs.about(task))
			}
		}
		for _, v := range c.fleet.Violations() {
			t.Error(v)
		}
	})
}

// submitTasks hands in a job of so many tasks.
func submitTasks(t *testing.T, submit func(context.Context, *workload.Queue, string, *workload.Spec) error, c *cluster, id string, tasks int) {
	t.Helper()
	queue := &c.nodes["n0"].node.Catalog().Queues[0]
	spec := &workload.Spec{Steps: []workload.Step{{Count: tasks, Need: crashRoom, Estimate: 300 * time.Millisecond}}}
	if err := submit(context.Background(), queue, id, spec); err != nil {
		t.Fatal(fmt.Errorf("job %s: %w", id, err))
	}
}

// Random troubles, of instances that mostly come back under the addressee that they had.
func TestRulesHoldWhileInstancesComeBack(t *testing.T) {
	t.Parallel()
	checkScriptsWith(t, drawScript, withReturns(80))
}
