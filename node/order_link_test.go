package node_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/node"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// This file tests an owner whose link is slow compared with the starts that its pool needs.

// An orderLink transmits one order after the other. An order that takes longer than its caller
// waits is still carried out, late, as on a link with a queue.
type orderLink struct {
	freeAt time.Time // when everything sent so far has been transmitted
	orders int
}

const (
	// startLinkTime and pollLinkTime are the times that the link needs for a start of 0.8 KB
	// and a poll of 0.27 KB at 2 Mbit/s.
	startLinkTime = 3200 * time.Microsecond
	pollLinkTime  = 1100 * time.Microsecond
	// answerTimeout is how long a caller waits for an answer.
	answerTimeout = 400 * time.Millisecond
)

// send returns the fate of an order that is sent now. It must be called with a lock held.
func (l *orderLink) send(op string) testbed.Delivery {
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	linkTime := pollLinkTime
	if strings.HasSuffix(op, "start") {
		linkTime = startLinkTime
	}
	l.freeAt = l.freeAt.Add(linkTime)
	l.orders++
	delay := l.freeAt.Sub(now) + time.Millisecond
	if delay > answerTimeout {
		return testbed.Delivery{LateBy: delay}
	}
	return testbed.Delivery{Latency: delay}
}

// An owner must not send orders faster than its link can transmit them. The owner of 90
// instances, on an entry instance with 2 Mbit/s, places all tasks that fit and sends their
// starts at once. Each start then takes longer than the 0.4 s after which it counts as
// unanswered and is sent again. Polls take as long, so instances count as silent, their leases
// are not extended and their tasks expire: half of the jobs are late, one in three never ends,
// and completed tasks run again. The log of that member shows 'start unanswered' and 'instance
// silent' for all instances at once and 'instance expired' 4 s later, while the instances
// answer all other members; starts take half of the link.
//
// The load here is nearly twice what the link can transmit. Three quarters of the jobs that it
// could transmit must complete in time, no task may expire or run twice, and every accepted job
// must end.
func TestOwnerPacesOrdersToItsLink(t *testing.T) {
	t.Parallel()
	carried := linkLoadTime / (linkLoadTasks * (startLinkTime + pollLinkTime))
	checkOrdersOverSlowLink(t, 1, int(carried)*3/4)
}

// With peers that own nothing, the owner sends orders through them, and nine of ten jobs
// complete in time, as many as the pool has free capacity for.
func TestOwnerWithSlowLinkSendsOrdersThroughPeers(t *testing.T) {
	t.Parallel()
	const all = int(linkLoadTime/time.Second) * linkLoadJobsPerSecond
	checkOrdersOverSlowLink(t, 5, all*9/10)
}

// While an owner cannot prove its ownership it sends nothing. Orders that were queued meanwhile
// must be sent once it can, although the answers that normally trigger sending arrived before
// that.
func TestDelayedStartsResumeOnceOwnershipIsProven(t *testing.T) {
	t.Parallel()
	checkOrdersOverSlowLink(t, 1, 0, func(c *cluster, owner string) {
		from, until := time.Now().Add(4*time.Second), time.Now().Add(6*time.Second)
		c.setStoreFault(func(node, op string) memory.Fault {
			if now := time.Now(); node == owner && op != "renew" && now.After(from) && now.Before(until) {
				return memory.FaultLostCall
			}
			return memory.FaultNone
		})
	})
}

const (
	// linkLoadInstances instances of 4 cores can run 1,280 tasks a second that use half a core
	// for half a second. linkLoadJobsPerSecond jobs of linkLoadTasks tasks are 440 tasks a
	// second.
	linkLoadInstances     = 80
	linkLoadTasks         = 8
	linkLoadJobsPerSecond = 55
	linkLoadTime          = 20 * time.Second
)

// checkOrdersOverSlowLink submits jobs to a cluster in which the owner's link is slow. It
// checks that at least want of them have completed when the last one was submitted, and that
// all complete later.
func checkOrdersOverSlowLink(t *testing.T, nodes, want int, faults ...func(c *cluster, owner string)) {
	need := pointport.Shape{CPUMilli: 500, MemoryMiB: 64}
	simulate(t, nodes, func(c *cluster) {
		for n := range linkLoadInstances {
			c.fleet.Add(pointport.InstanceID(fmt.Sprintf("more-%02d", n)), "shift", "north", fmt.Sprintf("rack-%d", n/8),
				pointport.Shape{CPUMilli: 4000, MemoryMiB: 8192})
		}
		time.Sleep(time.Second)
		owner := c.owner("shift")
		link := &orderLink{}
		c.setNetwork(func(op string, to pointport.InstanceID) testbed.Delivery {
			if !strings.HasPrefix(op, owner+" ") {
				return testbed.Reliable(op, to)
			}
			return link.send(op)
		})
		for _, fault := range faults {
			fault(c, owner)
		}
		entryNode := c.nodes["n0"].node
		q := queue(t, entryNode, "shift-close")
		spec := &workload.Spec{Payload: "x", Steps: []workload.Step{{Count: linkLoadTasks, Need: need, Estimate: 500 * time.Millisecond}}}
		var ids []string
		next := time.Now()
		for n := range int(linkLoadTime/time.Second) * linkLoadJobsPerSecond {
			id := fmt.Sprintf("%016x", n+1)
			if len(faults) == 0 {
				submit(t, entryNode, q, id, spec)
				ids = append(ids, id)
			} else if entryNode.Intake().Submit(context.Background(), q, id, spec) == nil {
				ids = append(ids, id)
			}
			next = next.Add(time.Second / linkLoadJobsPerSecond)
			time.Sleep(time.Until(next))
		}
		if ended := countCompleted(entryNode, q, ids); ended < want {
			t.Errorf("%d of %d jobs have completed after %v, want at least %d", ended, len(ids), linkLoadTime, want)
		}
		for end := time.Now().Add(2 * time.Minute); countCompleted(entryNode, q, ids) < len(ids) && time.Now().Before(end); {
			time.Sleep(time.Second)
		}
		if ended := countCompleted(entryNode, q, ids); ended < len(ids) {
			t.Errorf("%d of %d accepted jobs have not completed two minutes later", len(ids)-ended, len(ids))
		}
		if n := strings.Count(c.logs.containing("instance expired"), "\n"); n > 0 {
			t.Errorf("%d instances expired although they answer", n)
		}
		if n := strings.Count(c.logs.containing("how=lapsed"), "\n"); n > 0 {
			t.Errorf("%d tasks expired on instances that answer", n)
		}
		t.Logf("%s", c.logs.containing("orders delegated"))
	}, withoutSteward(), withWork(func(pointport.StartOrder) testbed.Work {
		return testbed.Work{Reservation: need, Duration: 500 * time.Millisecond}
	}))
}

// countCompleted returns how many of the jobs a node reports as completed.
func countCompleted(n *node.Node, q *workload.Queue, ids []string) int {
	ended := 0
	for _, id := range ids {
		if s, err := n.Intake().Status(context.Background(), q, id); err == nil && s == workload.Completed {
			ended++
		}
	}
	return ended
}
