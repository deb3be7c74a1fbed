package node_test

import (
	"strings"
	"testing"
	"time"

	"github.com/pointport/pointport"
	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/steward"
	"github.com/pointport/pointport/testbed"
	"github.com/pointport/pointport/workload"
)

// This file tests how pools change owners.

// A node in a planned stop must not take a pool, neither one that it has just handed over nor
// one of the next node to stop: it would hold the pool without working on it until its process
// ends. In a rolling stop, pools were without work for 3.3 s because of that.
func TestStoppingNodeTakesNoPool(t *testing.T) {
	for _, pool := range []string{"shift", "payout", steward.OwnershipName} {
		t.Run(pool, func(t *testing.T) {
			simulate(t, 4, func(c *cluster) {
				owner := c.owner(pool)
				stopping := map[string]bool{owner: true}
				for name := range c.nodes {
					if len(stopping) < 3 && !stopping[name] {
						stopping[name] = true
						go c.stop(name)
					}
				}
				time.Sleep(time.Second)
				go c.stop(owner)
				for range 14 {
					time.Sleep(100 * time.Millisecond)
					if name := c.owner(pool); stopping[name] {
						t.Errorf("%s owns %s although it is stopping\n%s", name, pool, c.logs.containing("event=226"))
						break
					}
				}
			})
		})
	}
}

// A pool whose owner is disconnected from the store has a new owner within 1.3 s, so its jobs
// can still complete in time.
func TestPoolOfOwnerWithoutStoreIsTakenOver(t *testing.T) {
	simulate(t, 4, func(c *cluster) {
		owner := c.owner("shift")
		c.setStoreFault(func(node, _ string) memory.Fault {
			if node == owner {
				return memory.FaultLostCall
			}
			return memory.FaultNone
		})
		time.Sleep(1300 * time.Millisecond)
		if got := c.owner("shift"); got == owner {
			t.Errorf("%s still owns the pool 1.3 s after its last call reached the store", owner)
		}
		c.setStoreFault(noStoreFault)
	})
}

// A member starts two runs of one task at once after a handover that did not take effect.
//
// The member releases a pool to a member with less load while starts are unanswered. The
// release does not reach the store, so the owner's key stays in place. The member finds the key
// under its own lease and begins a second ownership. Instances do not list the runs that the
// first ownership has ordered, so their tasks are started elsewhere; then the delayed starts
// arrive. An instance refuses starts of an earlier ownership by their lower fencing token, so
// the second ownership needs a new one.
func TestPoolKeptAfterLostReleaseGetsNewFence(t *testing.T) {
	const late, away = 3 * time.Second, 1500 * time.Millisecond
	const id = "00000000000000cc"
	simulate(t, 1, func(c *cluster) {
		time.Sleep(4 * time.Second) // until the member may hand its pools over
		n := c.nodes["n0"].node
		c.setNetwork(func(op string, _ pointport.InstanceID) testbed.Delivery {
			if op == "n0 start" {
				return testbed.Delivery{LateBy: late}
			}
			return testbed.Delivery{Latency: time.Millisecond}
		})
		submit(t, n, queue(t, n, "shift-close"), id, twoSteps(5*time.Second))
		time.Sleep(200 * time.Millisecond)
		c.loseReleases("n0", away)
		c.start("n1")
		time.Sleep(100 * time.Millisecond)
		c.setNetwork(testbed.Reliable)
		c.fleet.Drain(c.fleet.IDs()[0], 20*time.Second, time.Second) // where the tasks are; it gets no others
		c.waitForStatus(n, queue(t, n, "shift-close"), id, workload.Completed, time.Minute)
		c.checkFences("shift")
	}, withoutSteward())
}

// loseReleases keeps a node's releases from reaching the store for a time.
func (c *cluster) loseReleases(name string, duration time.Duration) {
	end, releases := time.Now().Add(duration), false
	c.mu.Lock()
	// A commit without a key is a release, or a read under conditions.
	c.onStoreCall = func(node, op, key string) { releases = node == name && op == "commit" && key == "" }
	c.mu.Unlock()
	c.setStoreFault(func(string, string) memory.Fault {
		if releases && time.Now().Before(end) {
			return memory.FaultLostCall
		}
		return memory.FaultNone
	})
}

// checkFences fails the test if a pool was taken twice with the same fencing token.
func (c *cluster) checkFences(pool string) {
	c.t.Helper()
	for _, fence := range c.fencesTakenTwice(pool) {
		c.t.Errorf("%s was taken twice with %s\n%s", pool, fence, c.logs.containing("pool="+pool))
	}
}

// fencesTakenTwice returns the fencing tokens with which a pool was taken more than once.
func (c *cluster) fencesTakenTwice(pool string) []string {
	var twice []string
	taken := make(map[string]int)
	for _, line := range strings.Split(c.logs.containing("pool taken"), "\n") {
		_, rest, ok := strings.Cut(line, "pool="+pool+" ")
		if !ok {
			continue
		}
		fence, _, _ := strings.Cut(rest, " ")
		if taken[fence]++; taken[fence] == 2 {
			twice = append(twice, fence)
		}
	}
	return twice
}

// The store refuses a write because the owner's key is gone, before any watch reports that. The
// owner then ends itself and cancels its context. The log must name the refused write as the
// reason for the lost pool, not "context canceled": that error also hides from the member that
// its roster, which still names it as the owner, is out of date.
func TestRefusedWriteIsLoggedAsReasonForLostPool(t *testing.T) {
	simulate(t, 3, func(c *cluster) {
		owner := c.owner("shift")
		n := c.otherNode(owner)
		time.Sleep(100 * time.Millisecond) // so that the member does not read the key again soon
		c.store.DropWatchEvents(true)
		c.store.ExpireKey(member.OwnerKey("shift"))
		submit(t, n, queue(t, n, "shift-close"), "00000000000000cc", twoSteps(time.Second))
		time.Sleep(700 * time.Millisecond) // until the member has checked its pools
		c.store.DropWatchEvents(false)
		lost := c.logs.containing("pool lost")
		if !strings.Contains(lost, "pool=shift") || !strings.Contains(lost, member.ErrNotOwner.Error()) {
			t.Errorf("want the pool lost with reason %q, got:\n%s", member.ErrNotOwner, c.logs.containing("pool=shift"))
		}
		c.waitForStatus(n, queue(t, n, "shift-close"), "00000000000000cc", workload.Completed, 20*time.Second)
	})
}
