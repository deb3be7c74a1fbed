package node_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/peerlease"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// This file tests nodes whose pool owners rely on peer leases while the store does not answer.

const (
	// peerLeaseLimit is for how long owners may rely on peer leases in these tests.
	peerLeaseLimit = 8 * time.Second
	// storeOutage is how long the store answers nobody in these tests.
	storeOutage = 5 * time.Second
)

// loseStore makes the store unavailable to all members.
func (c *cluster) loseStore() {
	c.setStoreFault(func(string, string) memory.Fault { return memory.FaultLostCall })
}

// standbys returns the names of the members that the standby key of a pool lists.
func (c *cluster) standbys(pool string) []string {
	c.t.Helper()
	e, err := c.kv.Get(context.Background(), member.StandbyKey(pool))
	if err != nil || !e.Exists() {
		c.t.Fatalf("pool %s has no standby key (error %v)", pool, err)
	}
	d, err := peerlease.Decode(e)
	if err != nil {
		c.t.Fatal(err)
	}
	var names []string
	for _, s := range d.Standbys {
		names = append(names, s.Name)
	}
	return names
}

// leasesHeld reports whether an owner of a pool has been proven by peer leases.
func (c *cluster) leasesHeld(pool string) bool {
	return strings.Contains(c.logs.containing("peer leases held"), "pool="+pool+" ")
}

// leaseLogs returns the log lines about peer leases and takeovers.
func (c *cluster) leaseLogs() string {
	return c.logs.containing("peer lease") + c.logs.containing("pool taken") + c.logs.containing("takeover waits")
}

// submitSteps submits four jobs, whose numbers begin with number, with two steps whose tasks take
// first and second. It returns the queue and the IDs of the jobs.
func (c *cluster) submitSteps(pool string, number int, first, second time.Duration) (*workload.Queue, []string) {
	c.t.Helper()
	n := c.anyNode(0)
	q := queue(c.t, n, pool+"-close")
	spec := twoSteps(first)
	spec.Steps[1].Estimate = second
	var ids []string
	for i := range 4 {
		ids = append(ids, jobID(number+i))
		submit(c.t, n, q, ids[i], spec)
	}
	return q, ids
}

// startedInSecondStep returns how many tasks of the second step of jobs have been started.
func (c *cluster) startedInSecondStep(ids []string) int {
	started := 0
	for _, id := range ids {
		for i := range 3 {
			if c.fleet.Started(workload.TaskName(id, workload.TaskRef{Step: 1, Index: i})) > 0 {
				started++
			}
		}
	}
	return started
}

// startedAgain returns the tasks of the second step of jobs that have been started more than once.
func (c *cluster) startedAgain(ids []string) []string {
	var again []string
	for _, id := range ids {
		for i := range 3 {
			if task := workload.TaskName(id, workload.TaskRef{Step: 1, Index: i}); c.fleet.Started(task) > 1 {
				again = append(again, task)
			}
		}
	}
	return again
}

// stepWork returns work whose tasks take first in the first step and second in the second one.
func stepWork(first, second time.Duration) testbed.WorkSource {
	return func(o pointport.StartOrder) testbed.Work {
		id, ref, err := workload.ParseTaskName(o.Task)
		if err != nil {
			return testbed.Work{}
		}
		w := testbed.Work{Reservation: pointport.Shape{CPUMilli: 500, MemoryMiB: 128}, Duration: first}
		if ref.Step == 1 {
			w.Duration = second
			for i := range 4 {
				w.After = append(w.After, workload.TaskName(id, workload.TaskRef{Occurrence: ref.Occurrence, Index: i}))
			}
		}
		return w
	}
}

