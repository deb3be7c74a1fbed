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

// This file tests an owner that hears nothing of instances that are registered and well.
//
// What users saw: on entry instances with 2 Mbit/s, tasks that were done ran again, and were
// billed twice. The order of events: an owner whose link was full heard nothing of an
// instance for 10 s; a task there was done in the second second and stood in the instance's
// list; 6 s after the task's time was over the owner took it for lost and started it on one
// of the instances that it heard; then the first instance answered and listed the end. The
// evidence: 'instance silent' with no crash and no gap in the registration, 'instance
// expired' with what was last heard 9.9 s before, 'task placed' 0.4 s later. The cause: how
// a run ended was concluded from silence, and a longer silence only concluded it later.

const (
	// deafFor is how long nothing is heard: longer than a task's time and any wait of some
	// seconds after it.
	deafFor = 15 * time.Second
	// deafMore is how many instances the pool has beside the cluster's four, heardStill how
	// many of all are heard throughout: those that run nothing when the silence begins.
	deafMore, heardStill = 8, 2
	// deafJobs of deafTasks tasks each keep some of the instances busy.
	deafJobs, deafTasks = 8, 4
	// caughtUpWithin is by when the jobs have ended once their instances are heard again.
	caughtUpWithin = 5 * time.Second
)

// deafen submits jobs, and has nobody of whom deaf says so hear the instances that run their
// tasks for a while. It checks that no task starts twice, and that the jobs have ended so
// long after the silence has begun.
func deafen(t *testing.T, lasts time.Duration, deaf func(node, owner string) bool, endedWithin time.Duration, troubles ...func(c *cluster)) {
	room := pointport.Shape{CPUMilli: 1000, MemoryMiB: 64}
	bubble(t, 4, func(c *cluster) {
		for n := range deafMore {
			c.fleet.Add(pointport.InstanceID(fmt.Sprintf("more-%02d", n)), "shift", "north", "rack-9", pointport.Shape{CPUMilli: 4000, MemoryMiB: 8192})
		}
		time.Sleep(time.Second)
		owner := c.owner("shift")
		asked := c.another(owner)
		q := queue(t, asked, "shift-close")
		spec := &workload.Spec{Payload: "x", Steps: []workload.Step{{Count: deafTasks, Need: room, Estimate: time.Second}}}
		var ids []string
		for n := range deafJobs {
			ids = append(ids, fmt.Sprintf("%016x", n+1))
			submit(t, asked, q, ids[n], spec)
		}
		time.Sleep(300 * time.Millisecond)
		busy := c.fleet.BusyMachines()
		if idle := 4 + deafMore - len(busy); idle < heardStill {
			t.Fatalf("%d instances run nothing, want %d at least", idle, heardStill)
		}
		until := time.Now().Add(lasts)
		c.setNetwork(func(op string, to pointport.InstanceID) testbed.Delivery {
			node, _, _ := strings.Cut(op, " ")
			if time.Now().Before(until) && slices.Contains(busy, to) && deaf(node, owner) {
				return testbed.Delivery{AnswerLost: true}
			}
			return testbed.Reliable(op, to)
		})
		for _, trouble := range troubles {
			trouble(c)
		}
		for end := time.Now().Add(endedWithin); countEnded(asked, q, ids) < len(ids) && time.Now().Before(end); {
			time.Sleep(100 * time.Millisecond)
		}
		if ended := countEnded(asked, q, ids); ended < len(ids) {
			t.Errorf("%d of %d jobs have ended after %v", ended, len(ids), endedWithin)
		}
		time.Sleep(lasts)
		c.wantStartedOnce(ids)
	}, withoutSteward(), withWork(func(pointport.StartOrder) testbed.Work {
		return testbed.Work{Reservation: room, Duration: time.Second}
	}))
}

// wantStartedOnce checks that each task of some jobs was started once, and shows what was
// logged of the first one of which that is not so.
func (c *cluster) wantStartedOnce(ids []string) {
	c.t.Helper()
	again, first := 0, ""
	for _, id := range ids {
		for n := range deafTasks {
			task := fmt.Sprintf("%s.0.0.%d", id, n)
			if c.fleet.Started(task) == 1 {
				continue
			}
			if again++; first == "" {
				first = task
			}
		}
	}
	if again > 0 {
		c.t.Errorf("%d tasks were not started once; of %s, started %d times:\n%s", again, first, c.fleet.Started(first), c.logs.about(first))
	}
}

// Nobody hears the instances. What they run waits for them to say how it ended.
func TestNothingIsStartedAgainWhileInstancesAreUnheard(t *testing.T) {
	deafen(t, deafFor, func(string, string) bool { return true }, deafFor+caughtUpWithin)
}

// The owner alone does not hear them. Its peers do, so the jobs end at once.
func TestDeafOwnerHearsThroughPeers(t *testing.T) {
	deafen(t, deafFor, func(node, owner string) bool { return node == owner }, caughtUpWithin)
}

// The owner alone does not hear them, and no peer carries its orders: it gives the pool away,
// to a member that hears them. It may first make sure that this is no cut that heals.
func TestDeafOwnerGivesItsPoolAway(t *testing.T) {
	const forGood, takenOverWithin = time.Minute, 20 * time.Second
	deafen(t, forGood, func(node, owner string) bool { return node == owner }, takenOverWithin, func(c *cluster) { c.silencePeers(true) })
}

// The registrations of instances that nobody hears lapse, and before that counts for anything
// the owner cannot read them any more. They are back 1.5 s after it can: for all that it
// knows, they were missing for 12 s. No task starts again.
func TestRegistrationsThatCannotBeReadEndNothing(t *testing.T) {
	const lapse, unread, readAgain, back = 1800 * time.Millisecond, 2200 * time.Millisecond, 12 * time.Second, 13500 * time.Millisecond
	deafen(t, deafFor, func(string, string) bool { return true }, deafFor+caughtUpWithin, func(c *cluster) {
		owner, from := c.owner("shift"), time.Now()
		c.setStoreFate(func(node, op string) memory.Fault {
			at := time.Since(from)
			if node == owner && (op == "watch" || op == "range") && at >= unread && at < readAgain {
				return memory.FaultLostCall
			}
			return memory.FaultNone
		})
		entries := c.registrationsOf(c.fleet.BusyMachines())
		time.AfterFunc(lapse, func() {
			for _, e := range entries {
				c.commit(pointport.Txn{Delete: []string{e.Key()}})
			}
		})
		time.AfterFunc(back, func() {
			for _, e := range entries {
				c.put(e.Key(), e.Value())
			}
		})
	})
}

// registrationsOf returns the registrations of some instances.
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
