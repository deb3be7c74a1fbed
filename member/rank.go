package member

import (
	"fmt"
	"hash/fnv"
	"sort"
	"time"
)

// This file defines which member should own a pool: the one with the lowest load in proportion
// to its strength.

// Idle returns at most limit other members that own no pool, in an order that depends on the
// pool.
func (r *Roster) Idle(pool string, limit int) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	poolCounts := r.poolCounts()
	var out []Member
	for name, m := range r.members {
		if name != r.self.Name && poolCounts[name] == 0 {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(a, b int) bool { return weight(pool, out[a].Name) > weight(pool, out[b].Name) })
	return out[:min(limit, len(out))]
}

// Rank returns how many members should take a pool before this one: those that would have a
// lower load with it, and those that would have the same load and come first in an order that
// depends on the pool.
func (r *Roster) Rank(pool string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rank(pool, func(Member) bool { return true })
}

// rank is Rank among the members for which eligible returns true. The lock must be held.
func (r *Roster) rank(pool string, eligible func(Member) bool) int {
	poolCounts := r.poolCounts()
	own := load(r.self, poolCounts[r.self.Name]+1)
	rank := 0
	for name, m := range r.members {
		if name == r.self.Name || !eligible(m) {
			continue
		}
		other := load(m, poolCounts[name]+1)
		if other < own || other == own && weight(pool, name) > weight(pool, r.self.Name) {
			rank++
		}
	}
	return rank
}

// ShouldHandOver reports whether this member should hand over one of its pools now, because
// another member would have a far lower load even with one more pool.
func (r *Roster) ShouldHandOver() bool {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.lastHandover) < handoverInterval {
		return false
	}
	poolCounts := r.poolCounts()
	own := load(r.self, poolCounts[r.self.Name])
	for name, m := range r.members {
		if name != r.self.Name && load(m, poolCounts[name]+1)*handoverLoadRatio <= own {
			r.lastHandover = now
			return true
		}
	}
	return false
}

// handoverInterval is the minimum time between two pools that a member hands over. Each
// handover changes the loads on which the next decision is based.
const handoverInterval = 10 * time.Second

// handoverLoadRatio is how many times lower the load of another member must be.
const handoverLoadRatio = 2.0

// poolCounts returns how many pools each member owns. The lock must be held.
func (r *Roster) poolCounts() map[string]int {
	poolCounts := make(map[string]int)
	for _, o := range r.owners {
		poolCounts[o.member.Name]++
	}
	return poolCounts
}

// load returns a member's number of pools in proportion to its strength.
func load(m Member, pools int) float64 {
	if m.Strength <= 0 {
		return float64(pools)
	}
	return float64(pools) / m.Strength
}

// weight returns a pseudo-random number that orders the members for a pool.
func weight(pool, name string) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s\x00%s", name, pool)
	// Mix the last bytes into all bits.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
