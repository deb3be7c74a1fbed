package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// Instances shrink to a quarter of their cores while jobs run on them, and grow again. Running
// tasks continue. Nothing is started beyond the smaller capacity, even if the instances do not
// enforce it, and the capacity is used again once it is back.
func TestInstancesAreResized(t *testing.T) {
	need := pointport.Shape{CPUMilli: 500, MemoryMiB: 128}
	large, small := pointport.Shape{CPUMilli: 4000, MemoryMiB: 8192}, pointport.Shape{CPUMilli: 1000, MemoryMiB: 8192}
	cases := []struct {
		owners string
		guards []clusterOption
	}{
		{"stay", []clusterOption{withoutCapacityEnforcement()}},
		{"die", []clusterOption{withoutCapacityEnforcement()}},
		{"stay", nil},
	}
	for _, k := range cases {
		owners := k.owners
		t.Run(fmt.Sprintf("owners %s, instances enforce capacity %v", owners, k.guards == nil), func(t *testing.T) {
			simulate(t, 3, func(c *cluster) {
				n := c.nodes["n0"].node
				q := queue(t, n, "shift-close")
				jobs := 0
				load := func(duration time.Duration) {
					for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
						submit(t, n, q, fmt.Sprintf("%016x", jobs), &workload.Spec{Steps: []workload.Step{{Count: 3, Need: need, Estimate: time.Second}}})
						jobs++
					}
				}
				load(3 * time.Second)
				for _, id := range c.fleet.IDs() {
					c.fleet.SetCapacity(id, small)
				}
				if name := c.owner("shift"); owners == "die" {
					c.kill(name)
					c.start(name)
					n = c.otherNode(name)
				}
				load(8 * time.Second)
				for _, id := range c.fleet.IDs() {
					c.fleet.SetCapacity(id, large)
				}
				time.Sleep(time.Second)
				if got := c.fleet.Running(); got <= 2*10 {
					t.Errorf("%d tasks run one second after the instances have grown, want more than the small instances could hold", got)
				}
				for i := range jobs {
					c.waitForStatus(n, q, fmt.Sprintf("%016x", i), workload.Completed, time.Minute)
				}
			}, append(k.guards, withWork(func(pointport.StartOrder) testbed.Work {
				return testbed.Work{Reservation: need, Duration: time.Second}
			}))...)
		})
	}
}
