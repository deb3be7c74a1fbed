package node_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/workload"
)

// This file tests what a new owner does with the jobs that it finds in the store.

// A new owner must not restart a job whose stored progress it cannot decode because another
// version has written it. It leaves the job alone and logs that (event 517). But later it reads
// all keys of open jobs again, as they were accepted and without their progress. If it takes
// the job for a new one then, all of its tasks start again, whether or not they have completed.
func TestJobWithUnreadableProgressIsNotRestarted(t *testing.T) {
	const id = "00000000000000cc"
	simulate(t, 3, func(c *cluster) {
		owner := c.owner("shift")
		n := c.otherNode(owner)
		submit(t, n, queue(t, n, "shift-close"), id, twoSteps(time.Second))
		time.Sleep(1500 * time.Millisecond) // until the first step has completed
		c.kill(owner)
		time.Sleep(100 * time.Millisecond)
		c.put(workload.ProgressKey("shift", id), []byte("written by another version"))
		time.Sleep(member.DefaultRereadInterval + 5*time.Second)
		if got := c.fleet.Started(id + ".0.0.0"); got != 1 {
			t.Errorf("a completed task was started %d times, want once", got)
		}
	})
}

// A job is accepted, then a new configuration moves its queue to another pool, and the client,
// which got no answer, submits the job again. The ID is found taken, and the owner of the job's
// pool must be notified. That is the pool in the job's record, not the queue's present one,
// whose owner would run the whole job a second time.
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

// A customer cancels a job that its pool's owner cannot decode, and the cancellation is acknowledged
// because the store has it. The owner must leave it there with the job: the next owner may be of a
// version that can decode the job. If the cancellation has been deleted by then, the job goes on.
func TestCancellationOfUnreadableJobIsKept(t *testing.T) {
	const id = "00000000000000cc"
	for _, name := range []string{"progress", "accepted job"} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 3, func(c *cluster) {
				owner := c.owner("shift")
				n := c.otherNode(owner)
				q := queue(t, n, "shift-close")
				submit(t, n, q, id, twoSteps(4*time.Second))
				time.Sleep(500 * time.Millisecond) // until its progress is stored
				key := workload.ProgressKey("shift", id)
				if name == "accepted job" {
					key = workload.OpenKey("shift", id)
				}
				stored, err := c.kv.Get(t.Context(), key)
				if err != nil || !stored.Exists() {
					t.Fatalf("the store has no %s (error %v)", name, err)
				}
				c.kill(owner)
				c.put(key, []byte("written by another version"))
				time.Sleep(3 * time.Second)
				second := c.owner("shift")
				n = c.otherNode(second)
				c.cancel(n, q, id)
				time.Sleep(member.DefaultRereadInterval + time.Second)
				c.kill(second)
				c.put(key, stored.Value())
				c.start(second)
				c.waitForStatus(n, q, id, workload.Cancelled, 10*time.Second)
			}, withoutSteward())
		})
	}
}
