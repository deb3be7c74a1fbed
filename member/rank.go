package member

import (
	"fmt"
	"hash/fnv"
	"sort"
	"time"
)

// This file defines which member should have a pool: who has less to do for its strength.

// Idle returns the members beside this one that own nothing, so many at most, in an order
// of their own for each pool.
func (r *Roster) Idle(pool string, most int) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	owned := r.poolCounts()
	var out []Member
	for name, m := range r.members {
		if name != r.self.Name && owned[name] == 0 {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(a, b int) bool { return weight(pool, out[a].Name) > weight(pool, out[b].Name) })
	return out[:min(most, len(out))]
}

// Rank returns how many members should take a pool rather than this one: those
// that would have less to do for their strength, or as much and come first in an
// order of their own for each pool.
func (r *Roster) Rank(pool string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	owned := r.poolCounts()
	mine := load(r.self, owned[r.self.Name]+1)
	rank := 0
	for name, m := range r.members {
		if name == r.self.Name {
			continue
		}
		theirs := load(m, owned[name]+1)
		if theirs < mine || theirs == mine && weight(pool, name) > weight(pool, r.self.Name) {
			rank++
		}
	}
	return rank
}

// ShouldHandOver reports whether this member should give one of its pools away now:
// another one, even with one more, would have far less to do for its strength.
func (r *Roster) ShouldHandOver() bool {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.lastHandover) < handoverInterval {
		return false
	}
	owned := r.poolCounts()
	mine := load(r.self, owned[r.self.Name])
	for name, m := range r.members {
		if name != r.self.Name && load(m, owned[name]+1)*handoverLoadRatio <= mine {
			r.lastHandover = now
			return true
		}
	}
	return false
}

// handoverInterval is the least time between two pools that a member gives away. Each
// changes the picture on which the next is decided.
const handoverInterval = 10 * time.Second

// handoverLoadRatio is how many times less another member must have to do.
const handoverLoadRatio = 2.0

// poolCounts returns how many pools each member owns. The lock is held.
func (r *Roster) poolCounts() map[string]int {
	owned := make(map[string]int)
	for _, o := range r.owners {
		owned[o.member.Name]++
	}
	return owned
}

// load is what a member has to do for its strength with so many pools.
func load(m Member, pools int) float64 {
	if m.Strength <= 0 {
		return float64(pools)
	}
	return float64(pools) / m.Strength
}

// weight orders the members for a pool.
func weight(pool, name string) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s\x00%s", name, pool)
	// Spread the last bytes over the whole number.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
