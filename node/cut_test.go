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

// This file tests what becomes of tasks on instances that are cut off, lost, or answer late.

// Whatever runs on an instance that was cut off starts again elsewhere once its
// time there is over, a serving task too (tippijako-prod scale-2 --seed
// 904690371623: each look asked to extend the tasks of a silent instance, so that
// they never expired).
func TestInstancesAreCutOff(t *testing.T) {
	bubble(t, 2, func(c *cluster) {
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
			t.Errorf("%d tasks run, want 3\n%s", got, c.logs.about("00000000000000cc"))
		}
	})
}

// A zone is cut off with the owner of a pool and the instances that run its tasks;
// when the cut heals, orders get through before the first looks do. What the former
// owner has extended goes on, so it must not start again beside that (tsogt-transit
// scale-1 --seed 976056705912: an order's answer was taken for news of how long the
// tasks may go on).
func TestCutZoneHealsWithAnOrderFirst(t *testing.T) {
	for _, healed := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second} {
		t.Run(healed.String(), func(t *testing.T) {
			bubble(t, 3, func(c *cluster) { c.cutOwnerOff(t, healed) })
		})
	}
}

// cutOwnerOff cuts the owner of a pool off with the instances that run two jobs,
// one of which is cancelled meanwhile, and heals the cut after some time.
func (c *cluster) cutOwnerOff(t *testing.T, lasts time.Duration) {
	const kept, cancelled = "00000000000000cc", "00000000000000dd"
	q := queue(t, c.nodes["n0"].node, "shift-close")
	submit(t, c.nodes["n0"].node, q, kept, twoSteps(8*time.Second))
	submit(t, c.nodes["n0"].node, q, cancelled, twoSteps(8*time.Second))
	time.Sleep(time.Second)
	owner, cut := c.owner("shift"), c.fleet.BusyMachines()
	heals := time.Now().Add(lasts)
	const looksLag = 700 * time.Millisecond
	c.setNetwork(func(op string, to pointport.InstanceID) testbed.Delivery {
		inside, across := strings.HasPrefix(op, owner+" "), slices.Contains(cut, to)
		lost := inside != across && time.Now().Before(heals)
		if strings.HasSuffix(op, " hold") && !inside && across {
			lost = time.Now().Before(heals.Add(looksLag))
		}
		return testbed.Delivery{Latency: time.Millisecond, OrderLost: lost}
	})
	c.setStoreFate(func(node, _ string) memory.Fault {
		if node == owner && time.Now().Before(heals) {
			return memory.FaultLostCall
		}
		return memory.FaultNone
	})
	c.cutPeers(owner)
	time.Sleep(1900 * time.Millisecond) // until another node owns the pool
	for name, r := range c.nodes {
		if name != owner {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_ = r.node.Intake().Cancel(ctx, q, cancelled) // its answer is not what is tested
			cancel()
			break
		}
	}
	time.Sleep(time.Until(heals))
	c.cutPeers()
	c.eventually(c.nodes[owner].node, q, kept, workload.Completed, time.Minute)
}

// An instance that is lost for good is found out by the platform's list before its time is over:
// at once where no other life can have its addressee, else once it has been there for longer than
// the list can be behind.
func TestInstancesAreLostForGood(t *testing.T) {
	for name, c := range map[string]struct {
		returns int
		there   time.Duration
	}{
		"under an addressee of its own":    {0, 0},
		"under one that others may have":   {50, 20 * time.Second},
		"where all come back under theirs": {100, 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, 2, func(k *cluster) {
				time.Sleep(c.there)
				n := k.nodes["n0"].node
				q := queue(t, n, "shift-close")
				submit(t, n, q, "00000000000000cc", twoSteps(30*time.Second))
				time.Sleep(time.Second)
				for _, id := range k.fleet.BusyMachines() {
					k.fleet.Crash(id, 0)
				}
				time.Sleep(3 * time.Second)
				if got := k.fleet.Running(); got != 4 {
					t.Errorf("%d tasks run three seconds later, want 4\n%s", got, k.logs.about("00000000000000cc"))
				}
			}, withReturns(c.returns))
		})
	}
}

func TestOrdersWithoutAnswers(t *testing.T) {
	for _, fate := range []testbed.Delivery{{OrderLost: true}, {AnswerLost: true}, {LateBy: 3 * time.Second}} {
		t.Run(fmt.Sprintf("%+v", fate), func(t *testing.T) {
			bubble(t, 3, func(c *cluster) {
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
					c.eventually(n, q, fmt.Sprintf("%016x", i), workload.Completed, 40*time.Second)
				}
			})
		})
	}
}

// A start that is held up until after its run has expired must not be carried out
// beside another run, although the instance's time is extended again (trial site
// trouble-2 --seed 847015516993).
func TestLateStartAfterExpiry(t *testing.T) {
	bubble(t, 1, func(c *cluster) {
		n := c.nodes["n0"].node
		q := queue(t, n, "shift-close")
		const cutFor = 8 * time.Second
		cut := time.Now().Add(cutFor)
		c.setNetwork(func(op string, to pointport.InstanceID) testbed.Delivery {
			switch {
			case time.Now().After(cut) || to != "m-00":
				return testbed.Delivery{Latency: time.Millisecond}
			case op == "n0 start":
				// Held up until just after the first looks that get through.
				return testbed.Delivery{LateBy: time.Until(cut) + 700*time.Millisecond}
			}
			return testbed.Delivery{OrderLost: true}
		})
		submit(t, n, q, "00000000000000cc", twoSteps(10*time.Second))
		c.eventually(n, q, "00000000000000cc", workload.Completed, 60*time.Second)
	}, withoutSteward())
}
