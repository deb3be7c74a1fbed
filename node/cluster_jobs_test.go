package node_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/intake"
	"github.com/pointport/pointport/node"
	"github.com/pointport/pointport/workload"
)

// This file submits jobs to the nodes of a cluster and waits for them.

// queue returns a queue from a node's configuration, and waits until the node has it.
func queue(t *testing.T, n *node.Node, name string) *workload.Queue {
	t.Helper()
	for range 100 {
		if k := n.Catalog(); k != nil {
			for i := range k.Queues {
				if k.Queues[i].Name == name {
					return &k.Queues[i]
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("the node has no queue %s", name)
	return nil
}

// waitForStatus waits until a job has a status, and fails the test if that takes longer than
// within.
func (c *cluster) waitForStatus(n *node.Node, q *workload.Queue, id string, want workload.Status, within time.Duration) {
	c.t.Helper()
	c.waitForStatusAs(n.Intake(), q, id, want, within)
}

// waitForStatusAs is like waitForStatus, on behalf of the caller of a service.
func (c *cluster) waitForStatusAs(svc *intake.Service, q *workload.Queue, id string, want workload.Status, within time.Duration) {
	c.t.Helper()
	var last workload.Status
	var lastErr error
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		last, lastErr = svc.Status(ctx, q, id)
		cancel()
		if lastErr == nil && last == want {
			return
		}
	}
	c.t.Errorf("job %s has status %q (error %v) after %v, want %q\n%s", id, last, lastErr, within, want, c.logs.containing(id))
}

func submit(t *testing.T, n *node.Node, q *workload.Queue, id string, spec *workload.Spec) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if err := n.Intake().Submit(ctx, q, id, spec); err != nil {
		t.Fatalf("submit %s: %v", id, err)
	}
}

// twoSteps returns a job of two steps whose tasks take d each.
func twoSteps(d time.Duration) *workload.Spec {
	need := pointport.Shape{CPUMilli: 500, MemoryMiB: 128}
	return &workload.Spec{
		Payload: fmt.Sprintf("duration=%v cpu=500 memory=128", d),
		Steps: []workload.Step{
			{Count: 4, Need: need, Estimate: d},
			{Count: 3, Need: need, Estimate: d, After: []int{0}},
		},
	}
}
