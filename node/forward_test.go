package node_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/pointport/pointport/intake"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/workload"
)

// This file tests what happens to jobs that arrive at a node that cannot use the store.

// storeFaultFor makes the store calls of the named nodes fail with a fault.
func storeFaultFor(fault memory.Fault, names ...string) func(node, op string) memory.Fault {
	return func(node, _ string) memory.Fault {
		for _, name := range names {
			if node == name {
				return fault
			}
		}
		return memory.FaultNone
	}
}

// A node whose store calls are refused or get no answer has a peer store the jobs that arrive
// at it. Otherwise it would refuse jobs although other members could store them: three of nine
// nodes once refused 75 jobs while the other six could have stored them.
func TestNodeWithoutStoreForwardsJobsToPeers(t *testing.T) {
	for name, fault := range map[string]memory.Fault{"refused": memory.FaultDown, "no answer": memory.FaultLostCall, "late": memory.FaultLate} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 4, func(c *cluster) {
				n := c.nodes["n0"].node
				q := queue(t, n, "shift-close")
				c.setStoreFault(storeFaultFor(fault, "n0", "n1"))
				for i := range 12 {
					submit(t, n, q, fmt.Sprintf("%016x", i), twoSteps(100*time.Millisecond))
					time.Sleep(200 * time.Millisecond)
				}
				c.setStoreFault(noStoreFault)
				for i := range 12 {
					c.waitForStatus(c.nodes["n2"].node, q, fmt.Sprintf("%016x", i), workload.Completed, 10*time.Second)
				}
				if got := c.fleet.Starts(); got != 12*7 {
					t.Errorf("%d tasks have started, want %d, one run of each", got, 12*7)
				}
			})
		})
	}
}

// A node that is short of memory has peers store the jobs that arrive at it. If all nodes are
// short of memory, it refuses jobs at once, with a time after which to retry.
func TestNodeLowOnMemoryForwardsJobsToPeers(t *testing.T) {
	simulate(t, 3, func(c *cluster) {
		n := c.nodes["n0"].node
		q := queue(t, n, "shift-close")
		c.setLowMemory("n0", "n1")
		const kept, refused = "00000000000000a1", "00000000000000a2"
		submit(t, n, q, kept, twoSteps(100*time.Millisecond))
		c.waitForStatus(n, q, kept, workload.Completed, 10*time.Second)
		c.setLowMemory("n0", "n1", "n2")
		time.Sleep(time.Second) // until the node asks the peer that stored a job again
		from := time.Now()
		err := n.Intake().Submit(context.Background(), q, refused, twoSteps(100*time.Millisecond))
		var no *intake.RefusedError
		if !errors.As(err, &no) || no.RetryAfter <= 0 || time.Since(from) > 300*time.Millisecond {
			t.Errorf("Submit returned %v after %v, want a refusal at once with a time to retry after", err, time.Since(from))
		}
		c.setLowMemory()
		submit(t, n, q, refused, twoSteps(100*time.Millisecond))
		c.waitForStatus(n, q, refused, workload.Completed, 10*time.Second)
	})
}

// Without a peer that can store it, a job is refused at once, and never runs.
func TestJobIsRefusedWithoutPeerToStoreIt(t *testing.T) {
	cases := map[string]struct {
		within  time.Duration
		trouble func(c *cluster)
	}{
		"store unavailable to all nodes": {100 * time.Millisecond, func(c *cluster) {
			c.setStoreFault(func(string, string) memory.Fault { return memory.FaultDown })
		}},
		"disconnected from store and peers": {100 * time.Millisecond, func(c *cluster) {
			c.setStoreFault(storeFaultFor(memory.FaultLostCall, "n0"))
			c.cutPeers("n1", "n2", "n3")
		}},
		// A peer that does not answer may have stored a job that was sent to it, which would
		// leave the outcome unknown to the customer. So a node asks whether the peer can store
		// a job before it sends one; only that question may remain unanswered.
		"no answer from store and peers": {200 * time.Millisecond, func(c *cluster) {
			c.setStoreFault(storeFaultFor(memory.FaultLostCall, "n0"))
			c.silencePeers(true)
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			simulate(t, 4, func(c *cluster) {
				n := c.nodes["n0"].node
				q := queue(t, n, "shift-close")
				test.trouble(c)
				time.Sleep(2 * time.Second) // until the node has noticed
				from := time.Now()
				err := n.Intake().Submit(context.Background(), q, "00000000000000aa", twoSteps(100*time.Millisecond))
				var refused *intake.RefusedError
				if !errors.As(err, &refused) || refused.RetryAfter <= 0 {
					t.Errorf("Submit returned %v, want a refusal with a time to retry after", err)
				}
				if took := time.Since(from); took > test.within {
					t.Errorf("the refusal took %v, want it at once", took)
				}
				c.setStoreFault(noStoreFault)
				c.cutPeers()
				c.silencePeers(false)
				time.Sleep(10 * time.Second)
				if got := c.fleet.Starts(); got != 0 {
					t.Errorf("%d tasks of a refused job have started", got)
				}
			})
		})
	}
}
