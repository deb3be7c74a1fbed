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

// This file tests what becomes of jobs that come to a node that the store does not
// serve.

// storeFaultFor has calls of some nodes to the store fail in a way.
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

// A node that the store turns away, or gives no answer, has a peer keep the jobs
// that come to it (tippijako-prod inc-f050: 75 jobs were refused by three nodes
// while six others could have kept them).
func TestNodeWithoutStoreForwardsJobsToPeers(t *testing.T) {
	for name, fault := range map[string]memory.Fault{"refused": memory.FaultBefore, "no answer": memory.FaultLostCall, "late": memory.FaultLate} {
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
					t.Errorf("%d tasks have started, want %d", got, 12*7)
				}
			})
		})
	}
}

// A node that is near the limit of its memory has peers keep the jobs that come to it, and
// refuses them at once, with a time to come back, where all are.
func TestNodeLowOnMemoryForwardsJobsToPeers(t *testing.T) {
	simulate(t, 3, func(c *cluster) {
		n := c.nodes["n0"].node
		q := queue(t, n, "shift-close")
		c.setLowMemory("n0", "n1")
		const kept, refused = "00000000000000a1", "00000000000000a2"
		submit(t, n, q, kept, twoSteps(100*time.Millisecond))
		c.waitForStatus(n, q, kept, workload.Completed, 10*time.Second)
		c.setLowMemory("n0", "n1", "n2")
		time.Sleep(time.Second) // until the peer that has stored a job is asked again
		from := time.Now()
		err := n.Intake().Submit(context.Background(), q, refused, twoSteps(100*time.Millisecond))
		var no *intake.RefusedError
		if !errors.As(err, &no) || no.RetryAfter <= 0 || time.Since(from) > 300*time.Millisecond {
			t.Errorf("%v after %v, want a refusal at once with a time to come back", err, time.Since(from))
		}
		c.setLowMemory()
		submit(t, n, q, refused, twoSteps(100*time.Millisecond))
		c.waitForStatus(n, q, refused, workload.Completed, 10*time.Second)
	})
}

// With no peer to help, a job is refused at once, and truly never runs.
func TestJobIsRefusedWithoutPeerToStoreIt(t *testing.T) {
	cases := map[string]struct {
		within  time.Duration
		trouble func(c *cluster)
	}{
		"store away for all": {100 * time.Millisecond, func(c *cluster) {
			c.setStoreFault(func(string, string) memory.Fault { return memory.FaultBefore })
		}},
		"cut off from all": {100 * time.Millisecond, func(c *cluster) {
			c.setStoreFault(storeFaultFor(memory.FaultLostCall, "n0"))
			c.cutPeers("n1", "n2", "n3")
		}},
		// Peers that give no answer may hold a job that was sent to them, so the customer
		// could not be told for sure; only the question whether they can may be lost.
		"cut off from all in silence": {200 * time.Millisecond, func(c *cluster) {
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
				time.Sleep(2 * time.Second) // the node has noticed
				from := time.Now()
				err := n.Intake().Submit(context.Background(), q, "00000000000000aa", twoSteps(100*time.Millisecond))
				var refused *intake.RefusedError
				if !errors.As(err, &refused) || refused.RetryAfter <= 0 {
					t.Errorf("answer %v, want a refusal with a time to come back", err)
				}
				if took := time.Since(from); took > test.within {
					t.Errorf("the refusal took %v", took)
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