// Guards against owners that stop, or lose their pools, while the store is unavailable to all
// members: the second step of each job starts during the outage, and no pool changes its owner.
func TestOwnersContinueDuringOutageForAll(t *testing.T) {
	const first, second = time.Second, 2 * time.Second
	simulate(t, 6, func(c *cluster) {
		pools := []string{"shift", "payout"}
		before, queues, ids := make(map[string]string), make(map[string]*workload.Queue), make(map[string][]string)
		for n, pool := range pools {
			before[pool] = c.owner(pool)
			queues[pool], ids[pool] = c.submitSteps(pool, 4*n, first, second)
		}
		time.Sleep(300 * time.Millisecond)
		c.loseStore()
		time.Sleep(storeOutage)
		for _, pool := range pools {
			if !c.leasesHeld(pool) {
				t.Errorf("the owner of %s has not been proven by peer leases\n%s", pool, c.leaseLogs())
			}
			if got, want := c.startedInSecondStep(ids[pool]), 3*len(ids[pool]); got != want {
				t.Errorf("%d tasks of the second step started in %s during the outage, want %d\n%s", got, pool, want, c.leaseLogs())
			}
		}
		c.setStoreFault(noStoreFault)
		back := time.Now()
		for _, pool := range pools {
			for _, id := range ids[pool] {
				c.waitForStatus(c.anyNode(1), queues[pool], id, workload.Completed, 2*time.Second)
			}
		}
		t.Logf("all jobs are completed %v after the outage", time.Since(back))
		time.Sleep(3 * time.Second)
		for _, pool := range pools {
			if now := c.owner(pool); now != before[pool] {
				t.Errorf("%s is owned by %s after the outage, was by %s\n%s", pool, now, before[pool], c.leaseLogs())
			}
			c.checkFences(pool)
		}
	}, withPeerLeases(peerLeaseLimit), withWork(stepWork(first, second)))
}

// Guards against standbys that keep an owner proven although the store answers them, so that its
// pool gets no other owner.
func TestOwnerThatAloneLosesStoreIsReplaced(t *testing.T) {
	const first, second = time.Second, 2 * time.Second
	simulate(t, 6, func(c *cluster) {
		owner := c.owner("shift")
		q, ids := c.submitSteps("shift", 0, first, second)
		time.Sleep(300 * time.Millisecond)
		c.setStoreFault(func(node, _ string) memory.Fault {
			if node == owner {
				return memory.FaultLostCall
			}
			return memory.FaultNone
		})
		time.Sleep(2 * time.Second)
		if now, owned := c.ownerIfAny("shift"); !owned || now == owner {
			t.Errorf("the pool is owned by %q 2 s after %s lost the store, want another member\n%s", now, owner, c.leaseLogs())
		}
		if c.leasesHeld("shift") {
			t.Errorf("standbys that the store answers granted peer leases\n%s", c.leaseLogs())
		}
		for _, id := range ids {
			c.waitForStatus(c.otherNode(owner), q, id, workload.Completed, 10*time.Second)
		}
		c.setStoreFault(noStoreFault)
		c.checkFences("shift")
	}, withPeerLeases(peerLeaseLimit), withWork(stepWork(first, second)))
}

// Guards against an owner that goes on without the promise of a standby it cannot reach: that
// standby may be about to take the pool.
func TestOwnerStopsWithoutLeaseOfOneStandby(t *testing.T) {
	const first, second = 2500 * time.Millisecond, time.Second
	simulate(t, 6, func(c *cluster) {
		q, ids := c.submitSteps("shift", 0, first, second)
		time.Sleep(300 * time.Millisecond)
		cut := c.standbys("shift")[0]
		c.cutPeers(cut)
		c.loseStore()
		time.Sleep(1200 * time.Millisecond) // until the last proof by the store and the last order have ended
		orders := make(map[string]int)
		c.setNetwork(func(op string, to pointport.InstanceID) testbed.Delivery {
			if c.inInitialPool(to, "shift") {
				orders[op]++
			}
			return testbed.Reliable(op, to)
		})
		time.Sleep(storeOutage - 1200*time.Millisecond)
		c.mu.Lock()
		if len(orders) > 0 {
			t.Errorf("orders to instances of the pool without proof: %v\n%s", orders, c.leaseLogs())
		}
		c.mu.Unlock()
		if got := c.startedInSecondStep(ids); got != 0 {
			t.Errorf("%d tasks started without proof", got)
		}
		c.setNetwork(testbed.Reliable)
		c.cutPeers()
		c.setStoreFault(noStoreFault)
		for _, id := range ids {
			c.waitForStatus(c.anyNode(1), q, id, workload.Completed, 15*time.Second)
		}
		c.checkFences("shift")
	}, withPeerLeases(peerLeaseLimit), withWork(stepWork(first, second)), withoutSteward())
}

// inInitialPool reports whether newCluster adds an instance to a pool.
func (c *cluster) inInitialPool(id pointport.InstanceID, pool string) bool {
	var n int
	_, err := fmt.Sscanf(string(id), "m-%d", &n)
	return err == nil && []string{"shift", "payout", "shift", "payout", sparePool}[n%5] == pool
}

