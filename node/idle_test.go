package node_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/pointport/pointport/member"
	"github.com/pointport/pointport/memory"
	"github.com/pointport/pointport/workload"
)

// This file tests how many calls to the store nodes make that have nothing to do.

const (
	// maxIdleReads is what the members of a large site may make of reading calls a second at
	// rest, half of what the smallest store takes; restWrites the same of writing calls.
	maxIdleReads  = 1000
	maxIdleWrites = 200
)

// A callCounter counts the calls to the store, by what they ask.
type callCounter struct {
	mu    sync.Mutex
	calls map[string]int
}

// countStoreCalls has the calls of a cluster counted.
func countStoreCalls(c *cluster) *callCounter {
	t := &callCounter{}
	t.reset()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onStoreCall = func(_, op, _ string) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.calls[op]++
	}
	return t
}

func (t *callCounter) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls = make(map[string]int)
}

// reads and writes return the calls of each kind. A renewal is a reading call.
func (t *callCounter) reads() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls["get"] + t.calls["range"] + t.calls["watch"] + t.calls["renew"]
}

func (t *callCounter) writes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls["commit"] + t.calls["grant"] + t.calls["revoke"]
}

// At rest 300 members make less than half of the calls that the smallest store takes.
func TestIdleMembersLeaveHalfOfStoreCapacity(t *testing.T) {
	t.Parallel()
	const members, seconds = 300, 20
	simulate(t, members, func(c *cluster) {
		time.Sleep(20 * time.Second)
		calls := countStoreCalls(c)
		time.Sleep(seconds * time.Second)
		reads, writes := calls.reads()/seconds, calls.writes()/seconds
		t.Logf("%d reading and %d writing calls a second", reads, writes)
		if reads >= maxIdleReads {
			t.Errorf("%d reading calls a second, want less than %d", reads, maxIdleReads)
		}
		if writes >= maxIdleWrites {
			t.Errorf("%d writing calls a second, want less than %d", writes, maxIdleWrites)
		}
	})
}

// What a member that owns nothing asks of the store at rest falls as there are more members,
// but for the renewals of its lease: all watches of all members together end some two hundred
// times a second, however many members there are.
func TestStoreCallsPerMemberFallWithClusterSize(t *testing.T) {
	t.Parallel()
	const seconds = 30
	cases := []struct {
		members int
		most    float64 // watches and readings a second for each member
	}{{30, 2.5}, {100, 2.3}, {300, 0.8}}
	for _, k := range cases {
		simulate(t, k.members, func(c *cluster) {
			time.Sleep(20 * time.Second)
			calls := countStoreCalls(c)
			time.Sleep(seconds * time.Second)
			calls.mu.Lock()
			each := float64(calls.calls["watch"]+calls.calls["range"]+calls.calls["get"]) / seconds / float64(k.members)
			calls.mu.Unlock()
			t.Logf("%d members: %.2f watches and readings a second for each", k.members, each)
			if each > k.most {
				t.Errorf("%d members: %.2f watches and readings a second for each, want %v at most", k.members, each, k.most)
			}
		}, withConfigApplyTime(5*time.Second), withoutSteward())
	}
}

// A change of the configuration is in force in time among many members, also at those whose
// watches of it hear nothing any more, as on a connection that has gone silent.
func TestConfigurationIsAppliedInTimeByManyMembers(t *testing.T) {
	const members, within = 400, 5 * time.Second
	simulate(t, members, func(c *cluster) {
		time.Sleep(20 * time.Second)
		asked := ""
		c.mu.Lock()
		c.onStoreCall = func(_, op, key string) { asked = op + " " + key }
		c.mu.Unlock()
		silenced := make(map[string]int)
		c.setStoreFault(func(node, _ string) memory.Fault {
			if asked != "watch "+configKey || silenced[node] > 0 {
				return memory.FaultNone
			}
			silenced[node]++
			return memory.FaultSilentWatch
		})
		c.configure(&workload.Catalog{Version: 2})
		time.Sleep(within)
		for name, n := range c.nodes {
			if got := n.node.ConfigVersion(); got != 2 {
				t.Errorf("%s has version %d after %v", name, got, within)
			}
		}
		c.setStoreFault(noStoreFault)
	}, withConfigApplyTime(within), withoutSteward())
}

// A pool whose owner dies is taken by another member within the time of a short lease and
// what those that rank first are left, however many members own nothing.
func TestPoolOfKilledOwnerIsTakenOverInTime(t *testing.T) {
	const members, deaths = 60, 5
	const soon = member.DefaultTTL + 150*time.Millisecond
	simulate(t, members, func(c *cluster) {
		time.Sleep(20 * time.Second)
		longest := time.Duration(0)
		for range deaths {
			owner := c.owner("shift")
			c.kill(owner)
			from := time.Now()
			for !c.ownedByAnother("shift", owner) {
				time.Sleep(time.Millisecond)
			}
			longest = max(longest, time.Since(from))
			time.Sleep(10 * time.Second)
		}
		t.Logf("taken within %v", longest)
		if longest > soon {
			t.Errorf("a pool was taken %v after its owner died, want %v at most", longest, soon)
		}
	}, withoutSteward())
}

// A member that owns nothing and is cut off from the store says so to the balancer within
// two seconds.
func TestIdleMemberWithoutStoreIsNotReady(t *testing.T) {
	const members = 60
	simulate(t, members, func(c *cluster) {
		time.Sleep(20 * time.Second)
		cut := make(map[string]bool)
		for name, n := range c.nodes {
			if n.node.Owned() == 0 {
				cut[name] = true
			}
		}
		c.setStoreFault(func(node, _ string) memory.Fault {
			if cut[node] {
				return memory.FaultLostCall
			}
			return memory.FaultNone
		})
		time.Sleep(2 * time.Second)
		for name := range cut {
			if c.nodes[name].node.Ready() {
				t.Errorf("%s is ready two seconds after it was cut off", name)
			}
		}
		c.setStoreFault(noStoreFault)
		time.Sleep(3 * time.Second)
		for name := range cut {
			if !c.nodes[name].node.Ready() {
				t.Errorf("%s is not ready three seconds after it was cut off no longer", name)
			}
		}
	}, withoutSteward())
}

// After an outage of the store owners have their pools again, however long the leases of
// others have lasted.
func TestOwnersHaveTheirPoolsAgainAfterOutage(t *testing.T) {
	for _, lasts := range []time.Duration{1200 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
		t.Run(lasts.String(), func(t *testing.T) {
			simulate(t, 40, func(c *cluster) {
				time.Sleep(20 * time.Second)
				posts := []string{"shift", "payout", "/steward"}
				before := make(map[string]string)
				for _, p := range posts {
					before[p] = c.owner(p)
				}
				c.setStoreFault(func(string, string) memory.Fault { return memory.FaultLostCall })
				time.Sleep(lasts)
				c.setStoreFault(noStoreFault)
				time.Sleep(4 * time.Second)
				for _, p := range posts {
					if now := c.owner(p); now != before[p] {
						t.Errorf("%s is owned by %s, and was by %s", p, now, before[p])
					}
				}
			})
		})
	}
}

// ownedByAnother reports whether a pool is owned by another than the one named.
func (c *cluster) ownedByAnother(pool, name string) bool {
	e, err := c.kv.Get(context.Background(), member.OwnerKey(pool))
	if err != nil || !e.Exists() {
		return false
	}
	var m member.Member
	return json.Unmarshal(e.Value(), &m) == nil && m.Name != name
}
