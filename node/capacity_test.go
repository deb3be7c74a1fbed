package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// Instances shrink to a quarter while jobs run on them, and grow again. What runs goes on;
// nothing is started beyond the new room, also where the instances would take it; and the
// room is used again once it is back.
func TestCapacityThatChanges(t *testing.T) {
	room := pointport.Shape{CPUMilli: 500, MemoryMiB: 128}
	large, small := pointport.Shape{CPUMilli: 4000, MemoryMiB: 8192}, pointport.Shape{CPUMilli: 1000, MemoryMiB: 8192}
	cases := []struct {
		owners string
		guards []clusterOption
	}{
		{"stay", []clusterOption{withoutGuards()}},
		{"die", []clusterOption{withoutGuards()}},
		{"stay", nil},
	}
	for _, k := range cases {
		owners := k.owners
		t.Run(fmt.Sprintf("owners %s, guards %v", owners, k.guards == nil), func(t *testing.T) {
			bubble(t, 3, func(c *cluster) {
				n := c.nodes["n0"].node
				q := queue(t, n, "shift-close")
				jobs := 0
				load := func(lasts time.Duration) {
					for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
						submit(t, n, q, fmt.Sprintf("%016x", jobs), &workload.Spec{Steps: []workload.Step{{Count: 3, Need: room, Estimate: time.Second}}})
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
					n = c.another(name)
				}
				load(8 * time.Second)
				for _, id := range c.fleet.IDs() {
					c.fleet.SetCapacity(id, large)
				}
				time.Sleep(time.Second)
				if got := c.fleet.Running(); got <= 2*10 {
					t.Errorf("%d runs a second after the instances have grown, want more than they held while they were small", got)
				}
				for i := range jobs {
					c.eventually(n, q, fmt.Sprintf("%016x", i), workload.Completed, time.Minute)
				}
			}, append(k.guards, withWork(func(pointport.StartOrder) testbed.Work {
				return testbed.Work{Reservation: room, Duration: time.Second}
			}))...)
		})
	}
}
