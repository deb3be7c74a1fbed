package node_test

import (
	"strings"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// What users saw: after an outage of the store, tasks that were done ran again. The order
// of events: an owner heard that the tasks of an instance had ended and said that nothing
// runs there; a wave maintained the instance, which lists its ends no longer after that;
// the owner, whose changes waited for the store for more than a second, lost its pool;
// its successor found the tasks placed on an instance that was over and started them
// elsewhere. The evidence: 'run ended', 'incarnation ended', 'pool taken' by another and
// 'task returned' of one task, in this order, with nothing stored between the first two.
func TestEndsAreStoredBeforeInstanceIsMaintained(t *testing.T) {
	room := pointport.Shape{CPUMilli: 500, MemoryMiB: 128}
	bubble(t, 4, func(c *cluster) {
		owner := c.owner("shift")
		if c.owner("/steward") == owner {
			c.stop(owner)
			c.start(owner)
			time.Sleep(2 * time.Second)
			owner = c.owner("shift")
		}
		q := queue(t, c.nodes[owner].node, "shift-close")
		const id = "00000000000000cc"
		submit(t, c.nodes[owner].node, q, id, &workload.Spec{
			Payload: "one runs longer",
			Steps:   []workload.Step{{Count: 3, Need: room, Estimate: time.Second, MaxPerInstance: 1}},
		})
		time.Sleep(300 * time.Millisecond)
		held := c.fleet.BusyMachines()
		// From now on the owner reads and renews, but its changes get nowhere.
		c.setStoreFate(func(node, op string) memory.Fault {
			if node == owner && op == "commit" {
				return memory.FaultLostCall
			}
			return memory.FaultNone
		})
		time.Sleep(400 * time.Millisecond)
		c.wave(1, held, len(held))
		time.Sleep(2 * time.Second)
		if n := c.fleet.Maintained(1); n > 0 {
			t.Errorf("%d instances are maintained although what has ended there is not stored", n)
		}
		c.setStoreFate(storeWorks)
		c.kill(owner)
		for _, r := range c.nodes {
			c.eventually(r.node, q, id, workload.Completed, 30*time.Second)
			break
		}
		for range 50 {
			if c.fleet.Maintained(1) == len(held) {
				return
			}
			time.Sleep(500 * time.Millisecond)
		}
		t.Errorf("%d of %d instances are maintained half a minute later", c.fleet.Maintained(1), len(held))
	}, withWork(func(o pointport.StartOrder) testbed.Work {
		w := testbed.Work{Reservation: room, Duration: 500 * time.Millisecond}
		if strings.HasSuffix(o.Task, ".0") {
			w.Duration = 8 * time.Second
		}
		return w
	}))
}
