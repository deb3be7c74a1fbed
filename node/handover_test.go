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

// This file tests how pools change hands at planned stops.

// A node that is stopped as planned must take no pool, neither one that it gave
// away nor one of the next node to stop: it would hold the pool without working
// on it until its process ends (tippijako-prod trouble-2 --seed 917730157450:
// pools stood still for 3.3 s of a rolling stop).
func TestStoppingNodeTakesNoPool(t *testing.T) {
	for _, pool := range []string{"shift", "payout", steward.OwnershipName} {
		t.Run(pool, func(t *testing.T) {
			bubble(t, 4, func(c *cluster) {
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
						t.Errorf("%s owns %s although it stops\n%s", name, pool, c.logs.about("event=226"))
						break
					}
				}
			})
		})
	}
}

// A pool whose owner is cut off from the store has another one within 1.3 s, while
// its jobs can still end in time.
func TestPoolOfCutOffOwnerIsTaken(t *testing.T) {
	bubble(t, 4, func(c *cluster) {
		owner := c.owner("shift")
		c.setStoreFate(func(node, _ string) memory.Fault {
			if node == owner {
				return memory.FaultLostCall
			}
			return memory.FaultNone
		})
		time.Sleep(1300 * time.Millisecond)
		if got := c.owner("shift"); got == owner {
			t.Errorf("%s still owns the pool, 1.3 s after the store heard of it last", owner)
		}
		c.setStoreFate(storeWorks)
	})
}

// What users saw: a task had two runs at once, both started by one member whose pool had
// changed hands.
//
// The order of events: a member gives a pool away to one that has less to do, while starts
// are under way that have got no answer. The store gives none to the release, so the owner's
// key stays as it is. The member finds the key under its own lease and begins a second
// ownership with the fence of the first. Instances do not list the runs that the first one
// has ordered, so their tasks are started elsewhere; then the starts arrive, and nothing
// tells them from those of the ownership in force.
//
// The cause: an instance refuses the starts of an earlier ownership by its lower fence, and
// this one had the same.
func TestPoolGivenAwayInVainIsOwnedUnderAnotherFence(t *testing.T) {
	const late, away = 3 * time.Second, 1500 * time.Millisecond
	const id = "00000000000000cc"
	bubble(t, 1, func(c *cluster) {
		time.Sleep(4 * time.Second) // until its pools may be given away
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
		c.eventually(n, queue(t, n, "shift-close"), id, workload.Completed, time.Minute)
		c.checkFences("shift")
	}, withoutSteward())
}

// loseReleases has a node's releases not reach the store for a time.
func (c *cluster) loseReleases(name string, lasts time.Duration) {
	end, releases := time.Now().Add(lasts), false
	c.mu.Lock()
	// A release puts no key; nor does a read under conditions.
	c.onStore = func(node, op, key string) { releases = node == name && op == "commit" && key == "" }
	c.mu.Unlock()
	c.setStoreFate(func(string, string) memory.Fault {
		if releases && time.Now().Before(end) {
			return memory.FaultLostCall
		}
		return memory.FaultNone
	})
}

// checkFences fails the test if a pool was taken twice under one fence.
func (c *cluster) checkFences(pool string) {
	c.t.Helper()
	for _, fence := range c.fencesTakenTwice(pool) {
		c.t.Errorf("%s is taken twice with %s\n%s", pool, fence, c.logs.about("pool="+pool))
	}
}

// fencesTakenTwice returns the fences under which a pool was taken more than once.
func (c *cluster) fencesTakenTwice(pool string) []string {
	var twice []string
	taken := make(map[string]int)
	for _, line := range strings.Split(c.logs.about("pool taken"), "\n") {
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

// What users saw: "pool lost" with the reason "context canceled", whatever the reason was.
// The order of events: the store refuses a write because the owner's key is gone, before any
// watch tells so; the owner ends itself and with that its context. The cause: the end of the
// context was told in place of what had ended it, so the member also went on believing its
// roster, which still named it.
func TestOwnerWhoseWriteIsRefusedSaysSo(t *testing.T) {
	bubble(t, 3, func(c *cluster) {
		owner := c.owner("shift")
		n := c.another(owner)
		time.Sleep(100 * time.Millisecond) // until long before the member reads the key again
		c.store.DropWatchEvents(true)
		c.store.ExpireKey(member.OwnerKey("shift"))
		submit(t, n, queue(t, n, "shift-close"), "00000000000000cc", twoSteps(time.Second))
		time.Sleep(700 * time.Millisecond) // until the member has looked after its pools
		c.store.DropWatchEvents(false)
		lost := c.logs.about("pool lost")
		if !strings.Contains(lost, "pool=shift") || !strings.Contains(lost, member.ErrNotOwner.Error()) {
			t.Errorf("want the pool lost because %q, have:\n%s", member.ErrNotOwner, c.logs.about("pool=shift"))
		}
		c.eventually(n, queue(t, n, "shift-close"), "00000000000000cc", workload.Completed, 20*time.Second)
	})
}
