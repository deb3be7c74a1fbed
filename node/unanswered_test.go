package node_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// This file tests an owner that gets no answers from instances that are registered and healthy.
//
// The tests guard against tasks that run a second time, and are billed twice, because an owner
// infers from missing answers how a run ended. An owner whose link is saturated, on entry
// instances with 2 Mbit/s, gets no answer from an instance for 10 s. A task there completes in
// the second second and is in the instance's list of ends, but 6 s after the task's lease has
// expired the owner counts it as lost and starts it on an instance that answers. Then the first
// instance answers and lists the end. Waiting longer only delays the wrong conclusion. The log
// shows 'instance silent' without a crash or a gap in the registration, 'instance expired' 9.9
// s after the last answer, and 'task placed' 0.4 s later.

const (
	// unansweredFor is how long the busy instances do not answer: longer than a task's lease
	// and any additional wait of some seconds.
	unansweredFor = 15 * time.Second
	// extraInstances is how many instances the pool has in addition to the cluster's four.
	// minAnswering is how many of all must be idle at the start and therefore answer
	// throughout.
	extraInstances, minAnswering = 8, 2
	// unansweredJobs jobs of tasksPerUnansweredJob tasks each keep some of the instances busy.
	unansweredJobs, tasksPerUnansweredJob = 8, 4
	// completedWithin is how long after their instances answer again the jobs must have
	// completed.
	completedWithin = 5 * time.Second
)

// muteBusyInstances submits jobs, and then makes the instances that run their tasks carry out
// orders without answering the nodes that unanswered selects. It checks that no task starts
// twice, and that the jobs complete within endedWithin of the start of the silence.
func muteBusyInstances(t *testing.T, duration time.Duration, unanswered func(node, owner string) bool, endedWithin time.Duration, faults ...func(c *cluster)) {
	need := pointport.Shape{CPUMilli: 1000, MemoryMiB: 64}
	simulate(t, 4, func(c *cluster) {
		for n := range extraInstances {
			c.fleet.Add(pointport.InstanceID(fmt.Sprintf("more-%02d", n)), "shift", "north", "rack-9", pointport.Shape{CPUMilli: 4000, MemoryMiB: 8192})
		}
		time.Sleep(time.Second)
		owner := c.owner("shift")
		entryNode := c.otherNode(owner)
		q := queue(t, entryNode, "shift-close")
		spec := &workload.Spec{Payload: "x", Steps: []workload.Step{{Count: tasksPerUnansweredJob, Need: need, Estimate: time.Second}}}
		var ids []string
		for n := range unansweredJobs {
			ids = append(ids, fmt.Sprintf("%016x", n+1))
			submit(t, entryNode, q, ids[n], spec)
		}
		time.Sleep(300 * time.Millisecond)
		busy := c.fleet.BusyMachines()
		if idle := 4 + extraInstances - len(busy); idle < minAnswering {
			t.Fatalf("%d instances are idle, want at least %d", idle, minAnswering)
		}
		until := time.Now().Add(duration)
		c.setNetwork(func(op string, to pointport.InstanceID) testbed.Delivery {
			node, _, _ := strings.Cut(op, " ")
			if time.Now().Before(until) && slices.Contains(busy, to) && unanswered(node, owner) {
				return testbed.Delivery{AnswerLost: true}
			}
			return testbed.Reliable(op, to)
		})
		for _, fault := range faults {
			fault(c)
		}
		for end := time.Now().Add(endedWithin); countCompleted(entryNode, q, ids) < len(ids) && time.Now().Before(end); {
			time.Sleep(100 * time.Millisecond)
		}
		if ended := countCompleted(entryNode, q, ids); ended < len(ids) {
			t.Errorf("%d of %d jobs have completed after %v", ended, len(ids), endedWithin)
		}
		time.Sleep(duration)
		c.wantStartedOnce(ids)
	}, withoutSteward(), withWork(func(pointport.StartOrder) testbed.Work {
		return testbed.Work{Reservation: need, Duration: time.Second}
	}))
}

