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

// Completed tasks must not run again after a store outage. An owner learns that the tasks of an
// instance have ended, and reports that nothing runs there, before it has stored the ends. If a
// wave then maintains the instance, the instance no longer lists its ends. The owner, whose
// writes fail for more than a second, loses its pool, and the new owner finds the tasks placed
// on an incarnation that has ended and starts them elsewhere. The log shows 'run ended',
// 'incarnation ended', 'pool taken' by another member and 'task returned' for one task, with
// nothing stored between the first two.
func TestEndsAreStoredBeforeInstanceIsMaintained(t *testing.T) {
	need := pointport.Shape{CPUMilli: 500, MemoryMiB: 128}
	simulate(t, 4, func(c *cluster) {
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
			Steps:   []workload.Step{{Count: 3, Need: need, Estimate: time.Second, MaxPerInstance: 1}},
		})
		time.Sleep(300 * time.Millisecond)
		held := c.fleet.BusyMachines()
		// from now on the owner can read and renew its lease, but its writes are lost
		c.setStoreFault(func(node, op string) memory.Fault {
			if node == owner && op == "commit" {
				return memory.FaultLostCall
			}
			return memory.FaultNone
		})
		time.Sleep(400 * time.Millisecond)
		c.requestWave(1, held, len(held))
		time.Sleep(2 * time.Second)
		if n := c.fleet.Maintained(1); n > 0 {
			t.Errorf("%d instances are maintained although their ends are not stored", n)
		}
		c.setStoreFault(noStoreFault)
		c.kill(owner)
		for _, r := range c.nodes {
			c.waitForStatus(r.node, q, id, workload.Completed, 30*time.Second)
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
		w := testbed.Work{Reservation: need, Duration: 500 * time.Millisecond}
		if strings.HasSuffix(o.Task, ".0") {
			w.Duration = 8 * time.Second
		}
		return w
	}))
}
