package node_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// This file tests what happens to tasks on instances that are unreachable, lost, or answer
// late.

// The tasks on an unreachable instance start elsewhere once their lease there has expired,
// serving tasks too. If each poll asked to extend the leases of an instance that does not
// answer, its tasks would never expire.
func TestTasksOfUnreachableInstancesRestart(t *testing.T) {
	simulate(t, 2, func(c *cluster) {
		n := c.nodes["n0"].node
		q := queue(t, n, "shift-close")
		serving := &workload.Spec{Payload: "serves=true cpu=500", Steps: []workload.Step{{
			Count: 3, Need: pointport.Shape{CPUMilli: 500}, Service: true, MaxPerInstance: 1, MayMiss: 1,
		}}}
		submit(t, n, q, "00000000000000cc", serving)
		time.Sleep(2 * time.Second)
		if got := c.fleet.Running(); got != 3 {
			t.Fatalf("%d tasks run, want 3", got)
		}
		cut := c.fleet.BusyMachines()
		c.setNetwork(func(_ string, to pointport.InstanceID) testbed.Delivery {
			return testbed.Delivery{Latency: time.Millisecond, OrderLost: slices.Contains(cut, to)}
		})
		time.Sleep(12 * time.Second)
		if got := c.fleet.Running(); got != 3 {
			t.Errorf("%d tasks run, want 3\n%s", got, c.logs.containing("00000000000000cc"))
		}
	})
}

// A network partition separates the owner of a pool, together with the instances that run its
// tasks, from the other nodes. When it heals, the new owner's orders reach the instances before
// its first polls do. The tasks whose leases the former owner has extended continue to run, so
// they must not be started again. That would happen if the new owner took the answer to an
// order as information about how long the tasks may run.
func TestOrderArrivesBeforePollsAfterPartition(t *testing.T) {
	for _, healed := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second} {
		t.Run(healed.String(), func(t *testing.T) {
			simulate(t, 3, func(c *cluster) { c.partitionOwner(t, healed) })
		})
	}
}

// partitionOwner separates the owner of a pool and the instances that run its two jobs from the
// other nodes, has one of the jobs cancelled meanwhile, and ends the partition after some time.
func (c *cluster) partitionOwner(t *testing.T, duration time.Duration) {
	const kept, cancelled = "00000000000000cc", "00000000000000dd"
	q := queue(t, c.nodes["n0"].node, "shift-close")
	submit(t, c.nodes["n0"].node, q, kept, twoSteps(8*time.Second))
	submit(t, c.nodes["n0"].node, q, cancelled, twoSteps(8*time.Second))
	time.Sleep(time.Second)
	owner, cut := c.owner("shift"), c.fleet.BusyMachines()
	healsAt := time.Now().Add(duration)
	const pollDelay = 700 * time.Millisecond
	c.setNetwork(func(op string, to pointport.InstanceID) testbed.Delivery {
		inside, across := strings.HasPrefix(op, owner+" "), slices.Contains(cut, to)
		lost := inside != across && time.Now().Before(healsAt)
		if strings.HasSuffix(op, " hold") && !inside && across {
			lost = time.Now().Before(healsAt.Add(pollDelay))
		}
		return testbed.Delivery{Latency: time.Millisecond, OrderLost: lost}
	})
	c.setStoreFault(func(node, _ string) memory.Fault {
		if node == owner && time.Now().Before(healsAt) {
			return memory.FaultLostCall
		}
		return memory.FaultNone
	})
	c.cutPeers(owner)
	time.Sleep(1900 * time.Millisecond) // until another node owns the pool
	for name, r := range c.nodes {
		if name != owner {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_ = r.node.Intake().Cancel(ctx, q, cancelled) // its result does not matter here
			cancel()
			break
		}
	}
	time.Sleep(time.Until(healsAt))
	c.cutPeers()
	c.waitForStatus(c.nodes[owner].node, q, kept, workload.Completed, time.Minute)
}

// The platform's machine list shows that an instance is lost before its leases expire. The loss
// counts at once if no other incarnation can have the same addressee, and otherwise once the
// incarnation has existed for longer than the list can lag behind.
func TestLostInstancesAreDetectedFromMachineList(t *testing.T) {
	for name, c := range map[string]struct {
		reuse int
		age   time.Duration
	}{
		"addressee is never reused":  {0, 0},
		"addressee may be reused":    {50, 20 * time.Second},
		"addressee is always reused": {100, 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 2, func(k *cluster) {
				time.Sleep(c.age)
				n := k.nodes["n0"].node
				q := queue(t, n, "shift-close")
				submit(t, n, q, "00000000000000cc", twoSteps(30*time.Second))
				time.Sleep(time.Second)
				for _, id := range k.fleet.BusyMachines() {
					k.fleet.Crash(id, 0)
				}
				time.Sleep(3 * time.Second)
				if got := k.fleet.Running(); got != 4 {
					t.Errorf("%d tasks run three seconds later, want 4\n%s", got, k.logs.containing("00000000000000cc"))
				}
			}, withAddresseeReuse(c.reuse))
		})
	}
}

// One of four orders is lost, carried out without an answer, or carried out late. All jobs
// complete, and no task has two runs at once.
func TestOrdersWithoutAnswers(t *testing.T) {
	for _, fate := range []testbed.Delivery{{OrderLost: true}, {AnswerLost: true}, {LateBy: 3 * time.Second}} {
		t.Run(fmt.Sprintf("%+v", fate), func(t *testing.T) {
			simulate(t, 3, func(c *cluster) {
				calls := 0
				c.setNetwork(func(string, pointport.InstanceID) testbed.Delivery {
					calls++
					if calls%4 == 0 {
						return fate
					}
					return testbed.Delivery{Latency: time.Millisecond}
				})
				n := c.nodes["n0"].node
				q := queue(t, n, "shift-close")
				for i := range 8 {
					submit(t, n, q, fmt.Sprintf("%016x", i), twoSteps(300*time.Millisecond))
				}
				for i := range 8 {
					c.waitForStatus(n, q, fmt.Sprintf("%016x", i), workload.Completed, 40*time.Second)
				}
			})
		})
	}
}

// A start order is delayed until after its run has expired. The instance must not carry it out
// alongside the run that has replaced it, although the instance's lease has been extended
// again.
func TestLateStartAfterExpiry(t *testing.T) {
	simulate(t, 1, func(c *cluster) {
		n := c.nodes["n0"].node
		q := queue(t, n, "shift-close")
		const cutFor = 8 * time.Second
		cut := time.Now().Add(cutFor)
		c.setNetwork(func(op string, to pointport.InstanceID) testbed.Delivery {
			switch {
			case time.Now().After(cut) || to != "m-00":
				return testbed.Delivery{Latency: time.Millisecond}
			case op == "n0 start":
				// delayed until just after the first polls that get through
				return testbed.Delivery{LateBy: time.Until(cut) + 700*time.Millisecond}
			}
			return testbed.Delivery{OrderLost: true}
		})
		submit(t, n, q, "00000000000000cc", twoSteps(10*time.Second))
		c.waitForStatus(n, q, "00000000000000cc", workload.Completed, 60*time.Second)
	}, withoutSteward())
}
