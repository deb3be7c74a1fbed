package node_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/workload"
)

// This file tests what a new owner makes of the jobs that it finds in the store.

// What users saw: nothing yet; read from the code while a task with two runs was looked
// for.
//
// The order of events: a job's stored progress cannot be read, because another version has
// written it. The pool changes hands, and the new owner leaves the job alone, as it says
// (517). It reads all keys of open jobs again some time later, and takes the job for one of
// which it has not heard: none of its tasks has begun, so all start again, done or not.
//
// The cause: what is read again are the jobs as they were accepted, without their progress.
func TestJobWithUnreadableProgressIsNotRestarted(t *testing.T) {
	const id = "00000000000000cc"
	simulate(t, 3, func(c *cluster) {
		owner := c.owner("shift")
		n := c.otherNode(owner)
		submit(t, n, queue(t, n, "shift-close"), id, twoSteps(time.Second))
		time.Sleep(1500 * time.Millisecond) // the first step is done
		c.kill(owner)
		time.Sleep(100 * time.Millisecond)
		c.put(workload.ProgressKey("shift", id), []byte("written by another version"))
		time.Sleep(member.DefaultRereadInterval + 5*time.Second)
		if got := c.fleet.Started(id + ".0.0.0"); got != 1 {
			t.Errorf("a task that is done was started %d times, want once", got)
		}
	})
}

// What users saw: nothing yet; read from the code while a task with two runs was looked
// for.
//
// The order of events: a job is accepted, and its queue is given to another pool by a new
// configuration. The customer, who has had no answer, hands the job in again. Its identity
// is found taken, and the owner of the queue's present pool is told of the job, as if it had
// been accepted there: it runs all of it beside the owner of the pool that keeps it.
//
// The cause: the owner that was told was the one by the configuration, not the one by the
// job's record.
func TestResubmittedJobRunsOnceAfterItsQueueMoved(t *testing.T) {
	const id = "00000000000000cc"
	simulate(t, 3, func(c *cluster) {
		n := c.nodes["n0"].node
		submit(t, n, queue(t, n, "shift-close"), id, twoSteps(2*time.Second))
		k := workload.Catalog{Version: 2}
		c.configure(&k)
		k.Version, k.Queues[0].Pool = 3, "payout"
		value, err := json.Marshal(&k)
		if err != nil {
			t.Fatal(err)
		}
		c.put(configKey, value)
		time.Sleep(time.Second)
		for _, name := range []string{"n0", "n1", "n2"} {
			n := c.nodes[name].node
			submit(t, n, queue(t, n, "shift-close"), id, twoSteps(2*time.Second))
		}
		c.waitForStatus(n, queue(t, n, "shift-close"), id, workload.Completed, 20*time.Second)
		for task := range 4 {
			name := workload.TaskName(id, workload.TaskRef{Index: task})
			if got := c.fleet.Started(name); got != 1 {
				t.Errorf("%s was started %d times, want once", name, got)
			}
		}
	})
}
