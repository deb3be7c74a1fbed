package node_test

import (
	"testing"
	"time"

	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/steward"
)

// This file tests how pools change hands at planned stops.

// A node that is stopped as planned must take no pool, neither one that it gave
// away nor one of the next node to stop: it would hold the pool without working
// on it until its process ends (tippijako-prod trouble-2 --seed 917730157450:
// pools stood still for 3.3 s of a rolling stop).
func TestStoppingNodeTakesNoPool(t *testing.T) {
	for _, pool := range []string{"shift", "payout", steward.Post} {
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