// wantStartedOnce checks that each task of the jobs was started once. It reports the log of the
// first task for which that is not so.
func (c *cluster) wantStartedOnce(ids []string) {
	c.t.Helper()
	wrong, first := 0, ""
	for _, id := range ids {
		for n := range tasksPerUnansweredJob {
			task := fmt.Sprintf("%s.0.0.%d", id, n)
			if c.fleet.Started(task) == 1 {
				continue
			}
			if wrong++; first == "" {
				first = task
			}
		}
	}
	if wrong > 0 {
		c.t.Errorf("%d tasks were not started exactly once; the log of %s, started %d times:\n%s", wrong, first, c.fleet.Started(first), c.logs.containing(first))
	}
}

// No node gets answers from the instances. Their tasks stay placed there until the instances
// report how they ended.
func TestNoTaskRestartsWhileInstancesDoNotAnswer(t *testing.T) {
	muteBusyInstances(t, unansweredFor, func(string, string) bool { return true }, unansweredFor+completedWithin)
}

// Only the owner gets no answers from the instances. Its peers do and forward them, so the jobs
// complete at once.
func TestOwnerReachesInstancesThroughPeers(t *testing.T) {
	muteBusyInstances(t, unansweredFor, func(node, owner string) bool { return node == owner }, completedWithin)
}

// Only the owner gets no answers from the instances, and no peer forwards its orders. It hands
// the pool over to a member that reaches them. It may first wait to see whether the partition
// heals.
func TestOwnerWithoutAnswersHandsItsPoolOver(t *testing.T) {
	const permanent, takenOverWithin = time.Minute, 20 * time.Second
	muteBusyInstances(t, permanent, func(node, owner string) bool { return node == owner }, takenOverWithin, func(c *cluster) {
		c.silencePeers(true)
		former := c.owner("shift")
		time.AfterFunc(takenOverWithin, func() {
			if owner, owned := c.ownerIfAny("shift"); !owned || owner == former {
				c.t.Errorf("after %v the pool belongs to %q, want another member than %s", takenOverWithin, owner, former)
			}
		})
	})
}

// The registrations of instances that answer no node expire. Before their absence has lasted
// long enough to count, the owner loses read access to the registrations. They are back 1.5 s
// after the owner can read again, so as far as it knows they were missing for 12 s. No task is
// started again.
func TestUnreadableRegistrationsRestartNoTask(t *testing.T) {
	const expireAfter, unreadableAfter, readableAfter, backAfter = 1800 * time.Millisecond, 2200 * time.Millisecond, 12 * time.Second, 13500 * time.Millisecond
	muteBusyInstances(t, unansweredFor, func(string, string) bool { return true }, unansweredFor+completedWithin, func(c *cluster) {
		owner, from := c.owner("shift"), time.Now()
		c.setStoreFault(func(node, op string) memory.Fault {
			at := time.Since(from)
			if node == owner && (op == "watch" || op == "range") && at >= unreadableAfter && at < readableAfter {
				return memory.FaultLostCall
			}
			return memory.FaultNone
		})
		entries := c.registrationsOf(c.fleet.BusyMachines())
		time.AfterFunc(expireAfter, func() {
			for _, e := range entries {
				c.commit(pointport.Txn{Delete: []string{e.Key()}})
			}
		})
		time.AfterFunc(backAfter, func() {
			for _, e := range entries {
				c.put(e.Key(), e.Value())
			}
		})
	})
}

// registrationsOf returns the store entries of the instances' registrations.
func (c *cluster) registrationsOf(instances []pointport.InstanceID) []pointport.Entry {
	all, _, err := member.ReadAll(context.Background(), c.kv, registrationPrefix)
	if err != nil {
		c.t.Error(err)
	}
	return slices.DeleteFunc(all, func(e pointport.Entry) bool {
		inc, err := decodeRegistration(e)
		return err != nil || !slices.Contains(instances, inc.Instance())
	})
}

func (c *cluster) commit(txn pointport.Txn) {
	if _, err := c.kv.Commit(context.Background(), txn); err != nil {
		c.t.Error(err)
	}
}