// Guards against a successor that starts tasks again which an owner started without storing that,
// or that never takes the pool: the owner is killed during an outage for all members, after it
// has started the second step.
func TestOwnerKilledDuringOutageIsReplaced(t *testing.T) {
	const first = time.Second
	tests := []struct {
		name         string
		second, kill time.Duration // of the second step, and after the start of the outage
		lapses       bool          // whether the runs lapse before the store is back
	}{
		{"second step ends before the kill", 500 * time.Millisecond, 2500 * time.Millisecond, false},
		{"second step ends during the outage", 2 * time.Second, 2500 * time.Millisecond, false},
		{"second step lapses", 6 * time.Second, 2500 * time.Millisecond, true},
		{"second step ends before the pool is taken", 6 * time.Second, 4500 * time.Millisecond, false},
		{"second step ends after the pool is taken", 8 * time.Second, 4500 * time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			simulate(t, 6, func(c *cluster) {
				owner := c.owner("shift")
				q, ids := c.submitSteps("shift", 0, first, tt.second)
				time.Sleep(300 * time.Millisecond)
				c.loseStore()
				time.Sleep(tt.kill)
				if got, want := c.startedInSecondStep(ids), 3*len(ids); got != want {
					t.Errorf("%d tasks of the second step started before the owner was killed, want %d\n%s", got, want, c.leaseLogs())
				}
				c.kill(owner)
				time.Sleep(storeOutage - tt.kill)
				c.setStoreFault(noStoreFault)
				time.Sleep(3 * time.Second)
				if now, owned := c.ownerIfAny("shift"); !owned || now == owner {
					t.Errorf("the pool is owned by %q 3 s after the outage, want a member other than %s\n%s", now, owner, c.leaseLogs())
				}
				for _, id := range ids {
					c.waitForStatus(c.otherNode(owner), q, id, workload.Completed, 30*time.Second)
				}
				if again := c.startedAgain(ids); len(again) > 0 && !tt.lapses {
					t.Errorf("started more than once, although no run lapsed: %v\n%s", again, c.logs.containing("run adopted")+c.logs.containing("tasks held back")+c.leaseLogs())
				}
				c.checkFences("shift")
			}, withPeerLeases(peerLeaseLimit), withWork(stepWork(first, tt.second)))
		})
	}
}

// Guards against a successor that starts a task while a run of it, which the killed owner started
// without storing that, goes on: the instance is unreachable until after its execution lease.
func TestSuccessorWaitsForUnreachableInstance(t *testing.T) {
	const first, second, cutOff = time.Second, 8 * time.Second, pointport.InstanceID("m-00")
	simulate(t, 6, func(c *cluster) {
		owner := c.owner("shift")
		q, ids := c.submitSteps("shift", 0, first, second)
		time.Sleep(300 * time.Millisecond)
		c.loseStore()
		time.Sleep(storeOutage - 500*time.Millisecond)
		c.kill(owner)
		c.setNetwork(func(_ string, to pointport.InstanceID) testbed.Delivery {
			return testbed.Delivery{Latency: time.Millisecond, OrderLost: to == cutOff}
		})
		time.Sleep(500 * time.Millisecond)
		c.setStoreFault(noStoreFault)
		time.Sleep(10 * time.Second)
		c.setNetwork(testbed.Reliable)
		for _, id := range ids {
			c.waitForStatus(c.otherNode(owner), q, id, workload.Completed, 30*time.Second)
		}
		c.checkFences("shift")
	}, withPeerLeases(peerLeaseLimit), withWork(stepWork(first, second)), withoutSteward())
}

// Guards against a planned stop after which other members wait for peer leases that the former
// owner no longer needs.
func TestPlannedStopHandsPoolOverWithPeerLeases(t *testing.T) {
	const first, second = time.Second, time.Second
	simulate(t, 6, func(c *cluster) {
		owner := c.owner("shift")
		q, ids := c.submitSteps("shift", 0, first, second)
		time.Sleep(300 * time.Millisecond)
		begun := time.Now()
		go c.stop(owner)
		for time.Since(begun) < time.Second {
			if now, owned := c.ownerIfAny("shift"); owned && now != owner {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if now, owned := c.ownerIfAny("shift"); !owned || now == owner {
			t.Errorf("the pool is owned by %q a second after the stop of %s began\n%s", now, owner, c.leaseLogs())
		}
		t.Logf("handed over after %v", time.Since(begun))
		for _, id := range ids {
			c.waitForStatus(c.otherNode(owner), q, id, workload.Completed, 5*time.Second)
		}
		time.Sleep(5 * time.Second) // until the stop has ended
		c.checkFences("shift")
	}, withPeerLeases(peerLeaseLimit), withWork(stepWork(first, second)))
}
