package node_test

import (
	"testing"
	"time"

	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// This file tests pools with tasks that a former owner may have started without storing that.

// Guards against a pool that is handed over for load while its owner holds back such tasks: each owner begins
// that wait at its takeover, so the jobs stood still for over 14 s of calm.
func TestPoolWithTasksHeldBackIsNotHandedOver(t *testing.T) {
	const (
		step  = time.Second
		alone = 2 * time.Second // until the other nodes are back
		// settle is within when jobs go on after a disturbance.
		settle = 14 * time.Second
	)
	simulate(t, 3, func(c *cluster) {
		pools := []string{"shift", "payout"}
		queues, ids := make(map[string]*workload.Queue), make(map[string][]string)
		for i, pool := range pools {
			queues[pool], ids[pool] = c.submitSteps(pool, 4*i, step, step)
		}
		time.Sleep(300 * time.Millisecond)
		first := c.owner("shift")
		var others []string
		for name := range c.nodes {
			if name != first {
				others = append(others, name)
			}
		}
		for _, name := range append(others, first) {
			c.kill(name)
		}
		n := c.start(first)
		time.Sleep(alone)
		for _, pool := range pools {
			if got := c.owner(pool); got != first {
				t.Fatalf("%s owns %s, want %s, the only node\n%s", got, pool, first, c.leaseLogs())
			}
		}
		for _, name := range others {
			c.start(name)
		}
		back := time.Now()
		for _, pool := range pools {
			for _, id := range ids[pool] {
				c.waitForStatus(n, queues[pool], id, workload.Completed, settle+step-time.Since(back))
			}
			c.checkFences(pool)
		}
		t.Logf("all jobs are completed %v after the nodes are back", time.Since(back))
	}, withPeerLeases(peerLeaseLimit), withMaxHold(testbed.MaxHold), withWork(stepWork(step, step)), withoutSteward())
}
